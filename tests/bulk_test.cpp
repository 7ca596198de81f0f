// Long answers and slow clients: what flows through, what is held, and what either side is told when the
// other breaks off.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <deque>

#include "http/http.h"
#include "testing/client.h"
#include "testing/flooding_clients.h"
#include "testing/site.h"
#include "testing/wire.h"

namespace cranemux::testing {
namespace {

constexpr std::size_t kMega = 1024 * 1024;
// Under sanitizers freed memory is kept for a while: there it tells nothing.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMemoryTells = false;
#else
constexpr bool kMemoryTells = true;
#endif

std::string chunked(const std::string& data, std::size_t piece) {
  std::string out;
  for (std::size_t at = 0; at < data.size(); at += piece) {
    const auto part = data.substr(at, piece);
    char size[20];
    std::snprintf(size, sizeof size, "%zX;x=y\r\n", part.size());
    out += size + part + "\r\n";
  }
  return out + "0\r\nSome: trailer\r\n\r\n";
}

class bulk : public ::testing::Test {
 protected:
  bulk() : site(std::getenv("CRANEMUX_PROGRAM")) { node(); }
  Node& node() { return site.node("one"); }
  void TearDown() override { EXPECT_TRUE(site.life().program->alive()) << site.log(0); }
  long count(const std::string& result) {
    return site.figure("router_downstream_requests{lane=\"job-status\",result=\"" + result + "\"}");
  }
  Site site;
};

TEST_F(bulk, long_answers_in_every_framing) {
  const auto data = pattern(3 * kMega + 17);
  std::string told;
  node().raw = [&](const auto&) { return std::optional(told); };
  site.start();
  Wire wire(site.stage, site.port);
  std::string body;
  const auto ask = [&](const std::string& id, const std::string& answer) {
    site.stage.play(kConnectionRested);
    told = answer;
    wire.send(request(id));
    return wire.answer(body);
  };
  const auto length = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(data.size()) + "\r\n\r\n" + data;
  ASSERT_TRUE(ask("a", length));
  EXPECT_EQ(body, data);
  ASSERT_TRUE(ask("b", "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                           chunked(data, 70'001)));
  EXPECT_EQ(body, data);
  ASSERT_TRUE(ask("c", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(data, 5)));
  EXPECT_EQ(body, data);
  // All of that on one channel, and on one connection to the worker.
  EXPECT_EQ(node().connections(), 1U);
  node().raw_ends = true;
  ASSERT_TRUE(ask("d", "HTTP/1.1 200 OK\r\n\r\n" + data));
  EXPECT_EQ(body, data);
  node().raw_ends = false;
  ASSERT_TRUE(ask("e", length));
  EXPECT_EQ(body, data);
  EXPECT_EQ(node().connections(), 2U);
  // A client of HTTP/1.0 knows no chunks: the end of its connection is the answer's.
  told = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(data, 9999);
  Wire old(site.stage, site.port);
  old.send(request("f", {}, true, "1.0"));
  ASSERT_TRUE(old.answer(body));
  EXPECT_EQ(body, data);
  EXPECT_FALSE(old.head.field("Transfer-Encoding").has_value());
  EXPECT_EQ(count("completed"), 6);
  EXPECT_EQ(site.figure("router_pending"), 0);
}

// The next request on a channel waits for the end of a long answer.
TEST_F(bulk, pipelined_behind_a_long_answer) {
  const auto data = pattern(kMega);
  node().body = [&](const http::Message& message) {
    return message.field("Req-Id") == "long" ? data : std::string("short");
  };
  site.start();
  Wire wire(site.stage, site.port);
  wire.send(request("long") + request("next") + request("last"));
  std::string body;
  ASSERT_TRUE(wire.answer(body, 10'000));
  EXPECT_EQ(body, data);
  ASSERT_TRUE(wire.answer(body));
  EXPECT_EQ(body, "short");
  ASSERT_TRUE(wire.answer(body));
  EXPECT_EQ(body, "short");
}

TEST_F(bulk, a_worker_that_breaks_off) {
  const auto data = pattern(kMega);
  std::string told;
  node().raw = [&](const auto&) { return std::optional(told); };
  node().raw_ends = true;
  site.start();
  std::string body;
  for (const auto& [version, answer] :
       {std::pair("1.1", "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + data),
        std::pair("1.1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + data),
        std::pair("1.1",
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + data + "\r\nzz\r\n"),
        std::pair("1.0", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + data)}) {
    told = answer;
    Wire wire(site.stage, site.port);
    wire.send(request("r" + std::to_string(body.size()), {}, true, version));
    if (std::string(version) == "1.1") {
      EXPECT_FALSE(wire.answer(body)) << answer.substr(0, 60);
    } else {  // no framing: the connection is reset, not ended
      bool open = true;
      while (open) open = wire.read();
      EXPECT_NE(wire.in, "");
    }
  }
  EXPECT_EQ(count("failed"), 4);
  EXPECT_EQ(count("completed"), 0);
  EXPECT_EQ(site.figure("router_pending"), 0);
}

// Two hundred readers that take nothing for a while: the worker waits, and little is held.
TEST_F(bulk, slow_readers_hold_little) {
  const auto data = pattern(4 * kMega);
  node().body = [&](const auto&) { return data; };
  site.limits = "{\"sockets\":1024,\"memory_mb\":48}";
  site.start();
  std::string body;
  {
    Wire warm(site.stage, site.port);
    warm.send(request("warm"));
    ASSERT_TRUE(warm.answer(body));
  }
  const auto before = site.life().program->resident_kb();
  std::deque<Wire> wires;
  // Not all at once: the windows of the module let a few out for each worker.
  for (int i = 0; i < 60; ++i) {
    wires.emplace_back(site.stage, site.port);
    wires.back().send(request("s" + std::to_string(i)));
    ASSERT_TRUE(site.stage.play_until(
        [&] { return site.figure("router_upstream_requests{lane=\"job-status\"}") >= i + 1; }));
  }
  site.stage.play(milliseconds(300));
  const auto more = site.life().program->resident_kb() - before;
  if (kMemoryTells) {
    EXPECT_LT(more, 24 * 1024);
  }  // of 240 MB that are on their way
  EXPECT_EQ(site.figure("router_pending"), 60);
  for (auto& wire : wires) {
    ASSERT_TRUE(wire.answer(body)) << "status " << wire.status;
    EXPECT_TRUE(wire.status != 200 || body == data);
  }
  EXPECT_EQ(site.figure("router_pending"), 0);
}

// Guards against channels that stay for good: the worker has given all, and the client takes nothing of the
// last bytes, which lie in the gatekeeper. Which answers end there goes by what the systems hold; of shorter
// ones nothing is left, and longer ones are broken off while the worker still gives.
TEST_F(bulk, a_client_that_takes_nothing_of_the_end_is_cut) {
  constexpr std::size_t kStep = 40 * 1024;
  constexpr int kAnswers = 12;
  node().body = [](const http::Message& message) {
    return std::string(kStep * std::stoul(std::string(*message.field("Req-Id"))), 'a');
  };
  site.start();
  std::deque<Wire> wires;
  for (int i = 0; i < kAnswers; ++i) {  // not all at once: the module lets a few out for each worker
    wires.emplace_back(site.stage, site.port);
    wires.back().send(request(std::to_string(i + 2)));
    ASSERT_TRUE(site.stage.play_until(
        [&] { return site.figure("router_upstream_requests{lane=\"job-status\"}") > i; }));
  }
  EXPECT_GT(site.figure("router_pending"), 0);
  EXPECT_TRUE(site.stage.play_until([&] { return site.figure("router_pending") == 0; }, milliseconds(15'000)))
      << site.figure("router_pending");
}

TEST_F(bulk, a_client_that_leaves_frees_the_worker) {
  const auto data = pattern(16 * kMega);
  node().body = [&](const auto&) { return data; };
  site.start();
  Wire wire(site.stage, site.port);
  wire.send(request("gone"));
  while (wire.in.size() < 100'000) ASSERT_TRUE(wire.read());
  EXPECT_EQ(site.figure("router_pending"), 1);
  wire.close();
  EXPECT_TRUE(site.stage.play_until([&] { return site.figure("router_pending") == 0; }));
  EXPECT_EQ(count("completed") + count("failed"), 0);
  node().body = {};
  Wire next(site.stage, site.port);
  next.send(request("next"));
  std::string body;
  ASSERT_TRUE(next.answer(body));
  EXPECT_EQ(next.status, 200);
}

// A head that takes seconds, and a body that comes slowly, are served; one that stops is not waited for.
TEST_F(bulk, slow_is_not_dead) {
  site.start();
  Wire slow(site.stage, site.port), stopped(site.stage, site.port);
  const auto text = request("slow", "Content-Length: 60000\r\n", false);
  const auto body = pattern(60'000);
  slow.send(text.substr(0, 20));
  stopped.send(request("stopped", "Content-Length: 60000\r\n", false) + body.substr(0, 100));
  site.stage.play(milliseconds(2000));
  slow.send(text.substr(20));
  for (std::size_t at = 0; at < body.size(); at += 4000) {
    slow.send(std::string_view(body).substr(at, 4000));
    site.stage.play(milliseconds(60));
  }
  std::string answer;
  ASSERT_TRUE(slow.answer(answer));
  EXPECT_EQ(slow.status, 200);
  ASSERT_TRUE(stopped.answer(answer));
  EXPECT_EQ(stopped.status, 408);
}

TEST_F(bulk, a_client_that_asks_whether_to_go_on) {
  site.start();
  Wire wire(site.stage, site.port);
  wire.send(request("asks", "Content-Length: 4\r\nExpect: 100-continue\r\n", false));
  while (wire.in.find("\r\n\r\n") == std::string::npos) ASSERT_TRUE(wire.read());
  EXPECT_EQ(wire.in, "HTTP/1.1 100 Continue\r\n\r\n");
  wire.in.clear();
  wire.send("book");
  std::string body;
  ASSERT_TRUE(wire.answer(body));
  EXPECT_EQ(wire.status, 200);
  // One that does not wait for it is not told.
  wire.send(request("sure", "Content-Length: 4\r\nExpect: 100-continue\r\n", false) + "book");
  ASSERT_TRUE(wire.answer(body));
  EXPECT_EQ(wire.status, 200);
}

// ---- bodies of requests -------------------------------------------------------------------------

// What a worker got of a request, by its own reading.
struct Taken {
  std::string head, body;
};

// A worker that reads bodies of any size, and answers when they are whole; or at once, with what it is told
// to.
class Reader {
 public:
  explicit Reader(Stage& stage)
      : stage_(stage), acceptor_(stage.io(), {net::asio::ip::make_address("127.0.0.1"), 0}) {
    net::spawn(stage_.io(), logger_, "reader", accept());
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  std::string early;      // said once a head is there
  int* breaks = nullptr;  // so many connections still break in the middle of a body
  std::vector<Taken> taken;
  std::size_t heads = 0;

 private:
  net::awaitable<void> accept() {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
      if (error) co_return;
      net::spawn(stage_.io(), logger_, "reader",
                 serve(std::make_shared<net::tcp::socket>(std::move(socket))));
    }
  }
  net::awaitable<void> serve(std::shared_ptr<net::tcp::socket> socket) {
    std::string in;
    for (;;) {
      http::Message head;
      while (http::parse_head(in, http::Kind::request, head).state != http::State::whole) {
        if (co_await net::read_more(*socket, in, 65536) == 0) co_return;
      }
      ++heads;
      Taken one{in.substr(0, head.size), {}};
      int ignored = 0;
      http::BodyReader reader(*http::framing(head, http::Kind::request, ignored));
      in.erase(0, head.size);
      if (!early.empty()) {
        co_await net::asio::async_write(*socket, net::asio::buffer(early), net::kResult);
        co_return;
      }
      while (reader.take(in, one.body) != http::BodyReader::State::done) {
        if (breaks && *breaks > 0 && one.body.size() >= 20'000) {
          --*breaks;
          socket->set_option(net::asio::socket_base::linger(true, 0));
          co_return;
        }
        if (co_await net::read_more(*socket, in, 65536) == 0) co_return;
      }
      taken.push_back(std::move(one));
      const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      co_await net::asio::async_write(*socket, net::asio::buffer(good), net::kResult);
    }
  }

  Stage& stage_;
  net::tcp::acceptor acceptor_;
  metrics::Logger logger_{2, metrics::Level::error};
};

// A worker that answers each request with so many pieces, one after another.
class PacedWorker {
 public:
  explicit PacedWorker(Stage& stage)
      : stage_(stage), acceptor_(stage.io(), {net::asio::ip::make_address("127.0.0.1"), 0}) {
    net::spawn(stage_.io(), logger_, "paced worker", accept());
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  std::size_t pieces = 0;
  milliseconds pace{};
  static constexpr std::size_t kPiece = 64 * 1024;  // bytes

 private:
  net::awaitable<void> accept() {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
      if (error) co_return;
      net::spawn(stage_.io(), logger_, "paced worker",
                 serve(std::make_shared<net::tcp::socket>(std::move(socket))));
    }
  }
  net::awaitable<void> serve(std::shared_ptr<net::tcp::socket> socket) {
    std::string in;
    http::Message head;
    while (http::parse_head(in, http::Kind::request, head).state != http::State::whole) {
      if (co_await net::read_more(*socket, in) == 0) co_return;
    }
    auto out = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces * kPiece) + "\r\n\r\n";
    net::asio::steady_timer timer(stage_.io());
    for (std::size_t i = 0; i < pieces; ++i) {
      out += std::string(kPiece, 'a');
      const auto [error, count] =
          co_await net::asio::async_write(*socket, net::asio::buffer(out), net::kResult);
      if (error) co_return;
      out.clear();
      timer.expires_after(pace);
      co_await timer.async_wait(net::kResult);
    }
  }

  Stage& stage_;
  net::tcp::acceptor acceptor_;
  metrics::Logger logger_{2, metrics::Level::error};
};

// Guards against answers that a planned end cuts off: the worker still gives and the client still takes when
// every request's time is over, and the process used to end by itself then.
TEST(planned_end, long_answers_that_are_under_way_come_whole) {
  Site site(std::getenv("CRANEMUX_PROGRAM"));
  PacedWorker worker(site.stage);
  site.elsewhere["one"] = worker.address();
  worker.pieces = 100;
  worker.pace = milliseconds(50);  // 5 s in all; the longest drain is 3.55 s
  auto& process = *site.start().program;
  Wire wire(site.stage, site.port);
  wire.send(request("long"));
  while (wire.in.size() < PacedWorker::kPiece) ASSERT_TRUE(wire.read());
  process.signal(SIGTERM);
  std::string body;
  EXPECT_TRUE(wire.answer(body)) << body.size() << " bytes came";
  EXPECT_EQ(body.size(), worker.pieces * PacedWorker::kPiece);
  EXPECT_TRUE(site.stage.play_until([&] { return !process.alive(); }, milliseconds(2000)));
  EXPECT_EQ(process.wait(), 0);
}

class upload : public ::testing::Test {
 protected:
  upload() : site(std::getenv("CRANEMUX_PROGRAM")), reader(site.stage) {
    site.elsewhere["one"] = reader.address();
  }
  void TearDown() override { EXPECT_TRUE(site.life().program->alive()) << site.log(0); }
  long count(const std::string& result) {
    return site.figure("router_downstream_requests{lane=\"book-job\",result=\"" + result + "\"}");
  }
  Site site;
  Reader reader;
};

TEST_F(upload, long_bodies_in_every_framing) {
  site.start();
  Wire wire(site.stage, site.port);
  std::string answer;
  for (const std::size_t size : {std::size_t{70'000}, kMega, 5 * kMega + 3}) {
    const auto data = pattern(size);
    wire.send(request("l" + std::to_string(size), "Content-Length: " + std::to_string(size) + "\r\n", false) +
              data);
    ASSERT_TRUE(wire.answer(answer));
    ASSERT_EQ(wire.status, 200);
    EXPECT_EQ(reader.taken.back().body, data);
    wire.send(request("c" + std::to_string(size), "Transfer-Encoding: chunked\r\n", false) +
              chunked(data, 30'011));
    ASSERT_TRUE(wire.answer(answer));
    ASSERT_EQ(wire.status, 200);
    EXPECT_EQ(reader.taken.back().body, data);
  }
  // The channel goes on with the next request, and pipelined ones come in turn.
  const auto data = pattern(100'000);
  wire.send(request("p1", "Content-Length: 100000\r\n", false) + data +
            request("p2", "Content-Length: 4\r\n", false) + "book");
  ASSERT_TRUE(wire.answer(answer));
  ASSERT_TRUE(wire.answer(answer));
  EXPECT_EQ(wire.status, 200);
  EXPECT_EQ(reader.taken.back().body, "book");
  EXPECT_EQ(count("completed"), 8);
}

// 16 MB that come in pieces: little is held, and the time of the request begins with its last byte.
TEST_F(upload, holds_little_and_counts_time_from_the_last_byte) {
  site.start();
  Wire wire(site.stage, site.port);
  std::string answer;
  wire.send(request("warm", "Content-Length: 4\r\n", false) + "warm");
  ASSERT_TRUE(wire.answer(answer));
  const auto before = site.life().program->resident_kb();
  const auto data = pattern(16 * kMega);
  wire.send(request("big", "Content-Length: " + std::to_string(data.size()) + "\r\n", false));
  const auto start = Clock::now();
  constexpr std::size_t kSlowly = 3200;  // bytes each 50 ms: 64 kB a second
  for (std::size_t at = 0, piece = kMega; at < data.size(); at += piece) {
    piece = kMega;
    wire.send(std::string_view(data).substr(at, piece));
    if (at + piece == data.size() / 2) {
      // Longer than the deadline that the request names.
      while (Clock::now() < start + milliseconds(4500)) {
        wire.send(std::string_view(data).substr(at + piece, kSlowly));
        piece += kSlowly;
        site.stage.play(milliseconds(50));
      }
      const auto more = site.life().program->resident_kb() - before;
      if (kMemoryTells) {
        EXPECT_LT(more, 6 * 1024);
      }
      EXPECT_EQ(site.figure("router_upstream_requests{lane=\"book-job\"}"), 1);  // not yet
    }
  }
  ASSERT_TRUE(wire.answer(answer));
  EXPECT_EQ(wire.status, 200);
  EXPECT_EQ(reader.taken.back().body, data);
  EXPECT_NE(reader.taken.back().head.find("\r\nReq-Deadline-Ms: 4000\r\n"), std::string::npos)
      << reader.taken.back().head;
  EXPECT_EQ(site.figure("router_upstream_requests{lane=\"book-job\"}"), 2);
}

// A worker that breaks while the body comes has not run it: it goes elsewhere while all of it is held.
TEST_F(upload, a_worker_that_breaks_in_the_middle) {
  Reader second(site.stage);
  site.elsewhere["two"] = second.address();
  int breaks = 1;
  reader.breaks = second.breaks = &breaks;
  site.start();
  Wire wire(site.stage, site.port);
  const auto data = pattern(2 * kMega);
  wire.send(request("held", "Content-Length: " + std::to_string(data.size()) + "\r\n", false) +
            data.substr(0, kMega));
  while (reader.heads + second.heads < 2) ASSERT_TRUE(wire.read());
  wire.send(std::string_view(data).substr(kMega));
  std::string answer;
  ASSERT_TRUE(wire.answer(answer));
  EXPECT_EQ(wire.status, 200);
  EXPECT_GE(reader.heads + second.heads, 2U);
  ASSERT_EQ(reader.taken.size() + second.taken.size(), 1U);
  EXPECT_EQ((reader.taken.empty() ? second : reader).taken.back().body, data);
}

// A worker whose process hangs: its machine takes what its buffer holds, and nothing is read.
class HangingWorker {
 public:
  explicit HangingWorker(Stage& stage) : acceptor_(stage.io(), net::tcp::v4()) {
    acceptor_.set_option(net::asio::socket_base::receive_buffer_size(64 * 1024));
    acceptor_.bind({net::asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

 private:
  net::tcp::acceptor acceptor_;
};

// Guards against requests that are never answered: their worker takes no more of the body, so the gatekeeper
// reads no further, and the last byte, with which their time begins, stays in its machine's buffer.
TEST_F(upload, is_answered_in_time_though_its_end_waits_unread_behind_a_worker_that_hangs) {
  constexpr std::size_t kPiece = 16 * 1024;
  constexpr milliseconds kInTime{4550};  // the request's time and half a second
  HangingWorker worker(site.stage);
  site.elsewhere["one"] = worker.address();
  site.start();
  const auto expect_answer = [&](Wire& wire, const char* what) {
    EXPECT_TRUE(site.stage.play_until([&] { return !wire.read() || !wire.in.empty(); }, kInTime)) << what;
    std::string answer;
    EXPECT_TRUE(!wire.in.empty() && wire.answer(answer)) << what;
    EXPECT_TRUE(wire.status == 502 || wire.status == 429) << what << " " << wire.status;
  };
  // Where chunks frame the body, it ends as soon as the gatekeeper reads no further.
  const auto piece = chunked(std::string(kPiece, 'b'), kPiece);
  const auto end = piece.find("0\r\nSome: trailer");
  std::size_t sent = 0;
  {
    Wire wire(site.stage, site.port);
    wire.send(request("chunks", "Transfer-Encoding: chunked\r\n", false));
    const auto reads = [&] {
      return site.stage.play_until([&] { return wire.unread_there() == 0; }, milliseconds(50));
    };
    while (reads()) {
      ASSERT_LT(sent, 32 * kMega);
      ASSERT_TRUE(wire.send_whole(std::string_view(piece).substr(0, end)));
      sent += kPiece;
    }
    ASSERT_TRUE(wire.send_whole(std::string_view(piece).substr(end)));
    expect_answer(wire, "chunks");
  }
  // A told length is about the same, less where that could not be taken whole.
  for (bool whole = false; !whole; sent -= 2 * kPiece) {
    ASSERT_GT(sent, kMega);
    Wire wire(site.stage, site.port);
    const std::string data(sent + 4 * kPiece, 'b');
    const auto head = "Content-Length: " + std::to_string(data.size()) + "\r\n";
    whole = wire.send_whole(request(std::to_string(sent), head, false) + data);
    if (whole) expect_answer(wire, "length");
  }
  EXPECT_TRUE(site.stage.play_until([&] { return site.figure("router_pending") == 0; }));
}

TEST_F(upload, an_answer_before_the_end) {
  reader.early =
      "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  site.start();
  Wire wire(site.stage, site.port);
  wire.send(request("early", "Content-Length: 9000000\r\n", false) + pattern(2 * kMega));
  std::string answer;
  ASSERT_TRUE(wire.answer(answer));
  EXPECT_EQ(wire.status, 429);  // it has run nowhere
  EXPECT_FALSE(wire.keeps);
  EXPECT_EQ(reader.taken.size(), 0U);
}

// Guards against a request that is closed with no answer where memory runs short: its last byte may have been
// written, and lie where the gatekeeper cannot see it.
TEST_F(upload, that_gives_way_to_others_is_answered) {
  site.limits = "{\"sockets\":384,\"memory_mb\":16}";  // a quarter of it for what channels hold
  site.start();
  std::deque<Wire> wires;
  for (int i = 0; i < 12; ++i) {  // while little is held, each may hold a megabyte
    wires.emplace_back(site.stage, site.port);
    wires.back().send(request("m" + std::to_string(i), "Content-Length: 2000000\r\n", false) +
                      std::string(120'000, 'b'));
  }
  site.stage.play(milliseconds(50));
  for (auto& wire : wires) wire.send(std::string(800'000, 'b'));
  std::size_t refused = 0;
  for (auto& wire : wires) {
    bool open = true;
    site.stage.play_until([&] { return !(open = wire.read()) || !wire.in.empty(); }, milliseconds(100));
    EXPECT_TRUE(open || !wire.in.empty()) << "closed with no answer";
    refused += wire.in.starts_with("HTTP/1.1 503");
  }
  EXPECT_GT(refused, 0U);
}

TEST_F(upload, a_client_that_stops_or_leaves) {
  site.start();
  Wire stops(site.stage, site.port);
  const auto data = pattern(2 * kMega);
  stops.send(request("stops", "Transfer-Encoding: chunked\r\n", false) + "300000\r\n" +
             data.substr(0, 100'000));
  {
    Wire leaves(site.stage, site.port);
    leaves.send(request("leaves", "Content-Length: 9000000\r\n", false) + data);
    while (reader.heads == 0) ASSERT_TRUE(leaves.read());
    leaves.close();
  }
  Wire lies(site.stage, site.port);
  lies.send(request("lies", "Content-Length: 99999999999\r\n", false) + data.substr(0, 1000));
  std::string answer;
  ASSERT_TRUE(lies.answer(answer));
  EXPECT_EQ(lies.status, 413);
  Wire damaged(site.stage, site.port);
  damaged.send(request("damaged", "Transfer-Encoding: chunked\r\n", false) + "20000\r\n" +
               data.substr(0, 0x20000) + "\r\nnonsense\r\n");
  ASSERT_TRUE(damaged.answer(answer));
  EXPECT_EQ(damaged.status, 400);
  ASSERT_TRUE(stops.answer(answer));
  EXPECT_EQ(stops.status, 408);
  EXPECT_EQ(reader.taken.size(), 0U);
  EXPECT_EQ(site.figure("router_pending"), 0);
  EXPECT_EQ(count("completed"), 0);
}

// Guards against clients that stop half way through a long request and hold all places in the workers'
// windows, or come on so slowly that they do: usual ones are served while they stand there, and what was
// theirs is free soon after.
class half_way : public upload {
 protected:
  static constexpr std::size_t kClients = 40;
  static constexpr milliseconds kToBegin{20};  // one that is refused never does
  half_way() {
    for (const auto* name : {"two", "three", "four"}) {
      site.elsewhere[name] = readers.emplace_back(site.stage).address();
    }
    site.limits = R"({"sockets":1024,"memory_mb":64})";
    site.start();
    const auto data = pattern(kMega);
    for (std::size_t i = 0; i < kClients; ++i) {
      const auto head = booking_head("half" + std::to_string(i), customer_name(i), "business",
                                     milliseconds(2000), 32 * kMega);
      auto& wire = wires.emplace_back(site.stage, site.port);
      wire.send(head + data);
      site.stage.play_until([&] { return begun() > i; }, kToBegin);
    }
    EXPECT_GE(begun(), readers.size() + 1);  // on each worker
  }
  std::size_t begun() const {
    auto sum = reader.heads;
    for (const auto& one : readers) sum += one.heads;
    return sum;
  }
  // Usual requests for so long, all of them served.
  void serves_others(milliseconds time, const std::function<void()>& beside = {}) {
    constexpr double kPerSecond = 50;
    static constexpr milliseconds kWait{800};
    Client usual(site.stage, site.port, nullptr, "usual" + std::to_string(++rounds) + "-");
    usual.flow(kPerSecond, time, [](std::size_t i) {
      Ask ask;
      ask.deadline = kWait;
      ask.customer = customer_name(kClients + i % 10);
      return ask;
    });
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
      if (beside) beside();
      site.stage.play(milliseconds(50));
    }
    ASSERT_TRUE(usual.finish());
    EXPECT_EQ(usual.count(200), usual.results().size());
    EXPECT_GT(usual.results().size(), 0U);
    EXPECT_LT(percentile_ms(usual.results(), 1), kWait.count());
  }
  std::deque<Reader> readers;
  std::deque<Wire> wires;
  int rounds = 0;
};

TEST_F(half_way, clients_that_stop_there) {
  serves_others(milliseconds(1000));
  std::string answer;
  for (auto& wire : wires) {
    ASSERT_TRUE(wire.answer(answer));
    EXPECT_TRUE(wire.status == 408 || wire.status == 429 || wire.status == 503) << wire.status;
  }
  ASSERT_TRUE(site.stage.play_until([&] { return site.figure("router_pending") == 0; }, milliseconds(4000)));
  serves_others(milliseconds(500));
  EXPECT_EQ(count("completed"), 0);
  EXPECT_EQ(site.log(0).find("ejected"), std::string::npos) << site.log(0);
}

TEST_F(half_way, clients_that_come_on_slowly) {
  constexpr std::size_t kPiece = 3200;  // each 50 ms: 64 kB a second
  const std::string piece(kPiece, 'a');
  serves_others(milliseconds(5000), [&] {
    for (auto& wire : wires) wire.write(piece);
  });
  const auto still_coming =
      std::count_if(wires.begin(), wires.end(), [](auto& wire) { return wire.read() && wire.in.empty(); });
  EXPECT_GT(still_coming, 0);
}

}  // namespace
}  // namespace cranemux::testing
