// How late the event loop runs, at times that the tests set.
#include "net/loop_delay.h"

#include <gtest/gtest.h>

namespace cranemux::net {
namespace {

using std::chrono::milliseconds;

struct Delay : ::testing::Test {
  static LoopDelay::Time at(int ms) { return LoopDelay::Time(std::chrono::hours(1)) + milliseconds(ms); }

  boost::asio::io_context io{1};
  LoopDelay& loop = LoopDelay::of(io);
  DelayProbe probe{loop};
};

TEST_F(Delay, IsThatOfATimerThatIsTakenUpLate) {
  probe.expect(at(10));
  probe.taken_up(at(130));
  EXPECT_EQ(loop.last(), milliseconds(120));
  EXPECT_EQ(loop.longest(), milliseconds(120));
  EXPECT_EQ(loop.late(), 1U);
  EXPECT_EQ(loop.total(at(200)), milliseconds(120));
}

// A worker's answer that is read before the timer is taken up: the loop was late all the same.
TEST_F(Delay, GoesOnUntilTheTimerIsTakenUp) {
  probe.expect(at(10));
  EXPECT_EQ(loop.total(at(110)), milliseconds(100));
  EXPECT_EQ(loop.total(at(210)), milliseconds(200));
  EXPECT_EQ(loop.late(), 0U);
}

TEST_F(Delay, OfLessThanItsBoundCountsAsNone) {
  probe.expect(at(10));
  probe.taken_up(at(10) + LoopDelay::kLate - milliseconds(1));
  EXPECT_EQ(loop.late(), 0U);
  EXPECT_EQ(loop.total(at(100)), milliseconds(0));
}

TEST_F(Delay, OfATimerThatIsNotDueIsNone) {
  probe.expect(at(10));
  probe.taken_up(at(5));
  EXPECT_EQ(probe.due(), at(10));
  EXPECT_EQ(loop.last(), milliseconds(0));
}

TEST_F(Delay, OfSeveralTimersCountsEachMomentOnce) {
  DelayProbe other(loop);
  probe.expect(at(0));
  other.expect(at(50));
  probe.taken_up(at(100));
  other.taken_up(at(100));
  EXPECT_EQ(loop.total(at(100)), milliseconds(100));
  EXPECT_EQ(loop.late(), 2U);
}

TEST_F(Delay, IsLoggedOnceAMinute) {
  int logged = 0;
  loop.on_high = [&](LoopDelay::Span) { ++logged; };
  const auto late_at = [&](int ms) {
    probe.expect(at(ms));
    probe.taken_up(at(ms) + LoopDelay::kHigh);
  };
  late_at(0);
  late_at(1000);
  EXPECT_EQ(logged, 1);
  late_at(61'000);
  EXPECT_EQ(logged, 2);
}

}  // namespace
}  // namespace cranemux::net
