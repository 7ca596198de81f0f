// When a call attempt may still begin, and what its end says of it: the attempt layer alone, against a
// stand-in node.
#include "attempt/attempts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "attempt/trailing_bytes.h"
#include "testing/node.h"

namespace cranemux::attempt {
namespace {

using testing::milliseconds;

class Get : public Exchange {
 public:
  std::string message(milliseconds patience) const override {
    told = patience;
    return "GET /api HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: look\r\n\r\n";
  }
  core::AttemptResult read(const http::Message&) const override { return {}; }
  mutable milliseconds told{};
};

// A request whose body is still on its way from the client.
class Post : public Exchange {
 public:
  explicit Post(std::size_t length = 10) : pipe(std::make_shared<BodyPipe>(length, 100)) {}
  std::string message(milliseconds) const override {
    return "POST /api HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: " + std::to_string(*pipe->length()) +
           "\r\n\r\n";
  }
  core::AttemptResult read(const http::Message&) const override { return {}; }
  std::shared_ptr<BodyPipe> body() const override { return pipe; }
  const std::shared_ptr<BodyPipe> pipe;
};

struct Called {
  static constexpr std::chrono::nanoseconds kLongRest = std::chrono::hours(1);
  explicit Called(std::chrono::nanoseconds silence = std::chrono::seconds(10),
                  std::chrono::nanoseconds connections_rest = kLongRest)
      : body_silence(silence), rest(connections_rest) {
    resolve(static_cast<std::uint16_t>(node.port()));
  }
  void resolve(std::uint16_t port) {
    config::ListEntry entry;
    entry.name = "one";
    entry.state = "active";
    entry.address = {"127.0.0.1", port};
    attempts.resolved({1, true, {entry}}, true);
  }
  ~Called() {
    attempts.stop();
    stage.play_until([&] { return attempts.idle(); });
  }
  void start(net::Clock::time_point whole_by = net::Clock::time_point::max()) {
    attempts.start(1, 0, "one", {std::chrono::seconds(10), whole_by}, payload);
  }
  bool ended() {
    return stage.play_until([&] { return counters.attempts_ok + counters.attempts_moot + others() > 0; });
  }
  std::uint64_t others() const {
    return counters.attempts_connect_failed + counters.attempts_timeout + counters.attempts_cancelled +
           counters.attempts_reset;
  }
  static Settings settings() {
    Settings s;
    s.classes = {{"look", 1'000'000'000, 2'000'000'000}};
    return s;
  }

