// Several services in one process: the failures that pools, routes, budgets and drains are built for, against
// stand-in nodes. Whatever happens, the rules' checker must find nothing broken.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>

#include "testing/rig.h"
#include "testing/sanitized.h"

namespace cranemux::testing {
namespace {

std::string program;  // the path, from the environment

Ask to(const std::string& host, int customer = 1, bool safe = true) {
  Ask ask;
  ask.host = host;
  ask.safe = safe;
  ask.klass = safe ? "job-status" : "book-job";
  char text[20];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(customer));
  ask.customer = text;
  return ask;
}

// Of one customer whose plan lets it ask for little.
Ask corner(const std::string& host) {
  auto ask = to(host, 77);
  ask.plan = "corner";
  return ask;
}

class services : public ::testing::Test {
 protected:
  services() : rig(program) {
    rig.file.pools = {{"quote", "nodes: [@q1, @q2]"}, {"book", "nodes: [@b1, @b2]"}};
    rig.file.routes = {"name: quotes, host: quote.example.org, pool: quote",
                       "name: bookings, host: book.example.org, pool: book"};
  }

  void TearDown() override {
    const auto broken = rig.rules.broken();
    for (std::size_t i = 0; i < std::min<std::size_t>(broken.size(), 10); ++i) ADD_FAILURE() << broken[i];
    EXPECT_TRUE(!rig.program || rig.program->alive()) << "the program has ended";
  }

  void set_nodes(std::initializer_list<const char*> names, const Behaviour& behaviour) {
    for (const auto* name : names) rig.node(name).behaviour = behaviour;
  }
  std::size_t taken(std::initializer_list<const char*> names) {
    std::size_t sum = 0;
    for (const auto* name : names) sum += rig.node(name).taken();
    return sum;
  }

  // As the gatekeeper counts them: a node hears of the end of one a little later.
  std::size_t connections_of(const std::string& pool) {
    const auto pools = rig.console("pools");
    const auto at = pools.find(" connections ", pools.find(pool + ' '));
    return at == std::string::npos ? 0 : std::stoul(pools.substr(at + 13));
  }

  Rig rig;
};

using Answer = Behaviour::Answer;

TEST_F(services, routes) {
  rig.file.routes.push_back(
      "name: tracking, host: \"*.example.org\", path: /track, classes: [job-status], pool: quote");
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  for (const auto* host :
       {"quote.example.org", "QUOTE.example.org", "quote.example.org.", "quote.example.org:80"}) {
    client.send(to(host));
  }
  ASSERT_TRUE(client.finish());  // so that the next is the last that its node has seen
  auto tracked = to("other.example.org");
  tracked.target = "//track/./%61/../b?x=%2f";
  client.send(tracked);
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.count(200), 5U);
  EXPECT_EQ(taken({"q1", "q2"}), 5U);
  EXPECT_EQ(taken({"b1", "b2"}), 0U);
  // What was matched is what is sent on, so no node takes it for another path.
  const auto seen = [&](const char* name) { return rig.node(name).last_target() == "/track/b?x=%2f"; };
  EXPECT_TRUE(seen("q1") || seen("q2"));

  client.send(to("book.example.org", 1, false));
  auto no_route = to("else.example");
  const auto miss = client.send(no_route);
  no_route.host = "other.example.org";
  client.send(no_route);
  no_route.target = "/track";
  no_route.safe = false;
  no_route.klass = "book-job";
  client.send(no_route);
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(taken({"b1", "b2"}), 1U);
  EXPECT_EQ(client.count(404), 3U);
  EXPECT_EQ(rig.counter("routes_missed_host"), 1U);
  EXPECT_EQ(rig.counter("routes_missed_path"), 1U);
  EXPECT_EQ(rig.counter("routes_missed_class"), 1U);
}

