// Accounts of customers, under ever new names: what is kept of them is bounded, and nobody gains by being
// forgotten.
#include <gtest/gtest.h>

#include <string>

#include "testing/small_tier.h"

namespace cranemux::testing {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr int kMostAccounts = 16384;  // of the module, as README's table has it
constexpr int kMany = 1024;

std::string name(int number) { return "customer-" + std::to_string(number); }

// Guards against memory that grows with the names that have come.
TEST(IdleAccounts, AreForgottenSoonWhereThereAreMany) {
  SmallTier tier(1);
  for (int i = 0; i < 2 * kMany; ++i) {
    tier.ask(0, name(i));
    if (i % 100 == 0) tier.play(5 * kMs);
  }
  tier.play(8000 * kMs);
  int kept = 0;
  for (int i = 0; i < 2 * kMany; ++i) kept += tier.knows(0, name(i));
  EXPECT_LT(kept, kMany);
}

TEST(IdleAccounts, StayWhereThereAreFew) {
  SmallTier tier(1);
  for (int i = 0; i < 100; ++i) tier.ask(0, name(i));
  tier.play(60'000 * kMs);
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(tier.knows(0, name(i)));
}

// Guards against a customer that gets its burst again by others' names: its account stays until its bucket is
// full.
TEST(IdleAccounts, OfCustomersThatHaveSpentStayUntilTheirBucketIsFull) {
  SmallTier tier(1, 0, {{"rate", 1, 40, 0, 0, 0, 0, 1, 0, 1}});
  int served = 0;
  const std::string busy = "busy";
  for (int i = 0; i < 40; ++i) {
    served += tier.ask(0, busy) == SmallTier::Fate::sent;
    tier.play(5 * kMs);
  }
  EXPECT_EQ(served, 40);
  for (int i = 0; i < 2 * kMany; ++i) {
    tier.ask(0, name(i));
    if (i % 100 == 0) tier.play(5 * kMs);
  }
  tier.play(8000 * kMs);
  EXPECT_TRUE(tier.knows(0, busy));
  const int before = tier.sent_of[busy];
  for (int i = 0; i < 40; ++i) {
    tier.ask(0, busy);
    tier.play(5 * kMs);
  }
  EXPECT_LE(tier.sent_of[busy] - before, 12);  // 9 s at one a second, and the refill of the asking
}

// Guards against totals of a new account that the leader takes for units given back: it still has the claim
// of the account that was forgotten.
TEST(IdleAccounts, ACustomerThatWasForgottenGainsNothingAtItsLeader) {
  constexpr double kRate = 10, kBurst = 40;
  SmallTier tier(2);
  std::string customer = "x0";
  for (int i = 0; tier.keeper(customer) != 1; ++i) customer = "x" + std::to_string(i);
  tier.press(50, 2000 * kMs, 0, 2);  // until the two have heard of each other
  for (int i = 0; i < 40; ++i) {
    tier.ask(0, customer);
    tier.play(20 * kMs);
  }
  // The other gateway spends all that refills, so the bucket is empty while gateway 0 takes it for full.
  // Others' ledgers are at gateway 0, so the leader has few and keeps the claim.
  for (int i = 0; i < 20 * kMany; ++i) {
    if (tier.keeper(name(i)) == 0) tier.ask(0, name(i));
    if (i % 200 == 0) tier.press(2 * kRate, 100 * kMs, 1, 2, customer);
  }
  ASSERT_FALSE(tier.knows(0, customer));
  const auto from = tier.now;
  const int before = tier.sent_of[customer];
  tier.press(100, 3000 * kMs, 0, 1, customer);
  const double seconds = static_cast<double>(tier.now - from) / 1e9;
  // What was left, what refills, and an even share that may be spent before the first answer.
  EXPECT_LE(tier.sent_of[customer] - before, kRate * seconds + kBurst / 2)
      << "of " << kBurst << " that it spent before";
}

// Guards against accounts without a bound where none may be forgotten yet.
TEST(IdleAccounts, PastTheirBoundFurtherCustomersAreRefused) {
  SmallTier tier(1, 0, {{"slow", 0.01, 4, 0, 0, 0, 0, 1, 0, 1}});
  for (int i = 0; i < kMostAccounts; ++i) {
    tier.ask(0, name(i));
    if (i % 200 == 0) tier.play(5 * kMs);
  }
  tier.play(20 * kMs);
  EXPECT_EQ(tier.ask(0, "one more"), SmallTier::Fate::refused);
  EXPECT_FALSE(tier.knows(0, "one more"));
  EXPECT_EQ(tier.ask(0, name(0)), SmallTier::Fate::sent);
}

}  // namespace
}  // namespace cranemux::testing
