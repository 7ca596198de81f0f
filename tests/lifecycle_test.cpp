#include "lifecycle/lifecycle.h"

#include <gtest/gtest.h>

#include "lifecycle/planned_end.h"

namespace cranemux::lifecycle {
namespace {

using std::chrono::milliseconds;
const Time kStart{std::chrono::seconds(100)};

TEST(lifecycle, is_ready_only_while_it_serves) {
  Lifecycle life;
  EXPECT_FALSE(life.ready());
  EXPECT_TRUE(life.begin());
  EXPECT_TRUE(life.ready());
  EXPECT_TRUE(life.drain(true, kStart));
  EXPECT_FALSE(life.ready());
  EXPECT_TRUE(life.drain(false, kStart));
  EXPECT_TRUE(life.ready());
  EXPECT_TRUE(life.hand_over(kStart));
  EXPECT_FALSE(life.ready());
  EXPECT_TRUE(life.end(kStart));
  EXPECT_FALSE(life.ready());
}

TEST(lifecycle, twice_is_once) {
  Lifecycle life;
  life.begin();
  EXPECT_FALSE(life.begin());
  EXPECT_FALSE(life.drain(false, kStart));
  EXPECT_TRUE(life.drain(true, kStart));
  // The second call does not begin the drain again: idle channels go when the first said so.
  EXPECT_FALSE(life.drain(true, kStart + milliseconds(400)));
  EXPECT_TRUE(life.closes_idle(kStart + milliseconds(600)));
  EXPECT_TRUE(life.hand_over(kStart));
  EXPECT_FALSE(life.hand_over(kStart));
  EXPECT_TRUE(life.end(kStart));
  EXPECT_FALSE(life.end(kStart));
  EXPECT_FALSE(life.hand_over(kStart));
}

// While the front has not noticed, an answer that ends its channel only brings the client back.
TEST(lifecycle, a_drain_closes_once_the_front_has_noticed_and_before_the_operators_count) {
  Lifecycle life;
  life.begin();
  EXPECT_FALSE(life.last_answer(kStart));
  life.drain(true, kStart);
  EXPECT_FALSE(life.last_answer(kStart + milliseconds(200)));
  EXPECT_FALSE(life.closes_idle(kStart + milliseconds(200)));
  EXPECT_TRUE(life.last_answer(kStart + milliseconds(1000)));
  EXPECT_TRUE(life.closes_idle(kStart + milliseconds(1000)));
  life.drain(false, kStart + milliseconds(4000));
  EXPECT_FALSE(life.last_answer(kStart + milliseconds(9000)));
  EXPECT_FALSE(life.closes_idle(kStart + milliseconds(9000)));
}

TEST(lifecycle, a_drain_does_not_undo_an_end) {
  Lifecycle life;
  life.begin();
  life.drain(true, kStart);
  EXPECT_TRUE(life.end(kStart + milliseconds(100)));
  EXPECT_TRUE(life.drain(false, kStart + milliseconds(200)));
  EXPECT_FALSE(life.ready());
  EXPECT_EQ(life.stage(), Stage::ending);
  // New connections come for 0.4 s after SIGTERM.
  EXPECT_FALSE(life.last_answer(kStart + milliseconds(500)));
  EXPECT_TRUE(life.last_answer(kStart + milliseconds(700)));
}

TEST(lifecycle, a_hand_over_that_fails_is_taken_back) {
  Lifecycle life;
  life.begin();
  EXPECT_TRUE(life.hand_over(kStart));
  EXPECT_FALSE(life.ready());
  EXPECT_TRUE(life.last_answer(kStart));
  EXPECT_TRUE(life.closes_idle(kStart + milliseconds(1000)));
  EXPECT_TRUE(life.take_back(kStart + milliseconds(1000)));
  EXPECT_TRUE(life.ready());
  EXPECT_FALSE(life.last_answer(kStart + milliseconds(2000)));
  // Not once its own end has begun.
  EXPECT_TRUE(life.hand_over(kStart));
  EXPECT_TRUE(life.end(kStart));
  EXPECT_FALSE(life.take_back(kStart));
  EXPECT_TRUE(life.closes_idle(kStart + milliseconds(1000)));
}

TEST(lifecycle, one_that_starts_drained_stays_so) {
  Lifecycle life;
  life.drain(true, kStart);
  life.begin();
  EXPECT_EQ(life.stage(), Stage::drained);
  EXPECT_FALSE(life.ready());
}

// Answers that are under way outlast every request's time; each moment with one puts the end off.
TEST(planned_end, waits_for_answers_that_are_under_way) {
  PlannedEnd end(kStart, milliseconds(2550));
  EXPECT_FALSE(end.gives_up(kStart + milliseconds(2549)));
  EXPECT_TRUE(end.gives_up(kStart + milliseconds(2550)));
  EXPECT_FALSE(end.over(kStart + milliseconds(2640), 0));
  EXPECT_FALSE(end.over(kStart + milliseconds(2650), 1));
  EXPECT_FALSE(end.over(kStart + milliseconds(9000), 4));
  EXPECT_FALSE(end.over(kStart + milliseconds(9099), 0));
  EXPECT_TRUE(end.over(kStart + milliseconds(9100), 0));
}

TEST(planned_end, comes_once_all_had_time_for_an_answer) {
  PlannedEnd end(kStart, milliseconds(2550));
  EXPECT_FALSE(end.over(kStart, 3));  // requests that are answered in time put nothing off
  EXPECT_FALSE(end.over(kStart + milliseconds(2649), 0));
  EXPECT_TRUE(end.over(kStart + milliseconds(2650), 0));
}

}  // namespace
}  // namespace cranemux::lifecycle