TEST_F(services, ambiguous) {
  rig.start();
  Client client(rig.stage, rig.port);
  const std::string rest =
      "Req-Id: x\r\nReq-Kind: job-status\r\nX-Tier: business\r\nCookie: client=0000000000000001\r\n"
      "Req-Deadline-Ms: 900\r\nX-Call-Terms: units=1\r\n\r\n";
  for (const std::string& head :
       {std::string("GET / HTTP/1.1\r\n"), std::string("GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n"),
        std::string("GET http://b/ HTTP/1.1\r\nHost: a\r\n"),
        std::string("GET /a%2Fb HTTP/1.1\r\nHost: a\r\n"), std::string("GET /a%00 HTTP/1.1\r\nHost: a\r\n"),
        std::string("GET /%zz HTTP/1.1\r\nHost: a\r\n"), std::string("GET /a/..;/b HTTP/1.1\r\nHost: a\r\n"),
        std::string("GET * HTTP/1.1\r\nHost: a\r\n"), std::string("GET / HTTP/1.1\r\nHost: a,b\r\n")}) {
    EXPECT_TRUE(client.raw(head + rest).starts_with("HTTP/1.1 400 ")) << head;
  }
  EXPECT_EQ(rig.counter("requests_bad_host"), 4U);
  EXPECT_EQ(rig.counter("requests_bad_target"), 5U);
  EXPECT_EQ(taken({"q1", "q2", "b1", "b2"}), 0U);
}

// One pool's nodes slow down threefold, again and again. Judged by the median over pairs of windows, a second
// each.
TEST_F(services, isolation) {
  constexpr milliseconds kWindow{1000}, kSettle{250};  // what was sent to slow nodes ends within the latter
  constexpr int kPairs = 9;
  set_nodes({"q1", "q2", "b1", "b2"}, {Answer::good, milliseconds(40)});
  rig.start();
  Client quotes(rig.stage, rig.port, &rig.rules, "q"), bookings(rig.stage, rig.port, &rig.rules, "b");
  const auto mixed = [&](std::size_t i) {
    if (i % 2 == 0) quotes.send(to("quote.example.org", static_cast<int>(i % 7)));
    return to("book.example.org", static_cast<int>(i % 7));
  };
  const auto window = [&](milliseconds quote_nodes) {
    set_nodes({"q1", "q2"}, {Answer::good, quote_nodes});
    bookings.pace(80, kSettle, mixed);
    const auto start = Clock::now();
    bookings.pace(80, kWindow, mixed);
    return start;
  };
  const auto of = [&](Clock::time_point start, double p) {
    return percentile_ms(bookings.results(), p, start, start + kWindow);
  };
  window(milliseconds(40));  // connections come up
  // Each window with slow nodes has its control beside it, before and after it in turn: another program that
  // takes the processor for some seconds meets both.
  std::vector<std::pair<Clock::time_point, Clock::time_point>> pairs;
  pairs.reserve(kPairs);
  for (int i = 0; i < kPairs; ++i) {
    const bool control_first = i % 2 == 0;
    const auto first = window(milliseconds(control_first ? 40 : 120));
    const auto second = window(milliseconds(control_first ? 120 : 40));
    pairs.push_back(control_first ? std::pair(first, second) : std::pair(second, first));
  }
  ASSERT_TRUE(bookings.finish());
  ASSERT_TRUE(quotes.finish());
  const auto slower_by = [&](double p) {
    std::vector<double> all;
    for (const auto& [control, slow] : pairs) all.push_back(of(slow, p) - of(control, p));
    std::sort(all.begin(), all.end());
    return all[all.size() / 2];
  };
  EXPECT_NEAR(slower_by(0.5), 0, 2);
  // The sanitizers' own pauses are no figure of the program's.
  EXPECT_NEAR(slower_by(0.99), 0, kSanitized ? 10 : 2);
  EXPECT_EQ(bookings.count(200), bookings.results().size());
}

TEST_F(services, drain) {
  set_nodes({"q1", "q2", "b1", "b2"}, {Answer::good, milliseconds(20)});
  rig.start();
  Client quotes(rig.stage, rig.port, &rig.rules, "q"), bookings(rig.stage, rig.port, &rig.rules, "b");
  const auto both = [&](std::size_t i) {
    bookings.send(to("book.example.org", static_cast<int>(i % 5)));
    return to("quote.example.org", static_cast<int>(i % 5), i % 4 != 0);
  };
  quotes.pace(100, milliseconds(500), both);
  rig.drained("quote", "", true);
  const auto drained_at = Clock::now();
  quotes.pace(100, milliseconds(1500), both);
  const auto sent_late = taken({"q1", "q2"});
  quotes.pace(100, milliseconds(300), both);
  EXPECT_EQ(taken({"q1", "q2"}), sent_late);
  ASSERT_TRUE(quotes.finish());
  for (const auto& result : quotes.results()) {
    if (result.sent < drained_at + milliseconds(100)) continue;
    EXPECT_EQ(result.status, 429);
    EXPECT_FALSE(result.retry_after.empty());
  }
  EXPECT_NE(rig.console("pools").find("quote drained"), std::string::npos);
  rig.drained("quote", "", false);
  const auto again = Clock::now();
  quotes.pace(100, milliseconds(300), both);
  ASSERT_TRUE(quotes.finish());
  ASSERT_TRUE(bookings.finish());
  EXPECT_GT(std::count_if(quotes.results().begin(), quotes.results().end(),
                          [&](const auto& r) { return r.sent > again && r.status == 200; }),
            20);
  EXPECT_EQ(bookings.count(200), bookings.results().size());
  EXPECT_GT(rig.counter("rpcs_drained_pool"), 0U);
}

