// Watches that fail or deliver bad results: the list in use must not get worse by them, and discovery must be
// called less often, not more.
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

config::ResolverResult result(std::int64_t index, bool snapshot, std::size_t nodes) {
  config::ResolverResult out{index, snapshot, {}};
  for (std::size_t i = 0; i < nodes; ++i) {
    config::ListEntry entry;
    entry.name = "s" + std::to_string(i);
    entry.state = "active";
    out.entries.push_back(entry);
  }
  return out;
}

TEST(ResultFilter, RefusesAnEmptyListAndAnOlderOne) {
  ResultFilter filter;
  filter.start(result(41, true, 3));
  EXPECT_EQ(filter.resume_version(), 41);
  EXPECT_EQ(filter.evaluate(result(50, true, 0)), Verdict::empty);
  EXPECT_EQ(filter.resume_version(), 0);  // the full list is needed
  EXPECT_EQ(filter.evaluate(result(40, true, 3)), Verdict::older);
  EXPECT_EQ(filter.evaluate(result(12, false, 1)), Verdict::older);
  EXPECT_EQ(filter.evaluate(result(42, true, 2)), Verdict::accepted);
  EXPECT_EQ(filter.resume_version(), 42);
  EXPECT_EQ(filter.evaluate(result(42, false, 0)), Verdict::accepted);  // nothing has changed
}

TEST(ResultFilter, AcceptsAnEmptyListWhereNoNodeWasKnown) {
  ResultFilter filter;
  filter.start(result(0, true, 0));
  EXPECT_EQ(filter.evaluate(result(7, true, 0)), Verdict::accepted);
}

TEST(ResultFilter, AcceptsOlderListsOfADiscoveryThatNumbersAnew) {
  ResultFilter filter;
  filter.start(result(900, true, 3));
  for (int i = 1; i < ResultFilter::kOlderBeforeRenumbered; ++i)
    EXPECT_EQ(filter.evaluate(result(2, true, 3)), Verdict::older);
  EXPECT_EQ(filter.evaluate(result(3, true, 3)), Verdict::accepted);
  EXPECT_EQ(filter.evaluate(result(4, false, 1)), Verdict::accepted);
  filter.start(result(900, true, 3));
  for (int i = 0; i < 10; ++i) EXPECT_EQ(filter.evaluate(result(5, false, 1)), Verdict::older);
}

TEST(ResultFilter, AcceptsOlderVersionsFromANewAddress) {
  ResultFilter filter;
  filter.start(result(900, true, 3));
  filter.discovery_moved();
  EXPECT_EQ(filter.resume_version(), 0);
  EXPECT_EQ(filter.evaluate(result(2, true, 0)), Verdict::empty);
  EXPECT_EQ(filter.evaluate(result(2, true, 1)), Verdict::accepted);
}

TEST(ResultFilter, RefusesAListLargerThanAnyFleet) {
  ResultFilter filter;
  filter.start(result(1, true, 3));
  EXPECT_EQ(filter.evaluate(result(2, true, ResultFilter::kMaxNodes + 1)), Verdict::too_large);
  EXPECT_EQ(filter.evaluate(result(3, true, ResultFilter::kMaxNodes)), Verdict::accepted);
}

// A resolver whose results update a list of nodes, as in a pool.
struct Fixture {
  explicit Fixture(const CallPacing& pacing = CallPacing(1, 5))
      : resolver(
            stage.io(), {"127.0.0.1", static_cast<std::uint16_t>(discovery.port())},
            [this](const config::ResolverResult& result, ListScope scope) {
              list.told(result, scope != ListScope::changes);
              ++results;
            },
            pacing, logger, counters) {}
  ~Fixture() {
    resolver.stop();
    stage.play_until([&] { return resolver.idle(); });
  }
  void start(std::size_t nodes = 3) { resolver.start(result(41, true, nodes), true); }
  bool play_until_calls(std::size_t count) {
    return stage.play_until([&] { return discovery.calls.size() >= count; });
  }

