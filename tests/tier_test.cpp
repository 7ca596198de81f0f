// What a gatekeeper believes about its tier.
#include <gtest/gtest.h>

#include "tier/isolation.h"

namespace {

using namespace cranemux::tier;
using namespace std::chrono_literals;

// Asks so many, of members in turn, in 100 ms.
void ask(Isolation& isolation, Time& now, int questions, int members) {
  for (int i = 0; i < questions; ++i) isolation.asked(i % members);
  for (int i = 0; i < 10; ++i) isolation.tick(now += 10ms);
}

TEST(isolation, is_told_by_questions_to_several_that_nobody_answers) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 3; ++i) ask(isolation, now, 4, 6);
  EXPECT_FALSE(isolation.cut_off(now));  // too soon
  ask(isolation, now, 4, 6);
  ask(isolation, now, 4, 6);
  EXPECT_TRUE(isolation.cut_off(now));
  isolation.heard(now);
  EXPECT_FALSE(isolation.cut_off(now));
}

TEST(isolation, one_member_that_is_gone_proves_nothing) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 20; ++i) ask(isolation, now, 5, 3);
  EXPECT_FALSE(isolation.cut_off(now));
}

TEST(isolation, long_silence_is_enough_by_itself) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 29; ++i) ask(isolation, now, 0, 1);
  EXPECT_FALSE(isolation.cut_off(now));
  ask(isolation, now, 0, 1);
  ask(isolation, now, 0, 1);
  EXPECT_TRUE(isolation.cut_off(now));
}

// Lifeguard: who was stopped himself has missed the answers, and must not say that nobody answers.
TEST(isolation, a_stall_of_its_own_accuses_nobody) {
  Time now = 50s;
  Isolation isolation(now);
  ask(isolation, now, 20, 6);
  isolation.tick(now += 5s);
  EXPECT_FALSE(isolation.cut_off(now));
  ask(isolation, now, 20, 6);
  EXPECT_FALSE(isolation.cut_off(now));  // those are on their way
  for (int i = 0; i < 3; ++i) ask(isolation, now, 0, 6);
  EXPECT_TRUE(isolation.cut_off(now));
}

}  // namespace