// A node that serves two pools is drained in one of them, then in both.
TEST_F(services, drain_node) {
  rig.file.pools = {{"quote", "nodes: [@q1, @both]"}, {"book", "nodes: [@b1, @both]"}};
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  const auto mixed = [&](std::size_t i) {
    return to(i % 2 ? "quote.example.org" : "book.example.org", static_cast<int>(i % 9));
  };
  client.pace(200, milliseconds(300), mixed);
  EXPECT_GT(rig.node("both").taken(), 0U);
  const auto address = rig.node("both").address();
  EXPECT_NE(rig.console("drain quote " + address).find("drained"), std::string::npos);
  EXPECT_NE(rig.console("drain quote 1.2.3.4:5").find("nothing to change"), std::string::npos);
  EXPECT_NE(rig.console("drain none").find("there is no pool"), std::string::npos);
  client.pace(200, milliseconds(300),
              [&](std::size_t i) { return to("book.example.org", static_cast<int>(i % 9)); });
  EXPECT_NE(rig.console("nodes book").find(address + " active"), std::string::npos);
  EXPECT_NE(rig.console("nodes quote").find(address + " leaving"), std::string::npos);
  ASSERT_TRUE(client.finish());
  const auto before = rig.node("both").taken();
  client.pace(200, milliseconds(300),
              [&](std::size_t i) { return to("quote.example.org", static_cast<int>(i % 9)); });
  EXPECT_EQ(rig.node("both").taken(), before);
  rig.drained("*", "both", true);
  client.pace(200, milliseconds(1400), mixed);
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.count(200), client.results().size());
}

