// Messages between gatekeepers of which some arrive with one byte changed, although the UDP checksum matches,
// as after a faulty device or proxy.
//
// Guards against a fault found by the soak test, seed 20: after 2% of the messages had been damaged for 5 s,
// one gatekeeper got a quota of its own in addition to the shared one, until the end of the run.
#include <gtest/gtest.h>

#include <chrono>
#include <random>
#include <string>
#include <tuple>
#include <utility>

#include "ledger/transport.h"
#include "testing/small_tier.h"

namespace {

using cranemux::Nanos;
using cranemux::testing::SmallTier;
constexpr Nanos kMs = 1'000'000, kSecond = 1'000 * kMs;
constexpr int kMembers = 6;
constexpr double kRate = 20, kBurst = 40, kOffered = 100;  // units a second, units, requests a second
constexpr double kDamagedShare = 0.1;                      // of the messages
constexpr double kMaxQuotas = 1.5;  // units sent over several seconds, as a multiple of the quota

// Changes one byte in a random share of the messages.
class MessageDamage {
 public:
  explicit MessageDamage(std::uint64_t seed) : random_(seed) {}
  void operator()(std::string& bytes) {
    if (bytes.empty() || draw() >= kDamagedShare) return;
    bytes[random_() % bytes.size()] ^= static_cast<char>(1 + random_() % 255);
  }

 private:
  double draw() { return static_cast<double>(random_() % 1'000'000) / 1'000'000; }
  std::mt19937_64 random_;
};

struct damaged_messages : ::testing::TestWithParam<std::tuple<bool, std::uint64_t>> {
  damaged_messages()
      : tier(kMembers, 0, {{"rate", kRate, kBurst, 0, 0, 0, 0, 1, 0, 1}}, std::get<0>(GetParam())) {
    tier.play(2 * kSecond);  // until the quota leader is elected
    send_load(5 * kSecond);
    tier.alter = MessageDamage(std::get<1>(GetParam()));
  }
  void send_load(Nanos time) { tier.press(kOffered, time, 0, kMembers); }
  // Units sent in that time, as a multiple of what the quota refills.
  double quotas_sent_in(Nanos time) {
    const int before = tier.sent_of["someone"];
    send_load(time);
    return (tier.sent_of["someone"] - before) / (kRate * static_cast<double>(time) / 1e9);
  }

  SmallTier tier;
};

TEST_P(damaged_messages, cause_no_lasting_second_quota) {
  EXPECT_LE(quotas_sent_in(10 * kSecond), kMaxQuotas) << "while messages are damaged";
  tier.alter = {};
  send_load(3 * kSecond);
  for (int i = 0; i < 3; ++i)
    EXPECT_LE(quotas_sent_in(5 * kSecond), kMaxQuotas) << "afterwards, period " << i;
}

// Each gatekeeper gets its share again, also the one whose counters were damaged.
TEST_P(damaged_messages, starve_no_gatekeeper) {
  send_load(10 * kSecond);
  tier.alter = {};
  send_load(3 * kSecond);
  const auto before = tier.sent;
  send_load(10 * kSecond);
  for (int g = 0; g < kMembers; ++g)
    EXPECT_GE(tier.sent[g] - before.at(g), 0.5 * kRate * 10 / kMembers) << "gatekeeper " << g;
}

INSTANTIATE_TEST_SUITE_P(seeds, damaged_messages,
                         ::testing::Combine(::testing::Bool(), ::testing::Range<std::uint64_t>(1, 11)));

// A message with any one byte changed, or cut anywhere, is rejected as a whole.
TEST(message_checksum, rejects_every_damaged_message) {
  for (const bool guarded : {false, true}) {
    cranemux::ledger::TransportSettings settings;
    settings.members = 3;
    settings.messages_per_s = 100;
    settings.guarded = guarded;
    const std::chrono::nanoseconds now(kSecond);
    cranemux::ledger::Transport sender(settings, now);
    settings.self = 1;
    sender.enqueue(1, {0, 77, cranemux::ledger::LeaseRequest{12, 50, 3, 4, 9, 1, 1, 0, 0}});
    std::string message;
    sender.send_due(now, [&](int, std::string bytes) { message = std::move(bytes); });
    ASSERT_FALSE(message.empty());
    const auto accepts = [&](const std::string& bytes) {
      return cranemux::ledger::Transport(settings, now).receive(0, bytes, now).has_value();
    };
    EXPECT_TRUE(accepts(message));
    for (std::size_t at = 0; at < message.size(); ++at) {
      for (int change = 1; change < 256; ++change) {
        auto damaged = message;
        damaged[at] ^= static_cast<char>(change);
        EXPECT_FALSE(accepts(damaged)) << "byte " << at;
      }
      EXPECT_FALSE(accepts(message.substr(0, at))) << "cut at " << at;
    }
  }
}

}  // namespace
