// A customer whose requests name another plan than before: the new plan applies, and the customer gains no
// units by the change.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "testing/small_tier.h"

namespace cranemux {
namespace {

using testing::SmallTier;
constexpr Nanos kMs = 1'000'000;

std::vector<PlanSettings> plans() {
  return {{"small", 2, 8, 0, 0, 0, 0, 1, 0, 1},
          {"large", 20, 80, 0, 0, 0, 0, 1, 0, 1},
          {"places", 0, 0, 3, 0, 0, 0, 1, 0, 1}};
}

TEST(plan_change, a_customer_goes_by_the_plan_that_its_requests_name) {
  for (const int dedicated_leaders : {0, 1}) {
    SmallTier tier(3, dedicated_leaders, plans());
    tier.play(100 * kMs);
    tier.press(30, 10'000 * kMs, 0, 3, "someone", "small");
    EXPECT_LE(tier.all_sent(), 2 * 10 + 8 + 15) << dedicated_leaders;
    tier.press(30, 5'000 * kMs, 0, 3, "someone", "large");  // until all gatekeepers know
    int before = tier.all_sent();
    tier.press(30, 10'000 * kMs, 0, 3, "someone", "large");
    EXPECT_GE(tier.all_sent() - before, 150) << dedicated_leaders;
    tier.press(30, 5'000 * kMs, 0, 3, "someone", "small");
    before = tier.all_sent();
    tier.press(30, 10'000 * kMs, 0, 3, "someone", "small");
    EXPECT_LE(tier.all_sent() - before, 2 * 10 + 15) << dedicated_leaders;
  }
}

// Changes of plan in any order, at any gatekeeper, let through no more than the largest of the plans.
RC_GTEST_PROP(plan_change, wins_nothing, ()) {
  SmallTier tier(3, 0, plans());
  tier.play(100 * kMs);
  const auto start = tier.now;
  for (int step = 0; step < 150; ++step) {
    const int at = *rc::gen::inRange(0, 3);
    const std::string plan = *rc::gen::arbitrary<bool>() ? "small" : "large";
    for (int n = *rc::gen::inRange(1, 6); n > 0; --n) tier.ask(at, "someone", plan);
    tier.play(*rc::gen::inRange(0, 40) * kMs);
  }
  const double filled = 20 * static_cast<double>(tier.now - start) / 1e9;
  // Beyond burst and refill: what three gatekeepers may borrow before an answer.
  RC_ASSERT(tier.all_sent() <= 80 + filled + 3 * 80 / 4 + 15);
}

TEST(plan_change, attempts_are_no_units) {
  SmallTier tier(2, 0, plans());
  tier.play(100 * kMs);
  for (int i = 0; i < 3; ++i) tier.ask(0, "someone", "places");
  tier.play(200 * kMs);
  const int before = tier.all_sent();
  for (int i = 0; i < 100; ++i) tier.ask(0, "someone", "large");
  EXPECT_LE(tier.all_sent() - before, 41);  // an even share of the bucket at most, before the first answer
  tier.play(3'000 * kMs);
  const int before_one_more = tier.all_sent();
  tier.ask(0, "someone", "large");
  tier.play(300 * kMs);
  EXPECT_EQ(tier.all_sent(), before_one_more + 1);
}

}  // namespace
}  // namespace cranemux