// A listener whose queue is full: connections to it come up when somebody takes the first one out, and the
// kernel tries again (after 1 s, then 3 s).
class SlowListener {
 public:
  SlowListener() : acceptor_(io_) {
    acceptor_.open(net::tcp::v4());
    acceptor_.bind({net::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen(0);
    for (int i = 0; i < 3; ++i) {
      auto& filler = fillers_.emplace_back(io_);
      filler.open(net::tcp::v4());
      filler.native_non_blocking(true);
      const auto at = acceptor_.local_endpoint();
      ::connect(filler.native_handle(), at.data(),
                static_cast<socklen_t>(at.size()));  // under way, or in the queue
    }
  }
  std::string address() const {
    return "\"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + '"';
  }
  void give_up_fillers() { fillers_.clear(); }
  // All that is written by those who come within the time.
  std::string heard(milliseconds time) {
    std::string out;
    acceptor_.non_blocking(true);
    std::deque<net::tcp::socket> taken;
    for (const auto end = Clock::now() + time; Clock::now() < end; ::usleep(5000)) {
      boost::system::error_code error;
      net::tcp::socket one(io_);
      acceptor_.accept(one, error);
      if (!error) {
        one.non_blocking(true);
        taken.push_back(std::move(one));
      }
      for (auto& socket : taken) {
        char bytes[1024];
        const auto count = socket.read_some(net::asio::buffer(bytes), error);
        out.append(bytes, error ? 0 : count);
      }
      came_ = std::max(came_, taken.size());
    }
    return out;
  }
  std::size_t came() const { return came_; }

 private:
  net::asio::io_context io_;
  net::tcp::acceptor acceptor_;
  std::deque<net::tcp::socket> fillers_;
  std::size_t came_ = 0;
};

// The connection comes up only after the drain's grace: nothing is sent on it.
TEST_F(services, drain_while_connecting) {
  SlowListener slow;
  rig.file.classes =
      "{job-status: {aim: 6s, give_up: 7s, repeat: safe}, book-job: {aim: 6s, give_up: 7s, repeat: "
      "never}}";
  rig.file.pools["book"] = "nodes: [" + slow.address() + "], connect_timeout: 5s";
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  auto ask = to("book.example.org", 1, false);
  ask.deadline = milliseconds(7000);
  client.send(ask);
  rig.stage.play(milliseconds(200));
  EXPECT_NE(rig.console("drain book").find("drained"), std::string::npos);
  rig.stage.play(milliseconds(1500));
  slow.give_up_fillers();
  EXPECT_EQ(slow.heard(milliseconds(2500)), "");
  EXPECT_GE(slow.came(), 2U);  // the first filler, and the gatekeeper
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.count(429), 1U);  // it never ran
}

TEST_F(services, stalled) {
  rig.file.classes =
      "{job-status: {aim: 300ms, give_up: 600ms, repeat: safe}, book-job: {aim: 300ms, give_up: 600ms, "
      "repeat: never}}";
  set_nodes({"q1", "q2"}, {Answer::stall});
  rig.start();
  Client quotes(rig.stage, rig.port, &rig.rules, "q"), bookings(rig.stage, rig.port, &rig.rules, "b");
  const auto both = [&](std::size_t i) {
    bookings.send(to("book.example.org", static_cast<int>(i % 5)));
    auto ask = to("quote.example.org", static_cast<int>(i % 5), i % 3 != 0);
    ask.deadline = milliseconds(600);
    return ask;
  };
  quotes.pace(100, milliseconds(1500), both);
  ASSERT_TRUE(quotes.finish());
  ASSERT_TRUE(bookings.finish());
  EXPECT_EQ(quotes.count(200), 0U);
  EXPECT_EQ(quotes.count(0), 0U);
  EXPECT_EQ(bookings.count(200), bookings.results().size());
}

TEST_F(services, vanished) {
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  client.pace(100, milliseconds(200),
              [&](std::size_t i) { return to("quote.example.org", static_cast<int>(i % 5)); });
  rig.node("q1").close();
  rig.node("q2").close();
  Client bookings(rig.stage, rig.port, &rig.rules, "b");
  client.pace(100, milliseconds(1500), [&](std::size_t i) {
    bookings.send(to("book.example.org", static_cast<int>(i % 5)));
    return to("quote.example.org", static_cast<int>(i % 5), i % 2 == 0);
  });
  ASSERT_TRUE(client.finish());
  ASSERT_TRUE(bookings.finish());
  EXPECT_GT(client.count(429), 0U);
  EXPECT_EQ(bookings.count(200), bookings.results().size());
}

TEST_F(services, flooded) {
  rig.file.pools["quote"] =
      "nodes: [@q1, @q2], budget: {channels: {guaranteed: 10, most: 40}, rpcs: {guaranteed: 10, most: 30}, "
      "bytes: {guaranteed: 1KiB, most: 100KiB}, connections: {guaranteed: 4, most: 8}}";
  set_nodes({"q1", "q2"}, {Answer::good, milliseconds(200)});
  rig.start();
  Client flood(rig.stage, rig.port, &rig.rules, "q"), bookings(rig.stage, rig.port, &rig.rules, "b");
  std::size_t most_connections = 0;
  for (int round = 0; round < 5; ++round) {
    most_connections = std::max(most_connections, connections_of("quote"));
    for (int i = 0; i < 80; ++i) {
      auto ask = to("quote.example.org", i, i % 4 != 0);
      if (!ask.safe) ask.body = std::string(30'000, 'x');
      flood.send(ask);
    }
    bookings.pace(100, milliseconds(200),
                  [&](std::size_t i) { return to("book.example.org", static_cast<int>(i)); });
  }
  ASSERT_TRUE(flood.finish());
  ASSERT_TRUE(bookings.finish());
  EXPECT_EQ(bookings.count(200), bookings.results().size());
  EXPECT_GT(rig.counter("rpcs_over_budget"), 0U);
  EXPECT_LE(most_connections, 8U);
  EXPECT_GT(most_connections, 4U);  // it had some lent
  EXPECT_GT(flood.count(200), 0U);
  for (const auto& result : flood.results()) {
    EXPECT_TRUE(result.status == 200 || result.status == 429 || result.status == 502) << result.status;
  }
  // All is given back.
  EXPECT_NE(rig.console("pools").find("quote serving nodes 2/2 rpcs 0 channels 0 of"), std::string::npos)
      << rig.console("pools");
}

// Connections to the nodes of one pool use up all that it may borrow; the other's part is there.
TEST_F(services, descriptors) {
  rig.file.limits = "{sockets: 64, memory_mb: 32}";
  rig.file.pools["quote"] = "nodes: [@q1, @q2], budget: {connections: {guaranteed: 2, most: 100}}";
  rig.file.pools["book"] = "nodes: [@b1, @b2], budget: {connections: {guaranteed: 6, most: 100}}";
  set_nodes({"q1", "q2"}, {Answer::good, milliseconds(300)});
  rig.start();
  Client flood(rig.stage, rig.port, &rig.rules, "q"), bookings(rig.stage, rig.port, &rig.rules, "b");
  for (int i = 0; i < 24; ++i) flood.send(to("quote.example.org", i));
  rig.stage.play(milliseconds(100));
  EXPECT_LE(connections_of("quote"), 19U - 6U);
  for (int i = 0; i < 5; ++i) bookings.send(to("book.example.org", i));
  ASSERT_TRUE(bookings.finish());
  EXPECT_EQ(bookings.count(200), 5U);
  ASSERT_TRUE(flood.finish());
  EXPECT_GT(flood.count(200), 0U);
}

TEST_F(services, quota_by_pool) {
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  for (int i = 0; i < 40; ++i) client.send(corner("quote.example.org"));
  for (int i = 0; i < 4; ++i) client.send(corner("book.example.org"));
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(taken({"b1", "b2"}), 4U);  // far over its quota there, and well within it here
  EXPECT_LE(taken({"q1", "q2"}), 10U);
  EXPECT_GE(taken({"q1", "q2"}), 6U) << rig.console("quotas");
}

TEST_F(services, quota_group) {
  rig.file.pools = {{"quote", "nodes: [@q1, @q2], quota_group: one"},
                    {"book", "nodes: [@b1, @b2], quota_group: one"}};
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  for (int i = 0; i < 3; ++i) client.send(corner("quote.example.org"));
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(taken({"q1", "q2"}), 3U);
  for (int i = 0; i < 30; ++i) client.send(corner(i % 2 ? "quote.example.org" : "book.example.org"));
  ASSERT_TRUE(client.finish());
  const auto all = taken({"q1", "q2", "b1", "b2"});
  EXPECT_GE(all, 6U);
  EXPECT_LE(all, 9U);  // the store of 6, and what 2 a second fill in while they are held
}

TEST_F(services, overflow) {
  rig.file.pools["spare"] = "nodes: [@s1]";
  rig.file.routes[0] += ", overflow: spare";
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  client.pace(100, milliseconds(200),
              [&](std::size_t i) { return to("quote.example.org", static_cast<int>(i), i % 3 != 0); });
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(rig.node("s1").taken(), 0U);
  rig.drained("quote", "", true);
  for (int i = 0; i < 20; ++i) client.send(to("quote.example.org", i));
  for (int i = 0; i < 10; ++i) client.send(to("quote.example.org", i, false));
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(rig.node("s1").taken(), 20U);  // what is safe; bookings are told to come back
  EXPECT_EQ(client.count(429), 10U);
  EXPECT_EQ(rig.counter("rpcs_overflowed"), 20U);
}

// The first pool's call attempt is still out when its nodes drain: nothing goes out beside it.
TEST_F(services, overflow_while_out) {
  rig.file.classes =
      "{job-status: {aim: 400ms, give_up: 800ms, repeat: safe}, book-job: {aim: 400ms, give_up: 800ms, "
      "repeat: never}}";
  rig.file.pools["spare"] = "nodes: [@s1]";
  rig.file.routes[0] += ", overflow: spare";
  set_nodes({"q1", "q2"}, {Answer::stall});
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  for (int i = 0; i < 30; ++i) {
    auto ask = to("quote.example.org", i, i % 2 == 0);
    ask.deadline = milliseconds(800);
    client.send(ask);
  }
  rig.stage.play(milliseconds(60));
  rig.drained("quote", "", true);
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.count(0), 0U);
  EXPECT_EQ(client.results().size(), 30U);
}

TEST_F(services, reload) {
  set_nodes({"q1", "q2", "b1", "b2"}, {Answer::good, milliseconds(10)});
  rig.file.pools["book"] = "nodes: [@b1, @b2], quota_group: one";
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  const auto mixed = [&](std::size_t i) {
    return to(i % 2 ? "quote.example.org" : "book.example.org", static_cast<int>(i % 11), i % 3 != 0);
  };
  for (int round = 0; round < 50; ++round) {
    switch (round % 5) {
      case 0:
        rig.file.pools["extra"] = "nodes: [@b2]";
        rig.file.routes.push_back("host: extra.example.org, pool: extra");
        break;
      case 1:
        rig.file.pools["quote"] = "nodes: [@q1]";
        break;
      case 2:  // a module of its own: the pool is replaced, and the old one finishes
        rig.file.pools["quote"] =
            "nodes: [@q1, @q2], plans: {corner: {burst: " + std::to_string(round + 2) + "}}";
        break;
      case 3:
        rig.file.pools.erase("extra");
        rig.file.routes.pop_back();
        break;
      case 4:
        rig.file.pools["quote"] = "nodes: [@q1, @q2], budget: {rpcs: {guaranteed: 20, most: 200}}";
        break;
    }
    client.pace(200, milliseconds(25), mixed);
    rig.reload();
    client.pace(200, milliseconds(25), mixed);
  }
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(rig.counter("reloads"), 50U);
  EXPECT_EQ(rig.counter("reloads_rejected"), 0U);
  EXPECT_EQ(client.count(200), client.results().size());
  ASSERT_TRUE(rig.stage.play_until([&] { return rig.counter("pools_removed") >= 30; }))
      << rig.console("pools");
}

// A file that takes long to read holds no RPC up: some are answered while it is being read.
TEST_F(services, reload_beside) {
  rig.start();
  for (int i = 0; i < 10'000; ++i) {
    rig.file.routes.push_back("host: s" + std::to_string(i) + ".example.org, pool: quote");
  }
  rig.write();
  Client client(rig.stage, rig.port, &rig.rules);
  rig.program->signal(SIGHUP);
  std::size_t meanwhile = 0;
  const auto begin = Clock::now();
  while (Clock::now() < begin + std::chrono::seconds(60)) {
    client.send(to("quote.example.org", 1));
    ASSERT_TRUE(client.finish());
    if (rig.counter("reloads") > 0) break;
    ++meanwhile;
  }
  EXPECT_EQ(rig.counter("reloads"), 1U);
  EXPECT_GT(meanwhile, 0U);
  EXPECT_EQ(client.count(200), client.results().size());
  client.send(to("s77.example.org", 1));
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.results().back().status, 200);
}

