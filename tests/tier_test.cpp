// What a gatekeeper believes about its tier.
#include <gtest/gtest.h>

#include "tier/isolation.h"
#include "tier/suspicion.h"

namespace {

using namespace cranemux::tier;
using namespace std::chrono_literals;

// Asks so many, of members in turn, in 100 ms.
void ask(Isolation& isolation, Time& now, int questions, int members) {
  for (int i = 0; i < questions; ++i) isolation.record_request(i % members);
  for (int i = 0; i < 10; ++i) isolation.tick(now += 10ms);
}

TEST(isolation, is_told_by_questions_to_several_that_nobody_answers) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 3; ++i) ask(isolation, now, 4, 6);
  EXPECT_FALSE(isolation.isolated(now));  // too soon
  ask(isolation, now, 4, 6);
  ask(isolation, now, 4, 6);
  EXPECT_TRUE(isolation.isolated(now));
  isolation.record_message(now);
  EXPECT_FALSE(isolation.isolated(now));
}

TEST(isolation, one_member_that_is_gone_proves_nothing) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 20; ++i) ask(isolation, now, 5, 3);
  EXPECT_FALSE(isolation.isolated(now));
}

TEST(isolation, long_silence_is_enough_by_itself) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 29; ++i) ask(isolation, now, 0, 1);
  EXPECT_FALSE(isolation.isolated(now));
  ask(isolation, now, 0, 1);
  ask(isolation, now, 0, 1);
  EXPECT_TRUE(isolation.isolated(now));
}

// Lifeguard: who was stopped himself has missed the answers, and must not say that nobody answers.
TEST(isolation, a_stall_of_its_own_accuses_nobody) {
  Time now = 50s;
  Isolation isolation(now);
  ask(isolation, now, 20, 6);
  isolation.tick(now += 5s);
  EXPECT_FALSE(isolation.isolated(now));
  ask(isolation, now, 20, 6);
  EXPECT_FALSE(isolation.isolated(now));  // those are on their way
  for (int i = 0; i < 3; ++i) ask(isolation, now, 0, 6);
  EXPECT_TRUE(isolation.isolated(now));
}

// A silence begins with the first question that finds no answer, however long nobody had anything to say.
TEST(isolation, a_silence_needs_questions) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 20; ++i) ask(isolation, now, 0, 1);
  EXPECT_FALSE(isolation.silent(now));
  for (int i = 0; i < 4; ++i) ask(isolation, now, 1, 1);
  EXPECT_FALSE(isolation.silent(now));  // 400 ms
  ask(isolation, now, 0, 1);
  EXPECT_TRUE(isolation.silent(now));
  EXPECT_EQ(isolation.silent_until(), 0s);
  isolation.record_message(now);
  EXPECT_FALSE(isolation.silent(now));
  EXPECT_EQ(isolation.silent_until(), now);
  EXPECT_EQ(isolation.evidence_valid_from(), 0s);  // the one asked may have been gone
}

TEST(isolation, the_end_of_a_cut_or_a_stall_voids_what_was_asked_before) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 5; ++i) ask(isolation, now, 4, 6);
  ASSERT_TRUE(isolation.isolated(now));
  isolation.record_message(now);
  EXPECT_EQ(isolation.evidence_valid_from(), now);
  ask(isolation, now, 4, 6);
  isolation.record_message(now);
  EXPECT_EQ(isolation.evidence_valid_from(), now - 100ms);  // it was not cut off again
  isolation.tick(now += 1s);
  EXPECT_EQ(isolation.evidence_valid_from(), now);
}

TEST(suspicion, ends_by_itself_or_with_any_word) {
  Suspicion suspicion(3);
  suspicion.suspect(1, 50s);
  EXPECT_TRUE(suspicion.suspected(1, 51s));
  EXPECT_FALSE(suspicion.suspected(2, 51s));
  EXPECT_FALSE(suspicion.suspected(1, 53s));
  EXPECT_EQ(suspicion.recovered(1), 0s);
  suspicion.record_message(1, 54s);  // after it had ended by itself
  EXPECT_EQ(suspicion.recovered(1), 54s);
  suspicion.record_message(1, 55s);
  EXPECT_EQ(suspicion.recovered(1), 54s);
  suspicion.suspect(1, 60s);
  suspicion.record_message(1, 60500ms);
  EXPECT_FALSE(suspicion.suspected(1, 61s));
}

}  // namespace
