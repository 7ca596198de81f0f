// The membership over a simulated network in virtual time: detection, refutation, lives, damage, and the
// formulas that promise how fast and how wrong it is.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include <queue>

namespace {

using namespace cranemux::membership;
using namespace std::chrono_literals;

struct Mail {
  Time at;
  std::uint64_t order;
  int from, to;
  std::string bytes;
  bool operator<(const Mail& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
};

// A tier of memberships; `cut` says which way is closed.
struct Tier {
  explicit Tier(int size, double loss_ = 0, double messages_per_s = 10) : loss(loss_), random(size * 7 + 1) {
    terms.members = size;
    terms.messages_per_s = messages_per_s;
    terms.loss = loss_;
    members.resize(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) start(i);
  }
  void start(int i) { start(i, static_cast<std::uint16_t>(random())); }
  void start(int i, std::uint16_t life) {
    Settings settings;
    settings.members = static_cast<int>(members.size());
    settings.self = i;
    settings.generation = life;
    settings.seed = random();
    settings.detection = terms;
    members[static_cast<std::size_t>(i)] = std::make_unique<Membership>(settings, now);
  }
  void stop(int i) { members[static_cast<std::size_t>(i)].reset(); }
  Membership& at(int i) { return *members[static_cast<std::size_t>(i)]; }

  double draw() { return static_cast<double>(random() >> 11U) / 9007199254740992.0; }
  void run(Time span, const std::function<bool()>& done = {}) {
    const auto end = now + span;
    for (; now < end; now += 10ms) {
      while (!mail.empty() && mail.top().at <= now) {
        const auto m = mail.top();
        mail.pop();
        auto& to = members[static_cast<std::size_t>(m.to)];
        if (!to) continue;
        auto bytes = m.bytes;
        if (draw() < damage) bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
        to->receive(m.from, bytes, now);
      }
      for (std::size_t i = 0; i < members.size(); ++i) {
        if (!members[i]) continue;
        for (auto& out : members[i]->take_due_messages(now)) {
          ++sent;
          EXPECT_LE(out.bytes.size(), 256U);
          if (draw() < loss || (cut && cut(static_cast<int>(i), out.to))) continue;
          const auto late = 1ms + std::chrono::milliseconds(random() % 15);
          mail.push({now + late, ++order, static_cast<int>(i), out.to, out.bytes});
          if (draw() < repeats) mail.push({now + 3 * late, ++order, static_cast<int>(i), out.to, out.bytes});
        }
      }
      if (done && done()) return;
    }
  }
  bool all_hold(int about, State state) {
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i] && static_cast<int>(i) != about && at(static_cast<int>(i)).member(about).state != state)
        return false;
    }
    return true;
  }
  bool whole() {
    for (int i = 0; i < static_cast<int>(members.size()); ++i) {
      if (!all_hold(i, State::alive)) return false;
    }
    return true;
  }

  DetectionSettings terms;
  double loss, damage = 0, repeats = 0;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Membership>> members;
  std::priority_queue<Mail> mail;
  std::function<bool(int, int)> cut;
  Time now{std::chrono::hours(1)};
  std::uint64_t order = 0, sent = 0;
};

class membership_of : public ::testing::TestWithParam<int> {};