TEST_F(services, reload_faulty) {
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  const auto before = rig.console("routes");
  rig.file.routes[1] = "host: book.example.org, pool: none";
  rig.file.pools["quote"] = "nodes: [@b1]";
  rig.reload();
  EXPECT_EQ(rig.counter("reloads_rejected"), 1U);
  EXPECT_EQ(rig.console("routes"), before);
  client.pace(100, milliseconds(200),
              [&](std::size_t i) { return to("quote.example.org", static_cast<int>(i)); });
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(taken({"q1", "q2"}), 20U);
}

TEST_F(services, reload_removes_a_pool_with_bookings_in_flight) {
  set_nodes({"b1", "b2"}, {Answer::good, milliseconds(600)});
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  for (int i = 0; i < 10; ++i) client.send(to("book.example.org", i, false));
  rig.stage.play(milliseconds(100));
  EXPECT_EQ(rig.counter("attempts_out", "book"), 10U);
  EXPECT_EQ(rig.counter("attempts_held", "book"), 10U);
  rig.file.pools.erase("book");
  rig.file.routes.pop_back();
  rig.reload();
  EXPECT_NE(rig.console("pools").find("book removed"), std::string::npos);
  client.send(to("book.example.org", 1, false));
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.count(200), 10U);
  EXPECT_EQ(client.count(404), 1U);
  ASSERT_TRUE(rig.stage.play_until([&] { return rig.counter("pools_removed") == 1; }));
  EXPECT_EQ(rig.console("pools").find("book"), std::string::npos);
  EXPECT_EQ(rig.counter("rpcs_served"), 10U);  // what it counted is kept
}

