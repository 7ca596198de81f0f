// Which channels may stay, and for how long.
#include "front/channel_policy.h"

#include <gtest/gtest.h>

#include "front/arrival_deadline.h"

namespace cranemux::front {
namespace {

using std::chrono::milliseconds;

// On the recorded incident rb932c8 clients asked once and kept their channel: idle and waiting ones together
// stood at the clients' bound of 128 (a third of 384) for seconds, and requests for which none could be
// opened never came.
TEST(IdleBudget, IdleAndBusyChannelsStayUnderHalfOfTheClientsThird) {
  struct Row {
    std::size_t sockets, busy, allowed;
  };
  for (const auto& row : {Row{384, 0, 64}, Row{384, 10, 54}, Row{384, 56, 8}, Row{384, 64, 8},
                          Row{384, 128, 8}, Row{1024, 0, 170}, Row{1024, 70, 100}, Row{256, 0, 42},
                          Row{256, 40, 5}, Row{32, 0, 5}, Row{32, 30, 1}}) {
    EXPECT_EQ(IdleBudget(row.sockets).allowed(row.busy), row.allowed) << row.sockets << " " << row.busy;
  }
}

TEST(IdleBudget, WhatIsOverItIsToGoAndNoMore) {
  const IdleBudget budget(384);
  EXPECT_EQ(budget.surplus(0, 0), 0U);
  EXPECT_EQ(budget.surplus(64, 0), 0U);
  EXPECT_EQ(budget.surplus(65, 0), 1U);
  EXPECT_EQ(budget.surplus(60, 30), 26U);
  EXPECT_EQ(budget.surplus(100, 500), 92U);
}

TEST(TimeLimits, AnIdleChannelMayStayLongOnlyWhileThereIsRoom) {
  EXPECT_EQ(time_limit(ChannelState::idle, false), milliseconds(30'000));
  EXPECT_EQ(time_limit(ChannelState::idle, true), milliseconds(2000));
  EXPECT_EQ(time_limit(ChannelState::silent, false), milliseconds(2000));
  EXPECT_LT(time_limit(ChannelState::reading, false),
            milliseconds(3000));  // bad clients are owed a word by then
  EXPECT_GT(time_limit(ChannelState::waiting, true), milliseconds(3'600'000));
}

// Slow is not dead: a body may come at 64 kB a second for as long as it takes, in pieces of a byte or of two
// seconds.
TEST(ArrivalDeadline, AClientMayBeSlow) {
  using Time = ArrivalDeadline::Time;
  for (const std::size_t piece : {1, 64, 4000, 128'000}) {
    Time now{};
    ArrivalDeadline due(now);
    for (std::size_t sent = 0; sent < 32'000'000; sent += piece) {
      now += std::chrono::nanoseconds(piece * 1'000'000 / 64);
      ASSERT_FALSE(due.over(now)) << piece << " " << sent;
      due.received(now, piece);
    }
  }
}

// Guards against a client that stands still for as long as the bytes that it has sent would have allowed.
TEST(ArrivalDeadline, NoBytesBuyTimeForStandingStill) {
  using Time = ArrivalDeadline::Time;
  const Time start{};
  ArrivalDeadline due(start);
  due.received(start + milliseconds(100), std::size_t{16} * 1024 * 1024);
  EXPECT_FALSE(due.over(start + milliseconds(2700)));
  EXPECT_TRUE(due.over(start + milliseconds(2800)));
}

// Few bytes give little time: 32 a millisecond.
TEST(ArrivalDeadline, AClientThatIsTooSlowIsNotWaitedFor) {
  using Time = ArrivalDeadline::Time;
  const Time start{};
  ArrivalDeadline due(start);
  due.received(start + milliseconds(2000), 32'000);
  EXPECT_FALSE(due.over(start + milliseconds(3699)));
  EXPECT_TRUE(due.over(start + milliseconds(3700)));
}

TEST(ArrivalDeadline, WhatTheClientCannotHelpDoesNotCount) {
  using Time = ArrivalDeadline::Time;
  const Time start{};
  ArrivalDeadline due(start);
  due.paused(std::chrono::seconds(10));
  EXPECT_FALSE(due.over(start + milliseconds(12'699)));
  EXPECT_TRUE(due.over(start + milliseconds(12'700)));
}

TEST(Eviction, TakesWhatIsDoneWithThenDawdlersThenIdleOnesThenFreshOnes) {
  const auto fresh = milliseconds(100), old = milliseconds(300);
  EXPECT_EQ(eviction_rank(ChannelState::leaving, fresh), 0);
  EXPECT_EQ(eviction_rank(ChannelState::silent, old), 1);
  EXPECT_EQ(eviction_rank(ChannelState::reading, old), 1);
  EXPECT_EQ(eviction_rank(ChannelState::idle, fresh), 2);
  EXPECT_EQ(eviction_rank(ChannelState::idle, old), 2);
  EXPECT_EQ(eviction_rank(ChannelState::silent, fresh), 3);
  EXPECT_EQ(eviction_rank(ChannelState::reading, fresh), 3);
}

}  // namespace
}  // namespace cranemux::front
