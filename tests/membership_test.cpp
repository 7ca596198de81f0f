// The membership over a simulated network in virtual time: failure detection, refutation, restarts, damaged
// messages, and the bounds on detection time and false suspicions.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include <queue>

namespace {

using namespace cranemux::membership;
using namespace std::chrono_literals;

struct Datagram {
  Time at;
  std::uint64_t order;
  int from, to;
  std::string bytes;
  bool operator<(const Datagram& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

// A tier of memberships; `cut(from, to)` returns true where the path between two members is closed.
struct Tier {
  explicit Tier(int size, double loss_ = 0, double messages_per_s = 10) : loss(loss_), random(size * 7 + 1) {
    detection.members = size;
    detection.messages_per_s = messages_per_s;
    detection.loss = loss_;
    members.resize(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) start(i);
  }
  void start(int i) { start(i, static_cast<std::uint16_t>(random())); }
  void start(int i, std::uint16_t generation) {
    Settings settings;
    settings.members = static_cast<int>(members.size());
    settings.self = i;
    settings.generation = generation;
    settings.seed = random();
    settings.detection = detection;
    members[static_cast<std::size_t>(i)] = std::make_unique<Membership>(settings, now);
  }
  void stop(int i) { members[static_cast<std::size_t>(i)].reset(); }
  Membership& at(int i) { return *members[static_cast<std::size_t>(i)]; }

  double draw() { return static_cast<double>(random() >> 11U) / 9007199254740992.0; }
  void run(Time span, const std::function<bool()>& done = {}) {
    const auto end = now + span;
    for (; now < end; now += 10ms) {
      while (!network.empty() && network.top().at <= now) {
        const auto m = network.top();
        network.pop();
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
          const auto delay = 1ms + std::chrono::milliseconds(random() % 15);
          network.push({now + delay, ++order, static_cast<int>(i), out.to, out.bytes});
          if (draw() < duplication)
            network.push({now + 3 * delay, ++order, static_cast<int>(i), out.to, out.bytes});
        }
      }
      if (done && done()) return;
    }
  }
  bool all_report(int about, State state) {
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i] && static_cast<int>(i) != about && at(static_cast<int>(i)).member(about).state != state)
        return false;
    }
    return true;
  }
  bool all_alive() {
    for (int i = 0; i < static_cast<int>(members.size()); ++i) {
      if (!all_report(i, State::alive)) return false;
    }
    return true;
  }

  DetectionSettings detection;
  double loss, damage = 0, duplication = 0;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Membership>> members;
  std::priority_queue<Datagram> network;
  std::function<bool(int, int)> cut;
  Time now{std::chrono::hours(1)};
  std::uint64_t order = 0, sent = 0;
};

class membership_of_size : public ::testing::TestWithParam<int> {};

// All members mark a stopped member as failed, within the bounds plus the rounds that updates take to spread.
TEST_P(membership_of_size, detects_a_stopped_member_and_its_restart) {
  const int size = GetParam();
  Tier tier(size);
  const auto period = tier.at(0).period();
  tier.run(period * (3 * size + 20), [&] { return tier.all_alive(); });
  ASSERT_TRUE(tier.all_alive());
  tier.run(2 * period);
  tier.stop(size - 1);
  const auto stopped = tier.now;
  tier.run(std::chrono::hours(1), [&] { return tier.all_report(size - 1, State::failed); });
  const auto took = tier.now - stopped;
  const auto rounds = period * (4 + 2 * static_cast<int>(std::log2(size + 1)));
  EXPECT_LE(took,
            max_time_to_probe(tier.detection) + suspicion_timeout(tier.detection) + 2 * period + rounds);
  tier.start(size - 1);
  tier.run(std::chrono::hours(1), [&] { return tier.all_report(size - 1, State::alive); });
  EXPECT_LE(tier.now - stopped - took, period * (4 * size + 20));
  EXPECT_EQ(tier.at(0).member(size - 1).generations_seen, 2U);
}
INSTANTIATE_TEST_SUITE_P(sizes, membership_of_size, ::testing::Values(2, 3, 5, 16, 60));

// A tier of 500 detects a stopped member and stays within the message budget.
TEST(membership, five_hundred_members_stay_within_the_message_budget) {
  Tier tier(500, 0.05);
  const auto period = tier.at(0).period();
  tier.run(25 * period);
  const auto before = tier.sent;
  tier.stop(7);
  const auto stopped = tier.now;
  int detected_by = 0;
  tier.run(40 * period, [&] {
    detected_by = 0;
    for (int i = 0; i < 500; ++i) detected_by += i != 7 && tier.at(i).member(7).state == State::failed;
    return detected_by > 450;
  });
  EXPECT_GT(detected_by, 450);
  const double seconds = std::chrono::duration<double>(tier.now - stopped).count();
  const double messages_per_s = static_cast<double>(tier.sent - before) / 499 / seconds;
  EXPECT_LE(messages_per_s, 1.25 * tier.detection.messages_per_s);
}