// Guards against a request that goes on to an overflow pool which a reload has removed, and which had stopped
// since nothing was in it: it is the pool that the request was admitted under.
TEST_F(services, reload_keeps_the_overflow_pool_of_requests_in_flight) {
  rig.file.pools["spare"] = "nodes: [@s1]";
  rig.file.routes[0] += ", overflow: spare";
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  for (int i = 0; i < 9; ++i)
    client.send(corner("quote.example.org"));  // its store has 6, the others are held
  ASSERT_TRUE(rig.stage.play_until([&] { return client.count(200) >= 6; }));
  ASSERT_GT(client.open(), 0U);
  rig.file.pools["spare"] = "nodes: [@s1], plans: {corner: {burst: 7}}";
  rig.reload();
  rig.stage.play(milliseconds(200));  // past a look for pools that may go
  ASSERT_GT(client.open(), 0U);
  EXPECT_EQ(rig.counter("pools_removed"), 0U);
  rig.drained("quote", "", true);
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.count(0), 0U);
  EXPECT_EQ(client.results().size(), 9U);
  EXPECT_TRUE(rig.stage.play_until([&] { return rig.counter("pools_removed") == 1; }));
}

TEST_F(services, reload_during_a_drain) {
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  rig.drained("quote", "q1", true);
  rig.drained("book", "", true);
  rig.file.pools["quote"] = "nodes: [@q1, @q2, @q3]";
  rig.reload();
  client.pace(100, milliseconds(1500),
              [&](std::size_t i) { return to("quote.example.org", static_cast<int>(i)); });
  client.send(to("book.example.org"));
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(rig.node("q1").taken(), 0U);
  EXPECT_EQ(client.count(429), 1U);
  rig.drained("quote", "q2", true);
  const auto before = rig.node("q3").taken();  // a new node has had turns of its own already
  for (int i = 0; i < 5; ++i) client.send(to("quote.example.org", i));
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(rig.node("q3").taken() - before, 5U);  // the only one left
}