// A stopped member is held gone by all, within what the formulas say and the rounds that news takes.
TEST_P(membership_of, finds_a_stopped_member_and_its_next_life) {
  const int size = GetParam();
  Tier tier(size);
  const auto period = tier.at(0).period();
  tier.run(period * (3 * size + 20), [&] { return tier.whole(); });
  ASSERT_TRUE(tier.whole());
  tier.run(2 * period);
  tier.stop(size - 1);
  const auto stopped = tier.now;
  tier.run(std::chrono::hours(1), [&] { return tier.all_hold(size - 1, State::failed); });
  const auto took = tier.now - stopped;
  const auto rounds = period * (4 + 2 * static_cast<int>(std::log2(size + 1)));
  EXPECT_LE(took, max_time_to_probe(tier.terms) + suspicion_timeout(tier.terms) + 2 * period + rounds);
  tier.start(size - 1);
  tier.run(std::chrono::hours(1), [&] { return tier.all_hold(size - 1, State::alive); });
  EXPECT_LE(tier.now - stopped - took, period * (4 * size + 20));
  EXPECT_EQ(tier.at(0).member(size - 1).generations_seen, 2U);
}
INSTANTIATE_TEST_SUITE_P(sizes, membership_of, ::testing::Values(2, 3, 5, 16, 60));

// The budget holds at any size, and a tier of 500 finds a stopped member.
TEST(membership, five_hundred_within_the_budget) {
  Tier tier(500, 0.05);
  const auto period = tier.at(0).period();
  tier.run(25 * period);
  const auto before = tier.sent;
  tier.stop(7);
  const auto stopped = tier.now;
  int knows = 0;
  tier.run(40 * period, [&] {
    knows = 0;
    for (int i = 0; i < 500; ++i) knows += i != 7 && tier.at(i).member(7).state == State::failed;
    return knows > 450;
  });
  EXPECT_GT(knows, 450);
  const double seconds = std::chrono::duration<double>(tier.now - stopped).count();
  const double each = static_cast<double>(tier.sent - before) / 499 / seconds;
  EXPECT_LE(each, 1.25 * tier.terms.messages_per_s);
}

// With a third of all messages lost, suspicions are refuted and nobody who is there is held gone for long.
TEST(membership, loss_alone_takes_nobody_out) {
  Tier tier(8, 0.3);
  const auto period = tier.at(0).period();
  tier.run(20 * period);
  std::uint64_t wrong = 0, looks = 0;
  tier.run(400 * period, [&] {
    for (int i = 0; i < 8; ++i) {
      for (int j = 0; j < 8; ++j) {
        ++looks;
        wrong += i != j && tier.at(i).member(j).state == State::failed;
      }
    }
    return false;
  });
  std::uint64_t refuted = 0;
  for (int i = 0; i < 8; ++i) refuted += tier.at(i).counts().refutations;
  EXPECT_GT(refuted, 0U);
  EXPECT_LT(static_cast<double>(wrong) / static_cast<double>(looks), 0.02);
}

TEST(membership, tells_one_gone_from_cut_off_from_a_split) {
  Tier tier(5);
  tier.run(20s);
  ASSERT_TRUE(tier.whole());
  tier.run(40s);
  EXPECT_EQ(tier.at(1).tier_condition(tier.now), TierCondition::healthy);
  tier.stop(4);
  tier.run(40s);
  EXPECT_EQ(tier.at(1).tier_condition(tier.now), TierCondition::some_failed);
  tier.start(4);
  tier.run(40s);
  tier.cut = [](int from, int to) { return from == 0 || to == 0; };
  tier.run(60s);
  EXPECT_EQ(tier.at(0).tier_condition(tier.now), TierCondition::isolated);
  EXPECT_EQ(tier.at(1).tier_condition(tier.now), TierCondition::some_failed);
  tier.cut = {};
  tier.run(60s);
  ASSERT_TRUE(tier.whole());
  tier.cut = [](int from, int to) { return (from < 2) != (to < 2); };
  tier.run(60s);
  EXPECT_EQ(tier.at(0).tier_condition(tier.now), TierCondition::split);
  EXPECT_EQ(tier.at(4).tier_condition(tier.now), TierCondition::split);
  tier.cut = {};
  tier.run(90s);
  EXPECT_TRUE(tier.whole());
  EXPECT_EQ(tier.at(0).tier_condition(tier.now), TierCondition::healthy);
}

