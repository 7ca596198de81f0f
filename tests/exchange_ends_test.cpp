// What can end an exchange while its worker writes an answer of no told length and pauses in it: the table of
// docs/design/exchange-ends.md against the real program.
#include <gtest/gtest.h>
#include <signal.h>

#include <cstdlib>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "testing/discovery.h"
#include "testing/rig.h"
#include "testing/site.h"
#include "testing/slow_worker.h"
#include "testing/wire.h"

namespace cranemux::testing {
namespace {

constexpr std::size_t kPiece = 20'000;   // bytes
constexpr milliseconds kPause{1500};     // of the worker, between its two pieces
constexpr milliseconds kHeldBack{1000};  // by the gatekeeper at most, with an aim of 2 s
constexpr milliseconds kShortWait{800};  // of a client ...
const char* const kShortClasses =        // ... with an aim of 205 ms
    R"([{"name":"job-status","goal-time-ns":205000000,"give-up-ns":800000000,"points":3,"semantics":"free"},)"
    R"({"name":"book-job","goal-time-ns":205000000,"give-up-ns":800000000,"points":5,)"
    R"("semantics":"single_shot"}])";
const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string status_line(int index, int port, const std::string& name, const char* status, long since) {
  return "{\"index\":" + std::to_string(index) + ",\"snapshot\":false,\"endpoints\":[{\"name\":\"" + name +
         "\",\"address\":\"127.0.0.1:" + std::to_string(port) + "\",\"zone\":\"z\",\"status\":\"" + status +
         "\",\"since_ms\":" + std::to_string(since) + "}]}\n";
}

class exchange_ends : public ::testing::Test {
 protected:
  exchange_ends() : site(std::getenv("CRANEMUX_PROGRAM")), worker(site.stage) {
    site.elsewhere["one"] = worker.address();
    pause(kPause);
  }
  void pause(milliseconds time) {
    worker.answer = {{milliseconds(20), kChunkedHead + chunk(std::string(kPiece, 'a'))},
                     {time, chunk(std::string(kPiece, 'b')) + "0\r\n\r\n"}};
  }
  int worker_port() const {
    const auto address = worker.address();
    return std::stoi(address.substr(address.find(':') + 1));
  }
  void ask(Wire& client, bool safe = true, milliseconds wait = milliseconds(4000)) {
    const auto taken = worker.heads;
    client.send(
        request("e" + std::to_string(++asked_), safe ? "" : "Content-Length: 0\r\n", safe, "1.1", wait));
    ASSERT_TRUE(site.stage.play_until([&] { return worker.heads > taken; }));
  }
  void expect_whole(Wire& client, const std::string& what) {
    std::string body;
    EXPECT_TRUE(client.answer(body)) << what;
    EXPECT_EQ(client.status, 200) << what;
    EXPECT_EQ(body.size(), 2 * kPiece) << what;
  }
  // While the first piece is held back, and once it has been passed on.
  void expect_goes_on(const char* what, const std::function<void()>& end) {
    for (const bool relayed : {false, true}) {
      Wire client(site.stage, site.port);
      ask(client);
      if (relayed) {
        ASSERT_TRUE(site.stage.play_until([&] { return client.read() && client.in.size() > kPiece; }));
      } else {
        site.stage.play(milliseconds(100));
        EXPECT_EQ(client.in, "");
      }
      end();
      expect_whole(client, std::string(what) + (relayed ? ", passed on" : ", held back"));
    }
    EXPECT_EQ(worker.cut, 0U);
  }

