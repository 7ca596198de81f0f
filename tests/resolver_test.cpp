// What a watch brings, or does not: the list in use never gets worse by it, and discovery is called less.
#include "resolver/resolver.h"

#include <gtest/gtest.h>

#include <set>

#include "pool/node_list.h"
#include "resolver/result_filter.h"
#include "testing/discovery.h"

namespace cranemux::resolver {
namespace {

using testing::Discovery;
using testing::list_line;
using testing::milliseconds;
using Verdict = ResultFilter::Verdict;

config::ResolverResult result(std::int64_t index, bool whole, std::size_t nodes) {
  config::ResolverResult out{index, whole, {}};
  for (std::size_t i = 0; i < nodes; ++i) {
    config::ListEntry entry;
    entry.name = "s" + std::to_string(i);
    entry.state = "active";
    out.entries.push_back(entry);
  }
  return out;
}

TEST(ResultFilter, NeitherAnEmptyListNorAnOlderOneIsTaken) {
  ResultFilter filter;
  filter.start(result(41, true, 3));
  EXPECT_EQ(filter.resume_version(), 41);
  EXPECT_EQ(filter.evaluate(result(50, true, 0)), Verdict::empty);
  EXPECT_EQ(filter.resume_version(), 0);  // the whole list is asked for
  EXPECT_EQ(filter.evaluate(result(40, true, 3)), Verdict::older);
  EXPECT_EQ(filter.evaluate(result(12, false, 1)), Verdict::older);
  EXPECT_EQ(filter.evaluate(result(42, true, 2)), Verdict::accepted);
  EXPECT_EQ(filter.resume_version(), 42);
  EXPECT_EQ(filter.evaluate(result(42, false, 0)), Verdict::accepted);  // nothing has changed
}

TEST(ResultFilter, AnEmptyListIsTakenWhereNothingWasKnown) {
  ResultFilter filter;
  filter.start(result(0, true, 0));
  EXPECT_EQ(filter.evaluate(result(7, true, 0)), Verdict::accepted);
}

TEST(ResultFilter, ADiscoveryThatCountsFromNewIsBelievedInTheEnd) {
  ResultFilter filter;
  filter.start(result(900, true, 3));
  for (int i = 1; i < ResultFilter::kOlderBeforeRenumbered; ++i)
    EXPECT_EQ(filter.evaluate(result(2, true, 3)), Verdict::older);
  EXPECT_EQ(filter.evaluate(result(3, true, 3)), Verdict::accepted);
  EXPECT_EQ(filter.evaluate(result(4, false, 1)), Verdict::accepted);
  filter.start(result(900, true, 3));
  for (int i = 0; i < 10; ++i) EXPECT_EQ(filter.evaluate(result(5, false, 1)), Verdict::older);
}

TEST(ResultFilter, AnotherDiscoveryHasVersionsOfItsOwn) {
  ResultFilter filter;
  filter.start(result(900, true, 3));
  filter.discovery_moved();
  EXPECT_EQ(filter.resume_version(), 0);
  EXPECT_EQ(filter.evaluate(result(2, true, 0)), Verdict::empty);
  EXPECT_EQ(filter.evaluate(result(2, true, 1)), Verdict::accepted);
}

TEST(ResultFilter, AListLargerThanAnyFleetIsNotTaken) {
  ResultFilter filter;
  filter.start(result(1, true, 3));
  EXPECT_EQ(filter.evaluate(result(2, true, ResultFilter::kMaxNodes + 1)), Verdict::too_large);
  EXPECT_EQ(filter.evaluate(result(3, true, ResultFilter::kMaxNodes)), Verdict::accepted);
}

// A resolver with the list that it has told, as a pool holds it.
struct Watched {
  explicit Watched(const CallPacing& pacing = CallPacing(1, 5))
      : resolver(
            stage.io(), {"127.0.0.1", static_cast<std::uint16_t>(discovery.port())},
            [this](const config::ResolverResult& told, ListScope scope) {
              list.told(told, scope != ListScope::changes);
              ++tellings;
            },
            pacing, logger, counters) {}
  ~Watched() {
    resolver.stop();
    stage.play_until([&] { return resolver.idle(); });
  }
  void start(std::size_t nodes = 3) { resolver.start(result(41, true, nodes), true); }
  bool until_calls(std::size_t count) {
    return stage.play_until([&] { return discovery.calls.size() >= count; });
  }

