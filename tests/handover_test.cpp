// A new process takes over from an old one: two lives of the program that share a listening socket and a
// folder.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdlib>
#include <set>

#include "handover/state.h"
#include "testing/site.h"
#include "testing/tcp_table.h"
#include "testing/wire.h"

namespace cranemux::testing {
namespace {

using Answer = Behaviour::Answer;

std::string program() { return std::getenv("CRANEMUX_PROGRAM"); }

Ask ask_of(int customer, bool safe) {
  Ask ask;
  ask.customer = "000000000000000" + std::to_string(customer % 10);
  ask.safe = safe;
  ask.klass = safe ? "job-status" : "book-job";
  return ask;
}

class handover : public ::testing::Test {
 protected:
  handover() : site(program(), true), client(site.stage, site.port, &site.rules) {
    for (const auto* name : {"one", "two"}) site.node(name).behaviour.delay = milliseconds(20);
  }
  void TearDown() override {
    const auto broken = site.rules.broken();
    for (std::size_t i = 0; i < std::min<std::size_t>(broken.size(), 10); ++i) ADD_FAILURE() << broken[i];
  }
  void load(milliseconds time) {
    client.flow(150, time, [](std::size_t i) { return ask_of(static_cast<int>(i), i % 3 != 0); });
  }
  // Every request has had one whole answer, and none was refused or failed.
  void expect_all_served() {
    ASSERT_TRUE(client.finish());
    EXPECT_EQ(client.count(200), client.results().size());
  }
  std::string path() const { return site.folder.path("") + "/cranemux-n0.sock"; }
  // Waits until that life has ended by itself.
  bool ends(Site::Life& life) {
    return site.stage.play_until([&] { return !life.program->alive(); }, milliseconds(20'000));
  }

  // The old process serves again, and another one may come.
  void goes_on_and_is_followed(Site::Life& old) {
    EXPECT_TRUE(site.stage.play_until([&] { return site.ready(old); }));
    client.send(ask_of(1, true));
    ASSERT_TRUE(client.finish());
    EXPECT_EQ(client.results().back().status, 200);
    auto& third = site.start();
    old.program->signal(SIGTERM);
    EXPECT_TRUE(ends(old));
    EXPECT_TRUE(site.ready(third));
  }

  Site site;
  Client client;
};

TEST_F(handover, under_load) {
  auto& old = site.start();
  load(milliseconds(2500));
  site.stage.play(milliseconds(500));
  auto& next = site.start();
  EXPECT_FALSE(site.ready(old));
  old.program->signal(SIGTERM);
  EXPECT_TRUE(ends(old));
  EXPECT_EQ(old.program->wait(), 0);
  expect_all_served();
  EXPECT_TRUE(site.ready(next));
  EXPECT_GT(site.figure(next, "router_downstream_requests{lane=\"job-status\",result=\"completed\"}"), 0);
}

TEST_F(handover, twice) {
  auto& first = site.start();
  load(milliseconds(3000));
  site.stage.play(milliseconds(300));
  auto& second = site.start();
  first.program->signal(SIGTERM);
  EXPECT_TRUE(ends(first));
  auto& third = site.start();
  second.program->signal(SIGTERM);
  EXPECT_TRUE(ends(second));
  expect_all_served();
  EXPECT_TRUE(site.ready(third));
}

// What a customer has used stays used: its store is not full again in the next life.
TEST_F(handover, no_second_burst) {
  auto& old = site.start();
  auto corner = ask_of(7, true);
  corner.plan = "corner";  // one unit a second, four at once
  for (int i = 0; i < 8; ++i) client.send(corner);
  ASSERT_TRUE(client.finish());
  EXPECT_EQ(client.count(200), 4U);
  site.start();
  old.program->signal(SIGTERM);
  EXPECT_TRUE(ends(old));
  for (int i = 0; i < 8; ++i) client.send(corner);
  ASSERT_TRUE(client.finish());
  EXPECT_LE(site.rules.most_beyond(corner.customer, 1, 4), 1.0);
  EXPECT_LT(client.count(200), 8U);
}

// What the old process spends after the hand-over is spent in the new one, too.
TEST_F(handover, what_is_spent_late) {
  auto& old = site.start();
  auto corner = ask_of(8, true);
  corner.plan = "corner";
  corner.units = 2;
  // Its request is only half there when the new process takes over.
  net::tcp::socket half(site.stage.io());
  half.connect({net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(site.port)});
  const std::string text =
      "GET /api HTTP/1.1\r\nReq-Id: half\r\nReq-Kind: job-status\r\nX-Tier: corner\r\n"
      "Cookie: client=0000000000000008\r\nReq-Deadline-Ms: 3000\r\n"
      "X-Call-Terms: units=4,spread=1,first=0\r\n\r\n";
  client.send(ask_of(1, true));
  ASSERT_TRUE(client.finish());
  net::asio::write(half, net::asio::buffer(text.substr(0, 30)));
  // The old process has accepted it: its own answers show that it reads.
  ASSERT_TRUE(site.stage.play_until([&] { return site.health() == 200; }));
  client.send([&] {
    auto first = corner;  // so that the new process knows the customer
    first.units = 1;
    return first;
  }());
  ASSERT_TRUE(client.finish());
  auto& next = site.start();
  site.rules.asked("half", true, corner.customer, 4, Clock::now(), milliseconds(3000));
  net::asio::write(half, net::asio::buffer(text.substr(30)));
  std::string answer;
  ASSERT_TRUE(site.stage.play_until([&] {
    char bytes[512];
    boost::system::error_code error;
    half.non_blocking(true);
    const auto count = half.read_some(net::asio::buffer(bytes), error);
    answer.append(bytes, error ? 0 : count);
    return answer.find("\r\n\r\n") != std::string::npos;
  }));
  site.rules.answered("half", std::stoi(answer.substr(9, 3)), Clock::now());
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  old.program->signal(SIGTERM);
  EXPECT_TRUE(ends(old));
  for (int i = 0; i < 4; ++i) client.send(corner);
  ASSERT_TRUE(client.finish());
  EXPECT_LE(site.rules.most_beyond(corner.customer, 1, 4), 1.0);
  EXPECT_TRUE(site.ready(next));
}

// The same request id is not run twice while the old process has it.
TEST_F(handover, an_id_in_flight) {
  site.node("one").behaviour.delay = site.node("two").behaviour.delay = milliseconds(800);
  auto& old = site.start();
  auto ask = ask_of(1, false);
  ask.id = "booked";
  client.send(ask);
  ASSERT_TRUE(site.stage.play_until(
      [&] { return site.figure(old, "router_upstream_requests{lane=\"book-job\"}") == 1; }));
  site.start();
  const auto again = client.raw(
      "POST /api HTTP/1.1\r\nReq-Id: booked\r\nReq-Kind: book-job\r\nX-Tier: business\r\n"
      "Cookie: client=0000000000000001\r\nReq-Deadline-Ms: 3000\r\nContent-Length: 1\r\n"
      "X-Call-Terms: units=1,spread=1,first=0\r\n\r\nx");
  EXPECT_TRUE(again.starts_with("HTTP/1.1 409")) << again;
  expect_all_served();
  EXPECT_EQ(site.node("one").runs().size() + site.node("two").runs().size(), 1U);
}

// Guards against a booking that runs twice in an upgrade: it was taken after the hand-over, at either
// process, and its id comes at the other one.
TEST_F(handover, an_id_that_the_other_process_has_taken_since) {
  for (const auto* name : {"one", "two"}) site.node(name).behaviour.delay = milliseconds(800);
  auto& old = site.start();
  const auto sent = [&](const Site::Life& life) {
    return site.figure(life, "router_upstream_requests{lane=\"book-job\"}");
  };
  const auto text = [](const std::string& id) { return request(id, "Content-Length: 0\r\n", false); };
  // Both connections are the old process's, with half of a request each, so that it does not close them as
  // idle.
  Wire first_at_old(site.stage, site.port), second_at_old(site.stage, site.port);
  const auto of_old = text("of-old"), of_new = text("of-new");
  for (const auto* id : {"of-old", "of-new"})
    site.rules.asked(id, false, "0000000000000001", 1, Clock::now(), milliseconds(4000));
  first_at_old.send(of_old.substr(0, 20));
  second_at_old.send(of_new.substr(0, 20));
  site.stage.play(milliseconds(50));
  auto& next = site.start();
  first_at_old.send(of_old.substr(20));
  Wire first_at_new(site.stage, site.port), second_at_new(site.stage, site.port);
  first_at_new.send(of_new);
  ASSERT_TRUE(site.stage.play_until([&] { return sent(old) == 1 && sent(next) == 1; }));
  second_at_old.send(of_new.substr(20));
  second_at_new.send(of_old);
  std::string body;
  for (auto* wire : {&second_at_old, &second_at_new}) {
    ASSERT_TRUE(wire->answer(body));
    EXPECT_EQ(wire->status, 409);
  }
  for (auto* wire : {&first_at_old, &first_at_new}) {
    ASSERT_TRUE(wire->answer(body));
    EXPECT_EQ(wire->status, 200);
    site.rules.answered(wire == &first_at_old ? "of-old" : "of-new", wire->status, Clock::now());
  }
  EXPECT_EQ(site.node("one").taken() + site.node("two").taken(), 2U);
  old.program->signal(SIGTERM);
  EXPECT_TRUE(ends(old));
  Wire third_at_new(site.stage, site.port);
  third_at_new.send(of_old);
  ASSERT_TRUE(third_at_new.answer(body));
  EXPECT_EQ(third_at_new.status, 409);
}

// The new process ends before the old one was told to: it serves on, with what it has kept.
// The new process is killed before it has accepted anything: nobody loses a request.
TEST_F(handover, the_new_one_is_killed) {
  auto& old = site.start();
  client.send(ask_of(1, true));
  ASSERT_TRUE(client.finish());
  auto& next = site.start(false);
  next.program->stop();
  load(milliseconds(1000));
  site.stage.play(milliseconds(300));
  EXPECT_TRUE(client_ports_of(next.program->pid(), site.port).empty());
  next.program->signal(SIGKILL);
  EXPECT_TRUE(ends(next));
  expect_all_served();
  goes_on_and_is_followed(old);
}

// The same once it has accepted some: what was on its connections goes with it, and nothing else.
TEST_F(handover, the_new_one_is_killed_with_requests) {
  auto& old = site.start();
  client.flow(150, milliseconds(2500), [](std::size_t i) {
    auto ask = ask_of(static_cast<int>(i), i % 3 != 0);
    ask.extra = "Connection: close\r\n";  // none is sent again on another one
    return ask;
  });
  site.stage.play(milliseconds(300));
  auto& next = site.start();
  std::set<std::uint16_t> taken;
  ASSERT_TRUE(site.stage.play_until([&] {
    taken = client_ports_of(next.program->pid(), site.port);
    return !taken.empty();
  }));
  next.program->stop();
  taken = client_ports_of(next.program->pid(), site.port);
  next.program->signal(SIGKILL);
  EXPECT_TRUE(ends(next));
  ASSERT_TRUE(client.finish());
  std::size_t lost = 0;
  for (const auto& result : client.results()) {
    if (result.status != 0 || !taken.contains(result.port)) continue;
    site.rules.lost_with_process(result.id);
    ++lost;
  }
  EXPECT_GT(lost, 0U);
  EXPECT_EQ(client.count(200) + lost, client.results().size());
  goes_on_and_is_followed(old);
}

TEST_F(handover, the_old_one_is_killed_before) {
  auto& old = site.start();
  old.program->signal(SIGKILL);
  EXPECT_TRUE(ends(old));
  auto& next = site.start();  // a stale socket file is in its way
  client.send(ask_of(1, true));
  expect_all_served();
  auto& third = site.start();  // and is its own now
  EXPECT_FALSE(site.ready(next));
  EXPECT_TRUE(site.ready(third));
}

TEST_F(handover, the_old_one_is_killed_after) {
  auto& old = site.start();
  client.send(ask_of(1, true));
  ASSERT_TRUE(client.finish());
  auto& next = site.start();
  old.program->signal(SIGKILL);
  EXPECT_TRUE(ends(old));
  load(milliseconds(500));
  expect_all_served();
  EXPECT_TRUE(site.ready(next));
}

TEST_F(handover, sigterm_comes_first) {
  auto& old = site.start();
  load(milliseconds(1500));
  site.stage.play(milliseconds(300));
  old.program->signal(SIGTERM);
  auto& next = site.start();
  EXPECT_TRUE(ends(old));
  EXPECT_EQ(old.program->wait(), 0);
  expect_all_served();
  EXPECT_TRUE(site.ready(next));
}

// The two are one gatekeeper: one that is drained stays drained.
TEST_F(handover, while_drained) {
  auto& old = site.start();
  EXPECT_EQ(site.call("drain-on"), "done drained\n");
  auto& next = site.start(false);
  ASSERT_TRUE(site.stage.play_until([&] { return !site.call(next, "check").empty(); }));
  EXPECT_EQ(site.call(next, "check"), "error not ready: drained\n");
  EXPECT_EQ(site.call(next, "drain-off"), "done serving\n");
  EXPECT_TRUE(site.ready(next));
  old.program->signal(SIGTERM);
  EXPECT_TRUE(ends(old));
  client.send(ask_of(1, true));
  expect_all_served();
}

// Somebody else at that path, who says what no old process says: torn, foreign, of another version.
TEST_F(handover, what_cannot_be_read) {
  const auto good = cranemux::handover::frame(cranemux::handover::Kind::state, "no state at all");
  auto newer = good;
  newer[4] = 99;
  for (const auto& said : {std::string(), std::string("HTTP/1.1 200 OK\r\n"), good, newer, good.substr(0, 5),
                           good.substr(0, good.size() - 1)}) {
    ::unlink(path().c_str());
    const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    path().copy(at.sun_path, sizeof at.sun_path - 1);
    ASSERT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    ASSERT_EQ(::listen(fd, 1), 0);
    auto& life = site.start(false);
    const int there = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
    (void)!::send(there, said.data(), said.size(), MSG_NOSIGNAL);
    ::close(there);
    ::close(fd);
    ASSERT_TRUE(site.stage.play_until([&] { return site.ready(life); })) << said;
    client.send(ask_of(1, true));
    expect_all_served();
    life.program->signal(SIGKILL);
    EXPECT_TRUE(ends(life));
  }
}

// A folder where no socket can be made: it starts, and serves.
TEST_F(handover, without_a_folder) {
  site.more["TMPDIR"] = "/nowhere/at/all";
  site.start();
  client.send(ask_of(1, true));
  expect_all_served();
}

}  // namespace
}  // namespace cranemux::testing
