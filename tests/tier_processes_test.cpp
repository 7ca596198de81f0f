// Five gatekeepers of the real program in the trusting form, as on the platform, over a relay that cuts: what
// they do alone, after a stall, and when they end by plan, by the count of the stand-in nodes.
#include <gtest/gtest.h>
#include <signal.h>

#include <cstdlib>

#include "testing/tier.h"

namespace {

using namespace cranemux;
using namespace cranemux::testing;
using namespace std::chrono_literals;

struct tier_of_five : ::testing::Test {
  tier_of_five() : tier(std::getenv("CRANEMUX_PROGRAM"), 5, 77) {
    tier.quotas = "trusting";
    tier.sender(20, 40, 100);                             // far over its quota
    for (int i = 0; i < 14; ++i) tier.sender(12, 24, 3);  // calm: their keepers are all five
  }
  void TearDown() override { tier.finish(); }  // what is on its way must not outlive its client
  // The share of what was asked in that time that was not served.
  double refused_in(milliseconds time) {
    const auto asked = tier.asked, refused = tier.refused;
    tier.play(time);
    return static_cast<double>(tier.refused - refused) / static_cast<double>(tier.asked - asked);
  }
  // Units of the one that asks too much, as a share of what its quota fills in that time.
  double busy_in(milliseconds time) {
    const auto& busy = *tier.senders.front();
    const auto before = tier.rules.units_begun(busy.name);
    tier.play(time);
    return (tier.rules.units_begun(busy.name) - before) /
           (busy.rate * std::chrono::duration<double>(time).count());
  }
  void expect_rules_kept() {
    tier.finish();
    for (const auto& broken : tier.rules.broken()) ADD_FAILURE() << broken;
  }

  Tier tier;
};

// Of 142 units a second 42 are the calm ones', so 0.7 of all is refused where all is well: 20 of 100 are
// served.
constexpr double kRefusedOfAll = 0.7;

TEST_F(tier_of_five, all_cut_off_spend_even_shares_and_owe_nothing_after_the_heal) {
  tier.start();
  tier.play(3s);
  tier.relay->cut = [](int, int) { return true; };
  tier.play(1500ms);
  EXPECT_LE(refused_in(3s), kRefusedOfAll);  // the calm ones are served
  EXPECT_LE(busy_in(3s), 1.5);               // even shares of one quota, not five quotas
  tier.relay->cut = {};
  tier.play(500ms);
  const auto calm = refused_in(3s);
  EXPECT_LE(calm, kRefusedOfAll);
  EXPECT_LE(busy_in(3s), 1.5);
  EXPECT_GT(tier.relay->counts().cut, 50U);
  expect_rules_kept();
}

TEST_F(tier_of_five, one_cut_off_spends_its_share_while_the_others_go_on) {
  tier.start();
  tier.play(3s);
  tier.relay->cut = [](int from, int to) { return from == 2 || to == 2; };
  tier.play(1500ms);
  EXPECT_LE(busy_in(4s), 1.5);
  EXPECT_LE(refused_in(3s), kRefusedOfAll + 0.05);
  tier.relay->cut = {};
  tier.play(500ms);
  EXPECT_LE(refused_in(3s), kRefusedOfAll);
  expect_rules_kept();
}

TEST_F(tier_of_five, one_that_was_stopped_goes_on_with_the_others) {
  tier.start();
  tier.play(3s);
  tier.signal(3, SIGSTOP);
  tier.play(2s);
  tier.signal(3, SIGCONT);
  tier.play(500ms);
  EXPECT_LE(busy_in(4s), 1.5);
  EXPECT_LE(refused_in(3s), kRefusedOfAll);
}

TEST_F(tier_of_five, a_keeper_that_is_killed_costs_no_second_store) {
  tier.start();
  tier.play(3s);
  for (int g = 0; g < 5; ++g) {  // one of them keeps the busy one's ledger
    tier.kill(g);
    tier.play(300ms);
    tier.start(g);
    tier.play(700ms);
  }
  EXPECT_LE(busy_in(4s), 1.5);
  EXPECT_LE(refused_in(3s), kRefusedOfAll);
}

// Three serve, and the last two are set aside to keep all quotas: nobody else is asked, and when one of the
// two is killed the other stands in.
TEST_F(tier_of_five, members_set_aside_keep_all_quotas) {
  tier.more = ", keepers: 2";
  for (auto& sender : tier.senders) sender->to = [this] { return static_cast<int>(tier.random() % 3); };
  std::size_t astray = 0, asked = 0;
  tier.relay->seen = [&](int from, int to, const std::string&) { ++(from < 3 && to < 3 ? astray : asked); };
  tier.start();
  tier.play(3s);
  EXPECT_LE(refused_in(3s), kRefusedOfAll + 0.05);
  EXPECT_LE(busy_in(3s), 1.5);
  EXPECT_GE(busy_in(3s), 0.5);
  EXPECT_GT(asked, 100U);
  EXPECT_EQ(astray, 0U);
  tier.kill(4);
  tier.play(1500ms);
  EXPECT_LE(refused_in(3s), kRefusedOfAll + 0.1);
  EXPECT_LE(busy_in(3s), 1.5);
  expect_rules_kept();
}

}  // namespace