TEST(membership, tells_that_everyone_has_begun_again) {
  Tier tier(4);
  tier.run(40s);
  EXPECT_EQ(tier.at(2).tier_condition(tier.now), TierCondition::healthy);
  for (int i = 0; i < 4; ++i) tier.start(i);
  tier.run(10s);
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(tier.at(i).tier_condition(tier.now), TierCondition::all_restarted) << i;
}

// Of one direct way that is closed helpers know better: nobody is held gone.
TEST(membership, helpers_reach_past_a_closed_way) {
  Tier tier(5);
  tier.run(20s);
  tier.cut = [](int from, int to) { return from == 0 && to == 1; };
  std::size_t gone = 0;
  tier.run(120s, [&] {
    gone += tier.at(0).member(1).state == State::failed || tier.at(1).member(0).state == State::failed;
    return false;
  });
  EXPECT_EQ(gone, 0U);
  EXPECT_GT(tier.at(0).counts().indirect_probes, 0U);
}

// A restarted member that draws its earlier number is a new life all the same.
TEST(membership, a_life_number_drawn_again_is_a_new_life) {
  Tier tier(3);
  tier.run(20s);
  tier.start(2, 77);
  tier.run(20s);
  const auto lives = tier.at(0).member(2).generations_seen;
  tier.start(2, 77);
  tier.run(20s);
  EXPECT_EQ(tier.at(0).member(2).generations_seen, lives + 1);
  EXPECT_EQ(tier.at(0).member(2).state, State::alive);
}

// What an earlier life sent and what comes twice change nothing; damaged bytes are refused or do no lasting
// harm.
TEST(membership, late_repeated_and_damaged_trailers) {
  Tier tier(3);
  tier.run(20s);
  const auto old = tier.at(2).piggyback(256, tier.now);
  tier.start(2, 9);
  tier.run(20s);
  EXPECT_FALSE(tier.at(0).receive(2, old, tier.now));
  EXPECT_EQ(tier.at(0).counts().stale_generations, 1U);
  EXPECT_FALSE(tier.at(0).receive(2, "", tier.now));
  EXPECT_FALSE(tier.at(0).receive(2, std::string(200, '\xff'), tier.now));
  EXPECT_FALSE(tier.at(0).receive(9, old, tier.now));
  EXPECT_FALSE(tier.at(0).receive(0, old, tier.now));
  tier.damage = 0.2;
  tier.repeats = 0.3;
  tier.run(120s);
  tier.damage = 0;
  tier.run(120s);
  EXPECT_TRUE(tier.whole());
}

// Without probes it learns from what flows, and sends nothing.
TEST(membership, without_probes_it_costs_no_message) {
  Settings settings;
  settings.members = 2;
  settings.probes = false;
  Membership one(settings, 0s), two(
                                    [&] {
                                      auto other = settings;
                                      other.self = 1;
                                      return other;
                                    }(),
                                    0s);
  for (Time now = 0s; now < 60s; now += 100ms) {
    EXPECT_TRUE(one.take_due_messages(now).empty());
    if (now < 30s) one.receive(1, two.piggyback(64, now), now);
  }
  EXPECT_EQ(one.member(1).state, State::alive);
  EXPECT_TRUE(two.piggyback(3, 60s).empty());
}

TEST(membership, formulas) {
  DetectionSettings t{3, 10, 0, 3, 3};
  EXPECT_DOUBLE_EQ(messages_per_period(t), 2);
  EXPECT_EQ(protocol_period(t), 200ms);
  EXPECT_DOUBLE_EQ(false_suspicion_probability(t), 0);
  t.loss = 0.3;
  EXPECT_NEAR(false_suspicion_probability(t), 0.51 * (1 - 0.2401), 1e-9);  // one helper only
  t.members = 100;
  EXPECT_NEAR(false_suspicion_probability(t), 0.51 * std::pow(1 - 0.2401, 3), 1e-9);
  EXPECT_EQ(transmissions(1023), 30);
}

}  // namespace
