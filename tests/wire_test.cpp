// Tests of the adapter for the simulator: text lines in, text lines out.
#include "wire.h"

#include <gtest/gtest.h>

#include <sstream>

namespace cranemux::wire {
namespace {

// Creates gateway 3 with one class, one plan and one server; one field of `configure` is unknown.
const std::string kConfigure =
    "turn at-time-ns=1000\ninstance door-id=3\n"
    "configure entropy=5 balancers=1 caps.most-tries=4 caps.cancel=true classes.count=1 "
    "classes.0.goal-time-ns=1500000000 classes.0.name=look classes.0.semantics=free contracts.count=1 "
    "contracts.0.name=basic contracts.0.per-second=2 contracts.0.peak-units=6 index=0 shiny-new=1\n"
    "inventory ref=0 records=1\nm backend=10.0.0.1:70 zone=z model=k cohort=0 readiness=Running rating=1\n"
    "targets version=1 scope=disk ref=0\ncommit\n";

// The replies to all batches of `text`.
std::string replies_to(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out;
  serve(in, out);
  return out.str();
}

TEST(Wire, RequestIsSentAndItsResultIsRead) {
  const auto out =
      replies_to(kConfigure +
                 "turn at-time-ns=2000\ninstance door-id=3\njob_in rid=t/1 flags=1 qos=look "
                 "time-budget-ns=2000000000 api-key=c base=0 units=1 doors=1 grade-of-service=basic "
                 "odd=1\ncommit\nturn at-time-ns=3000\ninstance door-id=3\nresult rid=t/1 "
                 "cost-time-ns=1000 settled=1 ending=ok n=0 backend=10.0.0.1:70\ncommit\n");
  EXPECT_NE(out.find("place rid=t/1 backend=10.0.0.1:70 patience-ns="), std::string::npos);
  EXPECT_TRUE(out.ends_with("finished\n"));
}

TEST(Wire, EmptyBatchGetsAnEmptyReply) { EXPECT_EQ(replies_to("turn at-time-ns=5\ncommit\n"), "finished\n"); }

TEST(Wire, ErrorQuotesTheLineThatCannotBeRead) {
  for (const std::string bad :
       {"turn at-time-ns=x", "gibberish a=1", "job_in rid", "turn", "peer_data author=z"}) {
    try {
      replies_to(kConfigure + "turn at-time-ns=5\ninstance door-id=3\n" + bad + "\ncommit\n");
      ADD_FAILURE() << bad << " was accepted";
    } catch (const ParseError& error) {
      EXPECT_NE(std::string(error.what()).find(bad), std::string::npos);
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
}

TEST(Wire, RejectedSettingsAreReported) {
  const auto out =
      replies_to("turn at-time-ns=1\ninstance door-id=0\nconfigure entropy=1 balancers=1 index=4\ncommit\n");
  EXPECT_NE(out.find("die words=cranemux: index"), std::string::npos);
}

TEST(Wire, Base64RoundTrips) {
  for (const std::string text : {"", "a", "ab", "abc", "hi 7"})
    EXPECT_EQ(decode_base64(encode_base64(text)), text);
  EXPECT_EQ(encode_base64("hi 7"), "aGkgNw==");
  EXPECT_THROW(decode_base64("a"), ParseError);
  EXPECT_THROW(decode_base64("a=b="), ParseError);
}

}  // namespace
}  // namespace cranemux::wire
