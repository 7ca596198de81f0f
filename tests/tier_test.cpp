// How a gatekeeper detects that it is isolated, and which members it suspects.
#include <gtest/gtest.h>

#include "tier/isolation.h"
#include "tier/suspicion.h"

namespace {

using namespace cranemux::tier;
using namespace std::chrono_literals;

// Sends that number of requests to `members` members in turn, then lets 100 ms pass.
void send_requests(Isolation& isolation, Time& now, int requests, int members) {
  for (int i = 0; i < requests; ++i) isolation.record_request(i % members);
  for (int i = 0; i < 10; ++i) isolation.tick(now += 10ms);
}

TEST(isolation, follows_unanswered_requests_to_several_members) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 3; ++i) send_requests(isolation, now, 4, 6);
  EXPECT_FALSE(isolation.isolated(now));  // not for long enough
  send_requests(isolation, now, 4, 6);
  send_requests(isolation, now, 4, 6);
  EXPECT_TRUE(isolation.isolated(now));
  isolation.record_message(now);
  EXPECT_FALSE(isolation.isolated(now));
}

TEST(isolation, does_not_follow_from_few_failed_members) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 20; ++i) send_requests(isolation, now, 5, 3);
  EXPECT_FALSE(isolation.isolated(now));
}

TEST(isolation, follows_a_long_silence_without_requests) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 29; ++i) send_requests(isolation, now, 0, 1);
  EXPECT_FALSE(isolation.isolated(now));
  send_requests(isolation, now, 0, 1);
  send_requests(isolation, now, 0, 1);
  EXPECT_TRUE(isolation.isolated(now));
}

// A gatekeeper that was stalled has missed the answers itself, so its unanswered requests are no evidence
// (Lifeguard, see tier/isolation.h).
TEST(isolation, does_not_follow_from_a_stall_of_this_gatekeeper) {
  Time now = 50s;
  Isolation isolation(now);
  send_requests(isolation, now, 20, 6);
  isolation.tick(now += 5s);
  EXPECT_FALSE(isolation.isolated(now));
  send_requests(isolation, now, 20, 6);
  EXPECT_FALSE(isolation.isolated(now));  // the answers may be on their way
  for (int i = 0; i < 3; ++i) send_requests(isolation, now, 0, 6);
  EXPECT_TRUE(isolation.isolated(now));
}

// A silence begins with the first unanswered request; time without requests does not count.
TEST(isolation, silence_begins_with_an_unanswered_request) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 20; ++i) send_requests(isolation, now, 0, 1);
  EXPECT_FALSE(isolation.silent(now));
  for (int i = 0; i < 4; ++i) send_requests(isolation, now, 1, 1);
  EXPECT_FALSE(isolation.silent(now));  // 400 ms
  send_requests(isolation, now, 0, 1);
  EXPECT_TRUE(isolation.silent(now));
  EXPECT_EQ(isolation.silent_until(), 0s);
  isolation.record_message(now);
  EXPECT_FALSE(isolation.silent(now));
  EXPECT_EQ(isolation.silent_until(), now);
  EXPECT_EQ(isolation.evidence_valid_from(), 0s);  // the member that was asked may have failed
}

TEST(isolation, its_end_or_a_stall_voids_earlier_requests_as_evidence) {
  Time now = 50s;
  Isolation isolation(now);
  for (int i = 0; i < 5; ++i) send_requests(isolation, now, 4, 6);
  ASSERT_TRUE(isolation.isolated(now));
  isolation.record_message(now);
  EXPECT_EQ(isolation.evidence_valid_from(), now);
  send_requests(isolation, now, 4, 6);
  isolation.record_message(now);
  EXPECT_EQ(isolation.evidence_valid_from(), now - 100ms);  // it was not isolated again
  isolation.tick(now += 1s);
  EXPECT_EQ(isolation.evidence_valid_from(), now);
}

TEST(suspicion, expires_or_ends_with_any_message) {
  Suspicion suspicion(3);
  suspicion.suspect(1, 50s);
  EXPECT_TRUE(suspicion.suspected(1, 51s));
  EXPECT_FALSE(suspicion.suspected(2, 51s));
  EXPECT_FALSE(suspicion.suspected(1, 53s));
  EXPECT_EQ(suspicion.recovered(1), 0s);
  suspicion.record_message(1, 54s);  // after it had expired
  EXPECT_EQ(suspicion.recovered(1), 54s);
  suspicion.record_message(1, 55s);
  EXPECT_EQ(suspicion.recovered(1), 54s);
  suspicion.suspect(1, 60s);
  suspicion.record_message(1, 60500ms);
  EXPECT_FALSE(suspicion.suspected(1, 61s));
}

}  // namespace