TEST_F(services, split_is_sticky) {
  rig.file.pools["book-new"] = "nodes: [@n1]";
  rig.file.routes[1] = "name: bookings, host: book.example.org, split: {book: 50, book-new: 50}";
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  for (int i = 0; i < 120; ++i) {
    client.send(to("book.example.org", i % 40));
    if (i % 40 == 39) {
      ASSERT_TRUE(client.finish());
    }
  }
  EXPECT_EQ(rig.node("n1").taken() % 3, 0U);  // each customer is always in one pool
  EXPECT_GT(rig.node("n1").taken(), 15U);
  EXPECT_GT(taken({"b1", "b2"}), 15U);
}

TEST_F(services, two_fronts) {
  const int other = free_port();
  rig.folder.write("costs.json",
                   R"({"fields": {"status": {"cost": 1}, "book": {"cost": 2, "booking": true}}})");
  rig.file.listeners = "{web: {listen: \"127.0.0.1:" + std::to_string(rig.port) +
                       "\"}, api: {listen: \"127.0.0.1:" + std::to_string(other) +
                       "\", front: graphql, graphql: costs.json}}";
  rig.file.routes = {"listener: web, host: quote.example.org, pool: quote",
                     "listener: api, path: /graphql, classes: [job-status], pool: quote",
                     "listener: api, path: /graphql, classes: [book-job], pool: book"};
  for (const auto* name : {"q1", "q2", "b1", "b2"}) {
    rig.node(name).body = [](const http::Message& m) {
      return m.target == "/graphql" ? std::string(R"({"data":{"ok":1}})") : std::string("plain");
    };
  }
  rig.start();
  ASSERT_TRUE(wait_for_listener(other));
  Client web(rig.stage, rig.port, &rig.rules), api(rig.stage, other);
  web.send(to("quote.example.org"));
  ASSERT_TRUE(web.finish());
  EXPECT_EQ(web.count(200), 1U);
  const auto ask = [&](const std::string& query) {
    Ask graphql;
    graphql.target = "/graphql";
    graphql.safe = false;
    graphql.body = "{\"query\":\"" + query + "\"}";
    graphql.extra = "Content-Type: application/json\r\n";
    graphql.units = query.find("book") == std::string::npos ? 1 : 2;
    api.send(graphql);
  };
  ask("{status}");
  ask("mutation {book}");
  ASSERT_TRUE(api.finish());
  EXPECT_EQ(api.count(200), 2U) << api.results()[0].body;
  EXPECT_EQ(taken({"q1", "q2"}), 2U);
  EXPECT_EQ(taken({"b1", "b2"}), 1U);
}

