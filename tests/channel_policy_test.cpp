// Which channels may stay, and for how long.
#include "front/channel_policy.h"

#include <gtest/gtest.h>

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
  // Slow is not dead: what has come of a body gives time for more, at 32 bytes a ms.
  EXPECT_EQ(time_limit(ChannelState::reading, false, 32'000) - time_limit(ChannelState::reading, false),
            milliseconds(1000));
  EXPECT_GT(time_limit(ChannelState::waiting, true), milliseconds(3'600'000));
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
