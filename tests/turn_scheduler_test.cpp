// Turns of the event loop: who goes first, when a turn is over, and what comes between.
#include "net/turn_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/net.h"

namespace cranemux::net {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

void use(TurnScheduler::Clock::duration time) {
  const auto end = TurnScheduler::Clock::now() + time;
  while (TurnScheduler::Clock::now() < end) {
  }
}

struct Turns : ::testing::Test {
  // Takes so many turns, each of that length, and writes down its name.
  awaitable<void> work(WorkSource& source, char name, int turns, microseconds each) {
    for (int i = 0; i < turns; ++i) {
      co_await scheduler.turn(source);
      use(each);
      order += name;
    }
  }
  void start(WorkSource& source, char name, int turns, microseconds each = microseconds(50)) {
    asio::co_spawn(io, work(source, name, turns, each), asio::detached);
  }

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> goes_on = asio::make_work_guard(io);
  TurnScheduler& scheduler = TurnScheduler::of(io);
  std::string order;
};

// Guards against a source that comes now and then and waits behind all that have much to do.
TEST_F(Turns, WhoHasUsedLittleGoesFirst) {
  std::vector<std::unique_ptr<WorkSource>> busy;
  for (int i = 0; i < 40; ++i) {
    busy.push_back(std::make_unique<WorkSource>());
    start(*busy.back(), 'b', 100);
  }
  while (order.size() < 400) io.run_one();
  WorkSource usual;
  order.clear();
  start(usual, 'u', 1);
  while (order.find('u') == std::string::npos) io.run_one();
  // Those of the slice that had begun, and of the next one.
  EXPECT_LE(order.size(), 2 * static_cast<std::size_t>(TurnScheduler::kSlice / microseconds(50)) + 2);
}

// Guards against new connections at full speed that keep one that has used more from its turn for good.
TEST_F(Turns, SourcesThatAreAlwaysNewKeepNobodyWaiting) {
  WorkSource old;
  start(old, 'o', 1, milliseconds(5));
  while (order.empty()) io.run_one();
  std::function<void()> another = [&] {
    auto fresh = std::make_shared<WorkSource>();
    asio::co_spawn(
        io,
        [](Turns& turns, std::shared_ptr<WorkSource> source) -> awaitable<void> {
          co_await turns.work(*source, 'n', 1, microseconds(50));
        }(*this, fresh),
        [&](const std::exception_ptr&) { another(); });
  };
  for (int i = 0; i < 4; ++i) another();
  start(old, 'O', 1);
  for (int handlers = 0; handlers < 20'000 && order.find('O') == std::string::npos; ++handlers) io.run_one();
  EXPECT_NE(order.find('O'), std::string::npos);
}

TEST_F(Turns, AShareFollowsTheWeight) {
  WorkSource light(1), heavy(4);
  start(light, 'l', 1000);
  start(heavy, 'h', 1000);
  while (order.size() < 200) io.run_one();
  const auto heavy_turns = std::count(order.begin(), order.end(), 'h');
  EXPECT_GT(heavy_turns, 140);
  EXPECT_LT(heavy_turns, 180);
}

TEST_F(Turns, ATurnIsOverAfterItsTime) {
  WorkSource source;
  bool over_at_first = true, over_in_the_end = false;
  asio::co_spawn(
      io,
      [&]() -> awaitable<void> {
        co_await scheduler.turn(source);
        over_at_first = scheduler.over();
        use(TurnScheduler::kTurn);
        over_in_the_end = scheduler.over();
      },
      asio::detached);
  goes_on.reset();
  io.run();
  EXPECT_FALSE(over_at_first);
  EXPECT_TRUE(over_in_the_end);
  EXPECT_FALSE(scheduler.over());  // outside of turns
}

// What is due waits for one slice, however many turns are waited for.
TEST_F(Turns, TimersComeBetweenSlices) {
  std::vector<std::unique_ptr<WorkSource>> busy;
  for (int i = 0; i < 40; ++i) {
    busy.push_back(std::make_unique<WorkSource>());
    start(*busy.back(), 'b', 1000);
  }
  while (order.size() < 100) io.run_one();
  bool fired = false;
  asio::steady_timer timer(io, milliseconds(0));
  timer.async_wait([&](const boost::system::error_code&) { fired = true; });
  order.clear();
  while (!fired) io.run_one();
  EXPECT_LE(order.size(), 2 * static_cast<std::size_t>(TurnScheduler::kSlice / microseconds(50)) + 2);
}

TEST_F(Turns, LongOnesAreCounted) {
  WorkSource source;
  start(source, 's', 2, TurnScheduler::kLongTurn);
  goes_on.reset();
  io.run();
  EXPECT_EQ(scheduler.long_turns(), 2U);
  EXPECT_GE(scheduler.longest_turn(), TurnScheduler::kLongTurn);
}

// Who waits when the loop ends is destroyed with it.
TEST(TurnScheduler, DestroysWhoStillWaits) {
  auto held = std::make_shared<int>(1);
  WorkSource source;
  {
    asio::io_context io(1);
    asio::co_spawn(
        io,
        [](TurnScheduler& scheduler, WorkSource& source, std::shared_ptr<int>) -> awaitable<void> {
          co_await scheduler.turn(source);
        }(TurnScheduler::of(io), source, held),
        asio::detached);
    io.run_one();
    EXPECT_EQ(TurnScheduler::of(io).waiting(), 1U);
    EXPECT_GT(held.use_count(), 1);
  }
  EXPECT_EQ(held.use_count(), 1);
}

}  // namespace
}  // namespace cranemux::net