  testing::Stage stage;
  Discovery discovery{stage};
  metrics::Logger logger{STDERR_FILENO, metrics::Level::error};
  metrics::Counters counters;
  pool::NodeList list;
  int results = 0;
  Resolver resolver;
};

const std::string kHead = Discovery::head();

// After each of these responses the three nodes known at first stay in use, and the next valid list is
// accepted.
TEST(Resolver, NoBadResponseEmptiesTheList) {
  const std::vector<std::string> responses = {
      "",  // connection closed without a response
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",     //
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",                    // not chunked
      "HTT",                                                               // a truncated status line
      kHead + "5\r\n{\"ind",                                               // a truncated chunk
      kHead + Discovery::chunk("{\"index\":50,\"snapshot\":true,\"endp"),  // a truncated object
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
  for (const auto& response : responses) {
    Fixture fixture;
    fixture.discovery.raw(response);
    fixture.discovery.answer(list_line(60, true, {"a", "b"}), Discovery::Then::stay);
    fixture.start();
    ASSERT_TRUE(fixture.play_until_calls(2)) << response.substr(0, 200);
    ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.list.usable() == 2; }))
        << response.substr(0, 200);
    EXPECT_EQ(fixture.results, 2) << response.substr(0, 200);  // the stored list and the valid one
  }
}

// Changes after a damaged line in the same read build on the result that was lost with it.
TEST(Resolver, IgnoresChangesAfterADamagedLine) {
  Fixture fixture;
  fixture.discovery.answer("{nonsense}\n" + list_line(52, false, {"s0"}, "left"));
  fixture.discovery.answer(list_line(60, true, {"a", "b"}), Discovery::Then::stay);
  fixture.start();
  ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.list.usable() == 2; }));
  EXPECT_EQ(fixture.results, 2);
  EXPECT_NE(fixture.discovery.calls[0].find("after=41 "), std::string::npos);
  EXPECT_NE(fixture.discovery.calls[1].find("after=0 "), std::string::npos);
}

TEST(Resolver, AcceptsRepeatedNamesAndAddresses) {
  Fixture fixture;
  const std::string where = "\"address\":\"127.0.0.1:7\",\"zone\":\"z\",\"status\":";
  fixture.discovery.answer("{\"index\":50,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\"," + where +
                               "\"active\"},{\"name\":\"a\"," + where + "\"leaving\"},{\"name\":\"b\"," +
                               where + "\"active\"}]}\n",
                           Discovery::Then::stay);
  fixture.start();
  ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.list.size() == 2; }));
  EXPECT_EQ(fixture.list.usable(), 1U);  // the last entry of a name counts; two nodes may share an address
}

// A watch that ends at once counts as failed, whatever it delivers, so the calls become fewer.
TEST(Resolver, BacksOffFromWatchesThatEndAtOnce) {
  Fixture fixture;
  for (int i = 0; i < 100; ++i) fixture.discovery.answer(list_line(50 + i, true, {"a", "b"}));
  fixture.start();
  const auto begin = testing::Clock::now();
  ASSERT_TRUE(fixture.play_until_calls(6));
  // The lower bounds of five waits: each is half a span that doubles up to the longest.
  EXPECT_GE(testing::Clock::now() - begin, milliseconds(50 + 100 + 200 + 400 + 500));
  EXPECT_EQ(fixture.list.usable(), 2U);
}

// Short timeouts; those of the program are tested in pacing_test.cpp.
CallPacing short_timeouts() {
  return CallPacing(1, 5, milliseconds(50), {milliseconds(40), milliseconds(40)});
}