// With 30% of all messages lost, live members refute suspicions and are rarely marked as failed.
TEST(membership, message_loss_alone_fails_no_member) {
  Tier tier(8, 0.3);
  const auto period = tier.at(0).period();
  tier.run(20 * period);
  std::uint64_t false_failures = 0, checks = 0;
  tier.run(400 * period, [&] {
    for (int i = 0; i < 8; ++i) {
      for (int j = 0; j < 8; ++j) {
        ++checks;
        false_failures += i != j && tier.at(i).member(j).state == State::failed;
      }
    }
    return false;
  });
  std::uint64_t refuted = 0;
  for (int i = 0; i < 8; ++i) refuted += tier.at(i).counts().refutations;
  EXPECT_GT(refuted, 0U);
  EXPECT_LT(static_cast<double>(false_failures) / static_cast<double>(checks), 0.02);
}

TEST(membership, distinguishes_a_failure_from_isolation_and_from_a_split) {
  Tier tier(5);
  tier.run(20s);
  ASSERT_TRUE(tier.all_alive());
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
  ASSERT_TRUE(tier.all_alive());
  tier.cut = [](int from, int to) { return (from < 2) != (to < 2); };
  tier.run(60s);
  EXPECT_EQ(tier.at(0).tier_condition(tier.now), TierCondition::split);
  EXPECT_EQ(tier.at(4).tier_condition(tier.now), TierCondition::split);
  tier.cut = {};
  tier.run(90s);
  EXPECT_TRUE(tier.all_alive());
  EXPECT_EQ(tier.at(0).tier_condition(tier.now), TierCondition::healthy);
}

TEST(membership, detects_that_all_members_have_restarted) {
  Tier tier(4);
  tier.run(40s);
  EXPECT_EQ(tier.at(2).tier_condition(tier.now), TierCondition::healthy);
  for (int i = 0; i < 4; ++i) tier.start(i);
  tier.run(10s);
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(tier.at(i).tier_condition(tier.now), TierCondition::all_restarted) << i;
}

// Where only the direct path between two members is closed, indirect probes keep both from being marked as
// failed.
TEST(membership, indirect_probes_bypass_a_closed_path) {
  Tier tier(5);
  tier.run(20s);
  tier.cut = [](int from, int to) { return from == 0 && to == 1; };
  std::size_t failed = 0;
  tier.run(120s, [&] {
    failed += tier.at(0).member(1).state == State::failed || tier.at(1).member(0).state == State::failed;
    return false;
  });
  EXPECT_EQ(failed, 0U);
  EXPECT_GT(tier.at(0).counts().indirect_probes, 0U);
}

// A restarted member that draws the same generation number again still counts as a new generation.
TEST(membership, a_generation_number_drawn_again_is_a_new_generation) {
  Tier tier(3);
  tier.run(20s);
  tier.start(2, 77);
  tier.run(20s);
  const auto generations = tier.at(0).member(2).generations_seen;
  tier.start(2, 77);
  tier.run(20s);
  EXPECT_EQ(tier.at(0).member(2).generations_seen, generations + 1);
  EXPECT_EQ(tier.at(0).member(2).state, State::alive);
}

// Delayed trailers of an earlier generation and duplicates change nothing; damaged ones are refused or do no
// lasting harm.
TEST(membership, refuses_delayed_duplicated_and_damaged_trailers) {
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
  tier.duplication = 0.3;
  tier.run(120s);
  tier.damage = 0;
  tier.run(120s);
  EXPECT_TRUE(tier.all_alive());
}

// Without probes a member learns from the messages that it receives, and sends none itself.
TEST(membership, sends_nothing_without_probes) {
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

TEST(membership, detection_bounds) {
  DetectionSettings settings{3, 10, 0, 3, 3};
  EXPECT_DOUBLE_EQ(messages_per_period(settings), 2);
  EXPECT_EQ(protocol_period(settings), 200ms);
  EXPECT_DOUBLE_EQ(false_suspicion_probability(settings), 0);
  settings.loss = 0.3;
  EXPECT_NEAR(false_suspicion_probability(settings), 0.51 * (1 - 0.2401), 1e-9);  // a single indirect prober
  settings.members = 100;
  EXPECT_NEAR(false_suspicion_probability(settings), 0.51 * std::pow(1 - 0.2401, 3), 1e-9);
  EXPECT_EQ(transmissions(1023), 30);
}

}  // namespace