  const std::chrono::nanoseconds body_silence, rest;
  testing::Stage stage;
  testing::Node node{stage, "one"};
  metrics::Logger logger{STDERR_FILENO, metrics::Level::error};
  metrics::Counters counters;
  core::Core core{settings(), logger, counters};
  pool::Purse purse{std::make_shared<pool::SharedBudget>(8), {8, 8}};
  Attempts attempts{stage.io(),
                    core,
                    {std::chrono::seconds(5), std::chrono::seconds(30), std::chrono::seconds(1), rest,
                     kLongRest, body_silence},
                    purse,
                    [] { return false; },
                    logger,
                    counters};
  std::shared_ptr<Exchange> payload = std::make_shared<Get>();
};

TEST(Attempts, OneInTimeIsServed) {
  Called called;
  called.start(net::Clock::now() + std::chrono::seconds(10));
  ASSERT_TRUE(called.ended());
  EXPECT_EQ(called.counters.attempts_ok, 1U);
  EXPECT_EQ(called.node.taken(), 1U);
}

// Past the window a repeat runs a second time: it is not sent, also where the connection came up too late,
// and the node is not to blame.
TEST(Attempts, NothingIsSentPastTheTimeByWhichItHasToBeWhole) {
  Called called;
  called.start(net::Clock::now());
  ASSERT_TRUE(called.ended());
  EXPECT_EQ(called.counters.attempts_moot, 1U);
  EXPECT_EQ(called.node.taken(), 0U);
}

// The head goes out in time, the body's end does not come: without its last byte the request never runs.
TEST(Attempts, OneThatIsNotWholeByThenBreaksOff) {
  Called called;
  called.payload = std::make_shared<Post>();
  called.start(net::Clock::now() + milliseconds(60));
  ASSERT_TRUE(called.ended());
  EXPECT_EQ(called.counters.attempts_moot, 1U);
  EXPECT_EQ(called.node.taken(), 0U);
}

// The client has gone before anything was written, or before all was: never whole, and nobody's fault.
TEST(Attempts, OneWhoseClientHasGoneNeverBecomesWhole) {
  for (const bool begun : {false, true}) {
    Called called;
    called.payload = std::make_shared<Post>();
    called.start();
    if (begun) {
      ASSERT_TRUE(called.stage.play_until([&] { return called.counters.worker_connections == 1; }));
    }
    called.attempts.withdraw(1);
    ASSERT_TRUE(called.ended());
    EXPECT_EQ(called.counters.attempts_moot, 1U);
    EXPECT_EQ(called.node.taken(), 0U);
  }
}

// A connection that comes up and on which nothing is read, as of a machine whose process hangs.
class HangingNode {
 public:
  explicit HangingNode(net::asio::io_context& io)
      : acceptor_(io, {net::asio::ip::make_address("127.0.0.1"), 0}) {}
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  net::tcp::acceptor acceptor_;  // its machine accepts
};

// Guards against attempts that stay for an hour at a worker that takes no more of a body: after a silence
// they end, and have not run.
TEST(Attempts, OneWhoseWorkerTakesNoMoreOfABodyEnds) {
  Called called(milliseconds(100));
  HangingNode hangs(called.stage.io());
  called.resolve(hangs.port());
  const auto post = std::make_shared<Post>(std::size_t{64} * 1024 * 1024);
  called.attempts.start(1, 0, "one", {std::chrono::hours(1)}, post);
  post->pipe->put(std::string(std::size_t{16} * 1024 * 1024, 'b'));
  ASSERT_TRUE(called.ended());
  EXPECT_EQ(called.counters.attempts_connect_failed, 1U);
}

// A client that takes its time over a body is not the worker's silence.
TEST(Attempts, OneWhoseClientTakesItsTimeGoesOn) {
  Called called(milliseconds(30));
  const auto post = std::make_shared<Post>();
  called.payload = post;
  called.start();
  post->pipe->put("01234");
  called.stage.play(milliseconds(1200));  // past a sweep
  post->pipe->put("56789");
  post->pipe->end();
  ASSERT_TRUE(called.ended());
  EXPECT_EQ(called.counters.attempts_ok, 1U);
}

// What has gone out whole is the module's to call off.
TEST(Attempts, OneThatIsWholeIsNotWithdrawn) {
  Called called;
  called.node.behaviour.delay = milliseconds(20);
  called.start();
  ASSERT_TRUE(called.stage.play_until([&] { return called.node.taken() == 1; }));
  called.attempts.withdraw(1);
  ASSERT_TRUE(called.ended());
  EXPECT_EQ(called.counters.attempts_ok, 1U);
}

// A worker whose connections the test writes on when it likes. Requests stay unread until then.
class ScriptedWorker {
 public:
  explicit ScriptedWorker(net::asio::io_context& io)
      : acceptor_(io, {net::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  bool asked(std::size_t connection) {
    return connection < sockets_.size() && sockets_[connection].available() > 0;
  }
  void answer(std::size_t connection, const std::string& text) {
    auto& socket = sockets_.at(connection);
    std::string request(socket.available(), 0);
    net::asio::read(socket, net::asio::buffer(request));
    say(connection, text);
  }
  void say(std::size_t connection, const std::string& text) {
    net::asio::write(sockets_.at(connection), net::asio::buffer(text));
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, net::tcp::socket socket) {
      if (error) return;
      sockets_.push_back(std::move(socket));
      accept();
    });
  }
  net::tcp::acceptor acceptor_;
  std::vector<net::tcp::socket> sockets_;
};

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kDeclined =
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

// Reads a refusal as the fronts do.
class Booking : public Get {
 public:
  core::AttemptResult read(const http::Message& answer) const override {
    core::AttemptResult result;
    if (answer.field("Srv-Declined")) result.result = cranemux::Result::full;
    return result;
  }
};

// Guards against a second copy that comes late, when the connection is in use again: the next client would
// get another's answer, and a refusal would have an unsafe request sent again.
TEST(Attempts, ASecondCopyThatComesLateIsNotTakenForTheNextAnswer) {
  Called called;
  ScriptedWorker worker(called.stage.io());
  called.resolve(worker.port());
  called.payload = std::make_shared<Booking>();
  const auto start = [&](core::RpcId rpc) {
    called.attempts.start(rpc, 0, "one", {std::chrono::seconds(10)}, called.payload);
  };
  start(1);
  ASSERT_TRUE(called.stage.play_until([&] { return worker.asked(0); }));
  worker.answer(0, kDeclined);
  ASSERT_TRUE(called.stage.play_until([&] { return called.counters.attempts_full == 1; }));
  start(2);
  ASSERT_TRUE(called.stage.play_until([&] { return worker.asked(0) || worker.asked(1); }));
  worker.say(0, kDeclined);
  ASSERT_TRUE(worker.asked(1));
  worker.answer(1, kAnswer);
  ASSERT_TRUE(called.stage.play_until([&] { return called.counters.attempts_ok == 1; }));
  EXPECT_EQ(called.counters.attempts_full, 1U);
}

// The same copy, come while the connection rests: it is closed, and what follows is on its guard.
TEST(Attempts, OneThatRestsAndSaysMoreIsClosed) {
  Called called(std::chrono::seconds(10), std::chrono::nanoseconds(0));
  ScriptedWorker worker(called.stage.io());
  called.resolve(worker.port());
  called.start();
  ASSERT_TRUE(called.stage.play_until([&] { return worker.asked(0); }));
  worker.answer(0, kAnswer);
  ASSERT_TRUE(called.stage.play_until([&] { return called.counters.attempts_ok == 1; }));
  worker.say(0, kAnswer);
  called.attempts.start(2, 0, "one", {std::chrono::seconds(10)}, called.payload);
  ASSERT_TRUE(called.stage.play_until([&] { return worker.asked(0) || worker.asked(1); }));
  EXPECT_FALSE(worker.asked(0));
  worker.answer(1, kAnswer);
  ASSERT_TRUE(called.stage.play_until([&] { return called.counters.attempts_ok == 2; }));
  EXPECT_EQ(called.counters.attempts_overfull, 1U);
}

// A connection that has rested serves again. Once a node says something more after its answer, connections
// rest longer.
TEST(Attempts, WhereNodesSayTooMuchConnectionsRestLonger) {
  Called called(std::chrono::seconds(10), std::chrono::nanoseconds(0));
  const auto ask = [&](core::RpcId rpc) {
    const auto before = called.counters.attempts_ok;
    called.attempts.start(rpc, 0, "one", {std::chrono::seconds(10)}, called.payload);
    return called.stage.play_until([&] { return called.counters.attempts_ok > before; });
  };
  ASSERT_TRUE(ask(1));
  ASSERT_TRUE(ask(2));
  EXPECT_EQ(called.counters.worker_connections, 1U);
  called.node.raw = [&](const http::Message&) { return kAnswer + kAnswer; };
  ASSERT_TRUE(ask(3));  // its connection goes
  called.node.raw = {};
  ASSERT_TRUE(ask(4));
  ASSERT_TRUE(ask(5));
  EXPECT_EQ(called.counters.attempts_overfull, 1U);
  EXPECT_EQ(called.counters.worker_connections, 3U);
}

// Guards against an answer that is served though its length is too short for its body: what follows such an
// answer is not the answer again, and the attempt has failed after it may have run.
TEST(Attempts, OneWhoseAnswerGoesOnBehindItsLengthHasFailed) {
  Called called;
  called.node.raw = [](const http::Message&) {
    return std::optional<std::string>("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n0123456789");
  };
  called.start();
  ASSERT_TRUE(called.stage.play_until([&] { return called.counters.attempts_error == 1; }));
  EXPECT_EQ(called.counters.attempts_spoilt, 1U);
  EXPECT_EQ(called.counters.attempts_ok, 0U);
}

RC_GTEST_PROP(TrailingBytes, AreARepetitionOnlyWhereTheyAreTheAnswerAgain, ()) {
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\n" + *rc::gen::arbitrary<std::string>();
  const auto copies = answer + answer;
  const auto read = *rc::gen::inRange(kMinRepetition, copies.size());
  RC_ASSERT(classify_trailing(answer, copies.substr(0, read)) == Trailing::repetition);
  auto other = copies.substr(0, read);
  other[*rc::gen::inRange(std::size_t{0}, std::min(read, answer.size()))] ^= 1;
  RC_ASSERT(classify_trailing(answer, other) == Trailing::unexplained);
  RC_ASSERT(classify_trailing(answer, copies.substr(0, *rc::gen::inRange(std::size_t{1}, kMinRepetition))) ==
            Trailing::unexplained);
}

// Guards against attempts that stay for an hour once the time of their request, a long body, has begun.
TEST(Attempts, OneEndsWithTheTimeOfItsRequest) {
  Called called;
  called.node.behaviour.answer = testing::Behaviour::Answer::stall;
  called.start();
  ASSERT_TRUE(called.stage.play_until([&] { return called.node.taken() == 1; }));
  called.attempts.limit_patience(1, net::Clock::now() + milliseconds(20));
  ASSERT_TRUE(called.stage.play_until([&] { return called.others() > 0; }, milliseconds(5000)));
  EXPECT_EQ(called.counters.attempts_timeout, 1U);
}

// A worker is told no more than the client's time, however long the attempt may take.
TEST(Attempts, TellsNoMoreThanItIsAllowedTo) {
  Called called;
  const auto get = std::make_shared<Get>();
  core::AttemptLimits limits{std::chrono::hours(1)};
  limits.told = milliseconds(1500);
  called.attempts.start(1, 0, "one", limits, get);
  ASSERT_TRUE(called.ended());
  EXPECT_EQ(get->told, milliseconds(1500));
}

TEST(Attempts, TwoOfOneRequestEndApart) {
  Called called;
  called.node.behaviour.answer = testing::Behaviour::Answer::stall;
  called.start();
  ASSERT_TRUE(called.stage.play_until([&] { return called.node.taken() == 1; }));
  called.node.behaviour = {};
  called.attempts.start(1, 1, "one", {std::chrono::seconds(10)}, called.payload);
  ASSERT_TRUE(called.ended());
  EXPECT_EQ(called.counters.attempts_ok, 1U);
  EXPECT_EQ(called.others(), 0U);
  called.attempts.cancel(1, 0);
  ASSERT_TRUE(called.stage.play_until([&] { return called.counters.attempts_cancelled == 1; }));
}

}  // namespace
}  // namespace cranemux::attempt