  testing::Stage stage;
  Discovery discovery{stage};
  metrics::Logger logger{STDERR_FILENO, metrics::Level::error};
  metrics::Counters counters;
  pool::NodeList list;
  int tellings = 0;
  Resolver resolver;
};

const std::string kHead = Discovery::head();

// Each of them leaves the three nodes known at first in use, and a good list after it is taken.
TEST(Resolver, NoDamageEmptiesTheList) {
  const std::vector<std::string> damages = {
      "",                                                                  // accepted, then closed
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",     //
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",                    // no watch
      "HTT",                                                               // half a line
      kHead + "5\r\n{\"ind",                                               // half a chunk
      kHead + Discovery::chunk("{\"index\":50,\"snapshot\":true,\"endp"),  // half an object, without its end
      kHead + Discovery::chunk("{\"index\":50,\"snapshot\":true,\"endpoints\":[{\"name\":\"s0\"\n"),
      kHead + Discovery::chunk(list_line(50, true, {})),
      kHead + Discovery::chunk(list_line(3, true, {"old"})),
      kHead + Discovery::chunk(list_line(3, false, {"s0", "s1", "s2"}, "left")),
      kHead + Discovery::chunk(list_line(50, true, {"a"}, "sleeping")),
      kHead + Discovery::chunk(R"({"index":1e300,"snapshot":true,"endpoints":[]})"
                               "\n"),
      kHead + Discovery::chunk(R"({"index":50,"snapshot":true,"endpoints":[{"name":"a",)"
                               R"("address":"127.0.0.1:7","status":"active","since_ms":1e300}]})"
                               "\n"),
      kHead + Discovery::chunk(R"({"index":50,"snapshot":true,"endpoints":[{"name":"a",)"
                               R"("address":"127.0.0.1:7","status":"active","group":-1e300}]})"
                               "\n"),
      kHead + Discovery::chunk(
                  list_line(50, true, std::vector<std::string>(ResultFilter::kMaxNodes + 1, "many"))),
      kHead + "ffffffff\r\n" + std::string(5 * 1024 * 1024, 'x'),
  };
  for (const auto& damage : damages) {
    Watched watched;
    watched.discovery.raw(damage);
    watched.discovery.answer(list_line(60, true, {"a", "b"}), Discovery::Then::stay);
    watched.start();
    ASSERT_TRUE(watched.until_calls(2)) << damage.substr(0, 200);
    ASSERT_TRUE(watched.stage.play_until([&] { return watched.list.usable() == 2; }))
        << damage.substr(0, 200);
    EXPECT_EQ(watched.tellings, 2) << damage.substr(0, 200);  // the first list, and the good one
  }
}

// What comes after a damaged line in the same bytes builds on what was lost with it.
TEST(Resolver, ChangesAfterADamagedLineAreNotTaken) {
  Watched watched;
  watched.discovery.answer("{nonsense}\n" + list_line(52, false, {"s0"}, "left"));
  watched.discovery.answer(list_line(60, true, {"a", "b"}), Discovery::Then::stay);
  watched.start();
  ASSERT_TRUE(watched.stage.play_until([&] { return watched.list.usable() == 2; }));
  EXPECT_EQ(watched.tellings, 2);
  EXPECT_NE(watched.discovery.calls[0].find("after=41 "), std::string::npos);
  EXPECT_NE(watched.discovery.calls[1].find("after=0 "), std::string::npos);
}

TEST(Resolver, NamesAndAddressesTwice) {
  Watched watched;
  const std::string where = "\"address\":\"127.0.0.1:7\",\"zone\":\"z\",\"status\":";
  watched.discovery.answer("{\"index\":50,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\"," + where +
                               "\"active\"},{\"name\":\"a\"," + where + "\"leaving\"},{\"name\":\"b\"," +
                               where + "\"active\"}]}\n",
                           Discovery::Then::stay);
  watched.start();
  ASSERT_TRUE(watched.stage.play_until([&] { return watched.list.size() == 2; }));
  EXPECT_EQ(watched.list.usable(), 1U);  // the last word on a name holds; an address may be that of two
}

// A watch that ends at once, whatever it brings, is a fault: the calls become fewer, not more.
TEST(Resolver, AWatchThatEndsAtOnceAgainAndAgainIsCalledLess) {
  Watched watched;
  for (int i = 0; i < 100; ++i) watched.discovery.answer(list_line(50 + i, true, {"a", "b"}));
  watched.start();
  const auto begin = testing::Clock::now();
  ASSERT_TRUE(watched.until_calls(6));
  // Five waits, each twice the one before it or the longest: half of each at the least.
  EXPECT_GE(testing::Clock::now() - begin, milliseconds(50 + 100 + 200 + 400 + 500));
  EXPECT_EQ(watched.list.usable(), 2U);
}

// Small, so that silence comes soon; the program's own are tested in pacing_test.cpp.
CallPacing impatient() { return CallPacing(1, 5, milliseconds(50), {milliseconds(40), milliseconds(40)}); }

// A call that is never answered, half a head, a watch that falls silent after its list, or within one: each
// is begun anew, again and again, and what discovery has by then is heard.
TEST(Resolver, SilenceOfAnyKindIsLeftAgainAndAgain) {
  Watched watched(impatient());
  watched.discovery.raw("", Discovery::Then::stall);
  watched.discovery.raw("HTTP/1.1 200 OK\r\nTransfer-", Discovery::Then::stall);
  watched.discovery.answer(list_line(50, true, {"a", "b", "c"}), Discovery::Then::stall);
  watched.discovery.raw(kHead + "5\r\n{\"ind", Discovery::Then::stall);
  watched.discovery.raw("", Discovery::Then::stall);
  watched.discovery.answer(list_line(51, false, {"a"}, "leaving"), Discovery::Then::stay);
  watched.start();
  ASSERT_TRUE(watched.stage.play_until([&] { return watched.list.usable() == 2; }));
  EXPECT_EQ(watched.discovery.calls.size(), 6U);
  EXPECT_NE(watched.discovery.calls.back().find("after=50 "), std::string::npos);
}

// News may come indented, parted anywhere, several in one piece.
TEST(Resolver, IndentedNewsIsTaken) {
  Watched watched;
  const std::string where = "\n \"address\": \"127.0.0.1:7\",\n \"status\": ";
  const auto news = "{\n\"index\": 50,\n\"snapshot\": true,\n\"endpoints\": [\n{\"name\": \"a\"," + where +
                    "\"active\"},\n{\"name\": \"b\"," + where + "\"active\"}\n]\n}\n\n" +
                    "{\n\"index\": 51,\n\"endpoints\": [\n{\"name\": \"a\"," + where + "\"leaving\"}]}\n";
  std::string parted = kHead;
  for (const char c : news) parted += Discovery::chunk(std::string(1, c));
  watched.discovery.raw(parted, Discovery::Then::stay);
  watched.start();
  ASSERT_TRUE(watched.stage.play_until([&] { return watched.tellings == 3; }));
  EXPECT_EQ(watched.list.size(), 2U);
  EXPECT_EQ(watched.list.usable(), 1U);
  EXPECT_EQ(watched.discovery.calls.size(), 1U);
}

// Half an object, then empty lines for good: it must not swallow what follows.
TEST(Resolver, AnObjectThatBreaksOffIsNoEndlessWait) {
  Watched watched;
  watched.discovery.raw(kHead + Discovery::chunk("{\"index\":50,\"snapshot\":true,\"endp\n\n") +
                            Discovery::chunk(list_line(51, true, {"x"})),
                        Discovery::Then::stay);
  watched.discovery.answer(list_line(60, true, {"a", "b"}), Discovery::Then::stay);
  watched.start();
  ASSERT_TRUE(watched.stage.play_until([&] { return watched.list.usable() == 2; }));
  EXPECT_EQ(watched.tellings, 2);
  EXPECT_NE(watched.discovery.calls[1].find("after=0 "), std::string::npos);
}

// Chunks have no size of their own to keep to: a list of the largest fleet may come in one.
TEST(Resolver, AListOfTheLargestFleetComesInOneChunk) {
  Watched watched;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < ResultFilter::kMaxNodes; ++i) names.push_back("node-" + std::to_string(i));
  watched.discovery.answer(list_line(60, true, names), Discovery::Then::stay);
  watched.start();
  ASSERT_TRUE(watched.stage.play_until([&] { return watched.list.usable() == ResultFilter::kMaxNodes; }));
}

// A machine that has vanished leaves its connection open: a watch without the empty lines is left.
TEST(Resolver, AStalledWatchIsLeft) {
  Watched watched;
  watched.discovery.raw(kHead + "5\r\n{\"ind", Discovery::Then::stall);
  watched.discovery.answer(list_line(60, true, {"a", "b"}), Discovery::Then::stay);
  watched.start();
  ASSERT_TRUE(watched.stage.play_until([&] { return watched.list.usable() == 2; }));
  EXPECT_EQ(watched.discovery.calls.size(), 2U);
}

TEST(Resolver, NobodyThereCostsNothingButCalls) {
  Watched watched;
  watched.resolver.set_discovery({"127.0.0.1", 1});
  watched.start();
  ASSERT_TRUE(watched.stage.play_until([&] { return watched.counters.resolver_breaks >= 4; }));
  EXPECT_EQ(watched.list.usable(), 3U);
  EXPECT_LE(watched.counters.resolver_calls, watched.counters.resolver_breaks + 1);
}

}  // namespace
}  // namespace cranemux::resolver