  Site site;
  SlowWorker worker;
  std::size_t asked_ = 0;
};

// Guards against an answer that a reload, a drain or a crowd of idle connections cuts off.
TEST_F(exchange_ends, a_reload_ends_no_answer) {
  site.start();
  expect_goes_on("SIGHUP in a row", [&] {
    for (int i = 0; i < 3; ++i) site.life().program->signal(SIGHUP);
  });
}

TEST_F(exchange_ends, a_drain_ends_no_answer) {
  site.start();
  expect_goes_on("drain-on", [&] { site.call("drain-on"); });
}

TEST_F(exchange_ends, a_crowd_ends_no_answer) {
  site.start();
  std::deque<Wire> idle;
  expect_goes_on("idle and half-written connections", [&] {
    for (int i = 0; i < 300; ++i) {
      idle.emplace_back(site.stage, site.port);
      if (i % 2 == 0) idle.back().send("GET /api HTTP/1.1\r\nHo");
    }
    site.stage.play(milliseconds(50));
  });
}

// Guards against an answer that SIGTERM cuts off: the process has to stay for it.
TEST_F(exchange_ends, a_planned_end_waits_for_an_answer_that_is_held_back) {
  site.classes = kShortClasses;
  site.start();
  pause(milliseconds(2500));  // past the longest drain, 0.8 s and 0.65 s
  Wire client(site.stage, site.port);
  ask(client, true, kShortWait);
  auto& process = *site.life().program;
  process.signal(SIGTERM);
  process.signal(SIGTERM);
  expect_whole(client, "SIGTERM");
  EXPECT_TRUE(site.stage.play_until([&] { return !process.alive(); }, milliseconds(2000)));
}

// Guards against an answer that ends with its worker's place in the list: the worker drains, has gone, or
// another has started at its address.
TEST_F(exchange_ends, news_of_its_worker_ends_no_answer) {
  const std::string statuses[] = {status_line(8, worker_port(), "one", "leaving", 0),
                                  status_line(8, worker_port(), "one", "left", 0),
                                  status_line(8, worker_port(), "two", "active", 5000)};
  for (const auto& told : statuses) {
    Site one(std::getenv("CRANEMUX_PROGRAM"));
    SlowWorker slow(one.stage);
    slow.answer = worker.answer;
    const auto address = slow.address();
    const auto port = std::stoi(address.substr(address.find(':') + 1));
    auto text = told;
    const auto old = ":" + std::to_string(worker_port()) + "\"";
    text.replace(text.find(old), old.size(), ":" + std::to_string(port) + "\"");
    Discovery discovery(one.stage);
    discovery.answer(status_line(7, port, "one", "active", 0), Discovery::Then::end);
    discovery.answer(text, Discovery::Then::stay);
    one.elsewhere["one"] = address;
    one.more["ROUTER_DISCOVERY"] = "127.0.0.1:" + std::to_string(discovery.port());
    one.start();
    Wire client(one.stage, one.port);
    client.send(request("news"));
    ASSERT_TRUE(one.stage.play_until([&] { return slow.heads == 1; })) << text;
    std::string body;
    EXPECT_TRUE(client.answer(body)) << text;
    EXPECT_EQ(body.size(), 2 * kPiece) << text;
    EXPECT_EQ(slow.cut, 0U) << text;
  }
}

// Guards against an answer that is given up because the process did not run when its first bytes came: they
// are not read yet when the aim, the attempt's time and the deadline are over all at once.
TEST_F(exchange_ends, a_stopped_process_finds_the_answer_that_has_begun) {
  site.classes = kShortClasses;
  site.start();
  for (const bool safe : {true, false}) {
    Wire client(site.stage, site.port);
    worker.answer.front().after = milliseconds(60);
    ask(client, safe, kShortWait);
    site.life().program->signal(SIGSTOP);
    site.stage.play(milliseconds(400));  // the aim is over, the deadline is not
    site.life().program->signal(SIGCONT);
    expect_whole(client, safe ? "safe" : "runs once");
  }
  EXPECT_EQ(worker.cut, 0U);
}

// Guards against an answer that is given up because it begins in the last moments of the aim, or of the
// client's wait.
TEST_F(exchange_ends, an_answer_that_begins_late_comes_whole) {
  // An aim of 1 s: what begins in its last 100 ms is passed on at once.
  site.classes =
      R"([{"name":"job-status","goal-time-ns":1000000000,"give-up-ns":1500000000,"points":3,"semantics":"free"}])";
  site.start();
  for (const int after : {600, 850, 920}) {
    Wire client(site.stage, site.port);
    worker.answer.front().after = milliseconds(after);
    ask(client, true, milliseconds(1500));
    expect_whole(client, std::to_string(after) + " ms after the request");
  }
  EXPECT_EQ(worker.cut, 0U);
}

// The other side of that: an answer of which nothing has come is refused once the aim is over, and one that
// stops for good is broken off, so that its client can tell.
TEST_F(exchange_ends, an_answer_that_does_not_go_on_is_broken_off) {
  site.classes = kShortClasses;
  site.start();
  constexpr milliseconds kEnds{4000};
  for (const auto* interim : {"", "HTTP/1.1 102 Processing\r\n\r\n"}) {
    worker.answer = {{milliseconds(10), interim}, {kEnds, "late"}};
    Wire client(site.stage, site.port);
    ask(client, true, kShortWait);
    const auto sent = Clock::now();
    std::string body;
    EXPECT_TRUE(client.answer(body));
    EXPECT_EQ(client.status, 429);
    EXPECT_LT(Clock::now() - sent, kShortWait);
  }
  worker.answer = {{milliseconds(10), kChunkedHead + chunk("first")}, {2 * kEnds, "late"}};
  Wire client(site.stage, site.port);
  ask(client, true, kShortWait);
  const auto sent = Clock::now();
  std::string body;
  EXPECT_FALSE(client.answer(body));
  EXPECT_EQ(client.status, 200);
  EXPECT_LT(Clock::now() - sent, kEnds);
  EXPECT_TRUE(site.stage.play_until([&] { return site.figure("router_pending") == 0; }));
}

// An answer whose length is told and small enough to be held is late with its last byte, not with its first.
TEST_F(exchange_ends, a_short_answer_that_is_late_is_refused_in_time) {
  site.classes = kShortClasses;
  site.start();
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n";
  worker.answer = {{milliseconds(10), head + std::string(kPiece, 'a')}, {kPause, std::string(kPiece, 'b')}};
  Wire client(site.stage, site.port);
  ask(client, true, kShortWait);
  const auto sent = Clock::now();
  std::string body;
  EXPECT_TRUE(client.answer(body));
  EXPECT_EQ(client.status, 429);
  EXPECT_LT(Clock::now() - sent, kShortWait);
}

// A client that leaves frees the worker at once, whether its answer is held back or passed on.
TEST_F(exchange_ends, a_client_that_leaves_ends_its_answer) {
  site.start();
  for (const bool relayed : {false, true}) {
    Wire client(site.stage, site.port);
    ask(client);
    if (relayed) {
      ASSERT_TRUE(site.stage.play_until([&] { return client.read() && client.in.size() > kPiece; }));
    } else {
      site.stage.play(milliseconds(100));
    }
    client.close();
    EXPECT_TRUE(site.stage.play_until([&] { return site.figure("router_pending") == 0; }, kHeldBack / 2));
  }
}

// Several services in one process: a pool that a reload removes, and a node that is drained, keep the answers
// that are under way.
TEST(exchange_ends_of_services, a_removed_pool_ends_no_answer) {
  Rig rig(std::getenv("CRANEMUX_PROGRAM"));
  SlowWorker worker(rig.stage);
  worker.answer = {{milliseconds(20), kChunkedHead + chunk(std::string(kPiece, 'a'))},
                   {kPause, chunk(std::string(kPiece, 'b')) + "0\r\n\r\n"}};
  rig.file.pools = {{"slow", "nodes: [\"" + worker.address() + "\"]"}, {"other", "nodes: [@o1]"}};
  rig.file.routes = {"name: slow, host: a, pool: slow", "name: other, host: b, pool: other"};
  rig.start();
  std::deque<Wire> clients;
  const auto ask = [&](std::size_t count) {
    clients.emplace_back(rig.stage, rig.port);
    clients.back().send(request("s" + std::to_string(count), {}, true, "1.1", milliseconds(3000)));
    return rig.stage.play_until([&] { return worker.heads == count; });
  };
  ASSERT_TRUE(ask(1));
  ASSERT_TRUE(rig.stage.play_until([&] { return clients[0].read() && clients[0].in.size() > kPiece; }));
  ASSERT_TRUE(ask(2));
  rig.console("drain slow " + worker.address());
  rig.file.pools.erase("slow");
  rig.file.routes.erase(rig.file.routes.begin());
  rig.reload();
  for (auto& client : clients) {
    std::string body;
    EXPECT_TRUE(client.answer(body));
    EXPECT_EQ(body.size(), 2 * kPiece);
  }
  EXPECT_EQ(worker.cut, 0U);
  EXPECT_TRUE(rig.stage.play_until([&] { return rig.counter("pools_removed") == 1; }));
}

}  // namespace
}  // namespace cranemux::testing