// The second gatekeeper has a pool that the first has not: its messages are counted there, and the quota of
// the pool that both have holds over the two.
TEST_F(services, two_gatekeepers) {
  const int one = free_port(), two = free_port();
  const auto tier = [&](int index) {
    const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + '"'; };
    return "{index: " + std::to_string(index) + ", listen: " + at(index == 0 ? one : two) + ", peers: [" +
           at(one) + ", " + at(two) + "], messages_per_s: 100}";
  };
  Rig second(program);
  rig.file.tier = tier(0);
  second.file = rig.file;
  second.file.tier = tier(1);
  second.file.pools = {{"quote", "nodes: [@q1]"}, {"more", "nodes: [@m1]"}};
  second.file.routes = {"host: quote.example.org, pool: quote", "host: more.example.org, pool: more"};
  rig.start();
  second.start();
  Client a(rig.stage, rig.port, &rig.rules, "a"), b(second.stage, second.port, &second.rules, "b");
  std::size_t asked = 0;
  for (const auto end = Clock::now() + milliseconds(3000); Clock::now() < end; ++asked) {
    a.send(corner("quote.example.org"));
    b.send(corner("quote.example.org"));
    b.send(to("more.example.org", static_cast<int>(asked % 20)));
    rig.stage.play(milliseconds(20));
    second.stage.play(milliseconds(20));
  }
  ASSERT_TRUE(a.finish());
  ASSERT_TRUE(b.finish());
  const auto both = taken({"q1", "q2"}) + second.node("q1").taken();
  EXPECT_GE(both, 8U);
  EXPECT_LE(both, 6U + 2 * 4 + 4);  // the store, some 4 s of its rate, and a rounding of each at either end
  EXPECT_GT(rig.counter("peer_received") + second.counter("peer_received"), 0U);
  EXPECT_GT(rig.counter("peer_unknown_pool") + second.counter("peer_unknown_pool"), 0U);
  EXPECT_TRUE(second.rules.broken().empty());
}

TEST_F(services, ends_in_order) {
  set_nodes({"b1", "b2"}, {Answer::good, milliseconds(300)});
  rig.start();
  Client client(rig.stage, rig.port, &rig.rules);
  for (int i = 0; i < 10; ++i) client.send(to("book.example.org", i, false));
  rig.stage.play(milliseconds(50));
  rig.program->signal(SIGTERM);
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.count(200), 10U);
  ASSERT_TRUE(rig.stage.play_until([&] { return !rig.program->alive(); }));
  EXPECT_EQ(rig.program->wait(), 0);
  rig.program.reset();
}

TEST(command_line, SaysWhichRouteTakesARequestAndWhy) {
  Folder folder;
  ServicesFile file;
  file.pools = {{"quote", "nodes: [\"127.0.0.1:1\"]"}, {"book", "nodes: [\"127.0.0.1:2\"]"}};
  file.routes = {"name: quotes, host: quote.example.org, pool: quote",
                 "name: looks, host: \"*.example.org\", classes: [job-status], pool: quote",
                 "name: bookings, path: /book, split: {book: 1, quote: 1}"};
  const auto path = folder.write("s.yaml", file.text(8080));
  std::string out;
  EXPECT_EQ(run(program, {"check-config", "--config", path}, out), 0) << out;
  EXPECT_NE(out.find("route bookings: host * path /book to book=1"), std::string::npos) << out;
  EXPECT_EQ(run(program, {"route", path, "--host", "Quote.example.org:80", "--path", "/x"}, out), 0);
  EXPECT_NE(out.find("route quotes (line 10, host quote.example.org, path /): takes it"), std::string::npos)
      << out;
  EXPECT_EQ(run(program,
                {"route", path, "--host", "a.example.org", "--path", "/book", "--method", "POST", "--class",
                 "book-job"},
                out),
            0);
  EXPECT_NE(out.find("not for class book-job"), std::string::npos) << out;
  EXPECT_NE(out.find("route bookings"), std::string::npos) << out;
  EXPECT_EQ(run(program, {"route", path, "--host", "else"}, out), 1);
  EXPECT_NE(out.find("no path matches"), std::string::npos) << out;
  EXPECT_EQ(run(program, {"route", path, "--host", "a b"}, out), 1);
  EXPECT_NE(out.find("400: bad_host"), std::string::npos) << out;
  folder.write("s.yaml", "pools: 3\n");
  EXPECT_EQ(run(program, {"check-config", "--config", path}, out), 1);
  EXPECT_NE(out.find("s.yaml:1:8: pools: must be a map"), std::string::npos) << out;
  EXPECT_EQ(run(program, {"--version"}, out), 0);
  EXPECT_EQ(run(program, {"--help"}, out), 0);
  EXPECT_NE(run(program, {"nonsense"}, out), 0);
}

}  // namespace
}  // namespace cranemux::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (const auto* path = std::getenv("CRANEMUX_PROGRAM")) cranemux::testing::program = path;
  return cranemux::testing::program.empty() ? 2 : RUN_ALL_TESTS();
}