// A call without a response, a truncated response head, a watch that falls silent after its list or within
// one: each is closed and followed by another call, until one delivers what discovery has by then.
TEST(Resolver, CallsAgainAfterSilenceOfAnyKind) {
  Fixture fixture(short_timeouts());
  fixture.discovery.raw("", Discovery::Then::stall);
  fixture.discovery.raw("HTTP/1.1 200 OK\r\nTransfer-", Discovery::Then::stall);
  fixture.discovery.answer(list_line(50, true, {"a", "b", "c"}), Discovery::Then::stall);
  fixture.discovery.raw(kHead + "5\r\n{\"ind", Discovery::Then::stall);
  fixture.discovery.raw("", Discovery::Then::stall);
  fixture.discovery.answer(list_line(51, false, {"a"}, "leaving"), Discovery::Then::stay);
  fixture.start();
  ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.list.usable() == 2; }));
  EXPECT_EQ(fixture.discovery.calls.size(), 6U);
  EXPECT_NE(fixture.discovery.calls.back().find("after=50 "), std::string::npos);
}

// Results may be indented, split anywhere, and several may arrive in one read.
TEST(Resolver, AcceptsIndentedResults) {
  Fixture fixture;
  const std::string where = "\n \"address\": \"127.0.0.1:7\",\n \"status\": ";
  const auto text = "{\n\"index\": 50,\n\"snapshot\": true,\n\"endpoints\": [\n{\"name\": \"a\"," + where +
                    "\"active\"},\n{\"name\": \"b\"," + where + "\"active\"}\n]\n}\n\n" +
                    "{\n\"index\": 51,\n\"endpoints\": [\n{\"name\": \"a\"," + where + "\"leaving\"}]}\n";
  std::string split = kHead;
  for (const char c : text) split += Discovery::chunk(std::string(1, c));
  fixture.discovery.raw(split, Discovery::Then::stay);
  fixture.start();
  ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.results == 3; }));
  EXPECT_EQ(fixture.list.size(), 2U);
  EXPECT_EQ(fixture.list.usable(), 1U);
  EXPECT_EQ(fixture.discovery.calls.size(), 1U);
}

// A truncated object that is followed by empty lines must not swallow the results after them.
TEST(Resolver, DoesNotWaitForTheEndOfATruncatedObject) {
  Fixture fixture;
  fixture.discovery.raw(kHead + Discovery::chunk("{\"index\":50,\"snapshot\":true,\"endp\n\n") +
                            Discovery::chunk(list_line(51, true, {"x"})),
                        Discovery::Then::stay);
  fixture.discovery.answer(list_line(60, true, {"a", "b"}), Discovery::Then::stay);
  fixture.start();
  ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.list.usable() == 2; }));
  EXPECT_EQ(fixture.results, 2);
  EXPECT_NE(fixture.discovery.calls[1].find("after=0 "), std::string::npos);
}

// The size of a chunk is not bounded by itself: the list of the largest fleet may arrive in one.
TEST(Resolver, AcceptsAListOfTheLargestFleetInOneChunk) {
  Fixture fixture;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < ResultFilter::kMaxNodes; ++i) names.push_back("node-" + std::to_string(i));
  fixture.discovery.answer(list_line(60, true, names), Discovery::Then::stay);
  fixture.start();
  ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.list.usable() == ResultFilter::kMaxNodes; }));
}

// The connection to a machine that has vanished stays open: a watch without empty lines is closed.
TEST(Resolver, ClosesAStalledWatch) {
  Fixture fixture;
  fixture.discovery.raw(kHead + "5\r\n{\"ind", Discovery::Then::stall);
  fixture.discovery.answer(list_line(60, true, {"a", "b"}), Discovery::Then::stay);
  fixture.start();
  ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.list.usable() == 2; }));
  EXPECT_EQ(fixture.discovery.calls.size(), 2U);
}

TEST(Resolver, KeepsTheListWhileDiscoveryIsUnreachable) {
  Fixture fixture;
  fixture.resolver.set_discovery({"127.0.0.1", 1});
  fixture.start();
  ASSERT_TRUE(fixture.stage.play_until([&] { return fixture.counters.resolver_breaks >= 4; }));
  EXPECT_EQ(fixture.list.usable(), 3U);
  EXPECT_LE(fixture.counters.resolver_calls, fixture.counters.resolver_breaks + 1);
}

}  // namespace
}  // namespace cranemux::resolver
