// Load shedding by dedicated quota leaders: its classes (RapidCheck), the share under changing demand, and
// the decision module with messages lost, forged and late.
#include "ledger/load_shedding.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "cranemux/decision_module.h"
#include "ledger/checksum.h"
#include "ledger/lease_requests.h"
#include "ledger/message_budget.h"
#include "ledger/replica_placement.h"
#include "ledger/split.h"
#include "ledger/transport.h"
#include "ledger/wire_encoding.h"
#include "scale/hollow.h"
#include "testing/small_tier.h"

namespace cranemux {
namespace {

using ledger::LoadShedder;
using ledger::ShedNoticeLog;
using ledger::ShedTable;
using ledger::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Nanos kMs = 1'000'000;

// ---- classes ----

// A bucket under a given demand. Notices reach the gatekeepers after `delay`, and reports the leader.
struct Loop {
  double rate, burst;
  Time delay = milliseconds(700);
  LoadShedder shedder = {};
  double tokens = burst, admitted_share = 1, admitted = 0, notices = 0;
  Time now{seconds(100)};
  std::deque<std::pair<Time, double>> shares = {};  // in flight to the gatekeepers
  std::deque<std::tuple<Time, double, double>> reports =
      {};  // requested and admitted units, in flight to the leader

  void play(double demand, Time span) {
    constexpr Time kStep = milliseconds(50);
    for (const auto end = now + span; now < end; now += kStep) {
      const double requested = demand * 0.05, passed = requested * admitted_share;
      admitted += passed;
      reports.emplace_back(now + delay, requested, passed);
      for (; !reports.empty() && std::get<0>(reports.front()) <= now; reports.pop_front()) {
        shedder.record_demand(std::get<1>(reports.front()), now);
        tokens -= std::get<2>(reports.front());
      }
      tokens = std::clamp(tokens + rate * 0.05, -burst / 4, burst);
      if (const auto share = shedder.update(tokens, rate, burst, now)) {
        ++notices;
        shares.emplace_back(now + delay, *share / 100.0);
      }
      for (; !shares.empty() && shares.front().first <= now; shares.pop_front())
        admitted_share = shares.front().second;
    }
  }
};

RC_GTEST_PROP(load_shedder, admits_the_refill_whatever_the_demand, ()) {
  const double rate = std::exp(*rc::gen::inRange(0, 90) / 10.0), times = *rc::gen::inRange(15, 80) / 10.0;
  Loop loop{rate, 2 * rate};
  loop.play(rate * times, seconds(20));
  const double before = loop.admitted;
  loop.notices = 0;
  loop.play(rate * times, seconds(40));
  const double ratio = (loop.admitted - before) / (40 * rate);
  RC_ASSERT(ratio > 0.85);
  RC_ASSERT(ratio < 1.12);
  RC_ASSERT(loop.notices <= 20);  // a share that stays the same is rarely repeated
  // Once the demand is below the rate, shedding ends soon.
  loop.play(rate / 2, seconds(75));
  RC_ASSERT(loop.admitted_share == 1);
  RC_ASSERT(!loop.shedder.active());
}

RC_GTEST_PROP(load_shedder, announces_nothing_within_the_quota, ()) {
  const double rate = std::exp(*rc::gen::inRange(0, 90) / 10.0);
  Loop loop{rate, 2 * rate};
  loop.play(rate * *rc::gen::inRange(1, 95) / 100, seconds(60));
  RC_ASSERT(loop.notices == 0);
}

TEST(load_shedder, follows_the_bucket_when_demand_changes) {
  Loop loop{100, 200};
  loop.play(30, seconds(10));
  EXPECT_EQ(loop.admitted_share, 1);
  const double before = loop.admitted;
  loop.play(450, seconds(12));
  EXPECT_LT(loop.admitted_share, 0.35);
  EXPECT_LT(loop.admitted - before,
            1.6 * (200 + 12 * 100));  // the bucket, the refill, and what is admitted until the notice arrives
}

TEST(load_shedder, repeats_a_share_before_it_expires) {
  Loop loop{100, 200};
  loop.play(300, seconds(30));
  loop.notices = 0;
  loop.play(300, ShedTable::kEntryLifetime);
  EXPECT_GE(loop.notices, 2);
}

// Each gatekeeper receives each notice once and in order, however they are divided into messages. One that is
// further behind than the log's capacity misses the oldest notices, and these are counted.
RC_GTEST_PROP(shed_notice_log, delivers_in_order_and_counts_missed_notices, ()) {
  ShedNoticeLog log(2);
  std::uint32_t added = 0;
  std::vector<std::uint32_t> received[2];
  const auto piggyback = [&](int to, std::size_t room) {
    log.piggyback(to, room, 6,
                  [&](const ledger::ShedNotice& notice) { received[to].push_back(notice.customer); });
  };
  for (int step = 0; step < 30; ++step) {
    for (int n = *rc::gen::inRange(0, 900); n > 0; --n) log.add({0, ++added, 50});
    piggyback(0, 6 * ShedNoticeLog::kCapacity);
    piggyback(1, static_cast<std::size_t>(*rc::gen::inRange(0, 2000)));
  }
  while (log.has_unsent(1)) piggyback(1, 250);
  RC_ASSERT(received[0].size() == added);
  for (const auto& one : received) RC_ASSERT(std::is_sorted(one.begin(), one.end()));
  RC_ASSERT(received[1].size() + log.missed() == added);
  RC_ASSERT(!log.has_unsent(0));
}

TEST(shed_table, entries_expire_and_are_bounded) {
  ShedTable table;
  table.update(1, 40, seconds(10));
  EXPECT_EQ(table.share(1, seconds(11)), 40);
  EXPECT_EQ(table.share(2, seconds(11)), std::nullopt);
  EXPECT_EQ(table.share(1, seconds(10) + ShedTable::kEntryLifetime), std::nullopt);
  table.update(1, 100, seconds(12));
  EXPECT_EQ(table.size(), 0U);
  for (std::uint32_t c = 0; c < ShedTable::kMaxCustomers + 10; ++c) table.update(c, 50, seconds(20));
  EXPECT_EQ(table.size(), ShedTable::kMaxCustomers);
  EXPECT_EQ(table.dropped(), 10U);
  table.update(5, 60, seconds(21));  // an existing entry is still updated
  EXPECT_EQ(table.share(5, seconds(22)), 60);
  for (std::size_t i = 0; i < 10 * ledger::kCallsPerPass; ++i) table.erase_expired(seconds(200));
  EXPECT_EQ(table.size(), 0U);
}

RC_GTEST_PROP(incremental_erase, covers_the_map_in_bounded_calls, ()) {
  const auto size = *rc::gen::inRange<std::uint32_t>(0, 3000);
  std::map<std::uint32_t, bool> map;
  for (std::uint32_t i = 0; i < size; ++i) map[i * 7] = *rc::gen::arbitrary<bool>();
  std::uint32_t cursor = 0;
  std::map<std::uint32_t, int> visits;
  bool shrinks = false;
  for (const auto& item : map) shrinks = shrinks || item.second;
  // A call covers a fraction of the items left: if none is erased, the calls of a pass cover all.
  for (std::size_t call = 0; call < (shrinks ? 5 : 1) * ledger::kCallsPerPass; ++call) {
    const auto calls =
        map.size() > ledger::kLargeMapItems ? ledger::kCallsPerQuickPass : ledger::kCallsPerPass;
    const auto most = std::max(ledger::kSmallMapItems, map.size() / calls + 1);
    std::size_t visited = 0;
    ledger::erase_some(map, cursor, [&](const auto& item) {
      ++visited;
      ++visits[item.first];
      return item.second;
    });
    RC_ASSERT(visited <= most);
    if (!shrinks && call + 1 == calls) RC_ASSERT(visits.size() == size);
  }
  RC_ASSERT(visits.size() == size);
  for (const auto& item : map) RC_ASSERT(!item.second);
}

// The split visits only gatekeepers with a shortfall: its result and its random draws are those of a scan of
// all claims.
RC_GTEST_PROP(split, equals_a_scan_of_all_claims, ()) {
  ledger::Ledger ledger{1, 0, 10, 40, -4};
  ledger.tokens = 40;
  std::mt19937_64 random(7);
  Time now = seconds(100);
  for (int step = 0; step < 40; ++step) {
    const int from = *rc::gen::inRange(0, 12);
    ledger::Demand demand;
    demand.used = ledger.claims.contains(from) ? ledger.claims[from].limit : 0;
    demand.wanted = *rc::gen::inRange(0, 6);
    demand.weight = 1;
    demand.hold = milliseconds(*rc::gen::inRange(0, 300));
    now += milliseconds(*rc::gen::inRange(0, 100));
    ledger.fill(now);
    ledger.merge(from, demand, now);
    std::set<int> short_of_units;  // by a scan
    const int requester = *rc::gen::arbitrary<bool>() ? from : -1;
    for (const auto& [gatekeeper, claim] : ledger.claims) {
      if (claim.shortfall() > 0 && (gatekeeper == requester || now <= claim.held_until))
        short_of_units.insert(gatekeeper);
    }
    auto draws = random;
    const auto granted = ledger::split(ledger, {4, 0, requester}, now, random);
    draws.discard(short_of_units.size());
    RC_ASSERT(draws == random);  // one draw for each gatekeeper with a shortfall, and no other
    for (const int g : granted) RC_ASSERT(short_of_units.contains(g));
  }
}

// ---- the decision module ----

using testing::SmallTier;
using Fate = SmallTier::Fate;

TEST(shedding_tier, no_request_within_its_quota_waits_for_a_message) {
  SmallTier tier(6, 2);
  tier.play(100 * kMs);
  for (int round = 0; round < 20; ++round) {
    for (int g = 0; g < 6; ++g) EXPECT_EQ(tier.ask(g, "c" + std::to_string(round * 6 + g)), Fate::sent);
    EXPECT_EQ(tier.ask(round % 6), Fate::sent);
    tier.play(400 * kMs);
  }
}

TEST(shedding_tier, excess_demand_gets_its_quota_and_is_refused_at_once) {
  SmallTier tier(6, 2);
  tier.play(100 * kMs);
  tier.press(50, 10'000 * kMs, 0, 6);  // five times its rate
  const int before = tier.all_sent();
  int waits = 0, refused = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto fate = tier.ask(i % 6);
    waits += fate == Fate::waits;
    refused += fate == Fate::refused;
    tier.play(20 * kMs);
  }
  EXPECT_LE(waits, 10);
  EXPECT_GT(refused, 500);
  EXPECT_NEAR(tier.all_sent() - before, 10 * 20, 50);
}

TEST(shedding_tier, a_gatekeeper_applies_a_notice_about_a_customer_new_to_it) {
  SmallTier tier(6, 2);
  tier.play(100 * kMs);
  tier.press(80, 8'000 * kMs, 0, 5);
  int sent = 0, waits = 0;
  for (int i = 0; i < 100; ++i) {
    const auto fate = tier.ask(5);
    sent += fate == Fate::sent;
    waits += fate == Fate::waits;
    tier.play(5 * kMs);
  }
  EXPECT_EQ(waits, 0);
  EXPECT_LT(sent, 40);
  EXPECT_EQ(tier.ask(5, "another"), Fate::sent);
}

TEST(shedding_tier, a_lost_notice_is_repeated_after_a_report) {
  SmallTier tier(3, 1);
  tier.play(100 * kMs);
  // The third receives only messages without notices: a header of 3 bytes and a checksum.
  constexpr std::size_t kEmptyMessage = 3 + ledger::kChecksumBytes;
  tier.lose = [](int from, int to, const std::string& bytes) {
    return from == 3 && to == 2 && bytes.size() > kEmptyMessage;
  };
  tier.press(80, 12'000 * kMs, 0, 2);
  ASSERT_EQ(tier.ask(2), Fate::sent);
  tier.lose = nullptr;
  tier.press(80, 1'500 * kMs, 0, 2);  // its report, and the answer
  int refused = 0;
  for (int i = 0; i < 60; ++i) refused += tier.ask(2) == Fate::refused;
  EXPECT_GT(refused, 30);
}

TEST(shedding_tier, a_notice_of_a_member_that_leads_nothing_is_ignored) {
  SmallTier tier(4, 1);
  tier.play(100 * kMs);
  ledger::Transport forger({5, 1, 9, 256, 100, 5, true, false, 1, 1}, Time(tier.now));
  forger.notify(0, {0, ledger::hash_of("someone"), 1});
  std::string bytes;
  forger.send_due(Time(tier.now), [&](int, std::string message) { bytes = std::move(message); });
  ASSERT_FALSE(bytes.empty());
  tier.feed(0, {PeerMessage{1, bytes}});
  for (int i = 0; i < 10; ++i) EXPECT_EQ(tier.ask(0), Fate::sent);
  tier.feed(0, {PeerMessage{4, bytes}});  // the same from the dedicated leader
  int refused = 0;
  for (int i = 0; i < 10; ++i) refused += tier.ask(0) == Fate::refused;
  EXPECT_GE(refused, 8);
}

TEST(shedding_tier, a_leader_restart_costs_a_burst_at_most) {
  SmallTier tier(6, 1);
  tier.play(100 * kMs);
  tier.press(50, 10'000 * kMs, 0, 6);
  tier.restart(6);
  const int before = tier.all_sent();
  tier.press(50, 10'000 * kMs, 0, 6);
  EXPECT_LE(tier.all_sent() - before,
            10 * 10 + 40 + 50);  // the refill, a burst, and one second of the whole demand
  EXPECT_GE(tier.all_sent() - before, 10 * 10 - 20);
}

// Gatekeepers that have a share of a failed leader turn to its replica, which adopts that share: no second
// burst is granted, and the share does not stay as it was.
TEST(shedding_tier, a_leader_failure_costs_no_second_burst) {
  SmallTier tier(3, 2);
  tier.play(100 * kMs);
  tier.press(50, 10'000 * kMs, 0, 3);
  const int failed = tier.keeper("someone");
  tier.lose = [failed](int from, int to, const std::string&) { return from == failed || to == failed; };
  int before = tier.all_sent();
  tier.press(50, 6'000 * kMs, 0, 3);  // the failure is detected, and the replica leads
  EXPECT_LE(tier.all_sent() - before, 10 * 6 * 1.5);
  for (int round = 0; round < 5; ++round) {
    before = tier.all_sent();
    tier.press(30.0 + 15 * round, 5'000 * kMs, 0, 3);  // the demand rises
    EXPECT_LE(tier.all_sent() - before, 10 * 5 * 1.5) << round;
    EXPECT_GE(tier.all_sent() - before, 10 * 5 * 0.5) << round;
  }
}

TEST(shedding_tier, a_gatekeeper_isolated_from_all_leaders_spends_its_even_share) {
  SmallTier tier(4, 2);
  tier.play(100 * kMs);
  tier.press(8, 4'000 * kMs, 0, 4);
  tier.lose = [](int from, int to, const std::string&) { return from == 0 || to == 0; };
  tier.press(20, 4'000 * kMs, 0, 1);  // until the isolation is detected
  const int before = tier.sent[0];
  tier.press(20, 20'000 * kMs, 0, 1);
  EXPECT_LE(tier.sent[0] - before, 10 * 20 / 4 + 15);
  EXPECT_GE(tier.sent[0] - before, 10 * 20 / 4 - 15);
}

TEST(shedding_tier, an_idle_gatekeeper_hears_all_leaders) {
  SmallTier tier(4, 2);
  tier.play(100 * kMs);
  auto before = tier.told;
  tier.play(10'000 * kMs);
  for (const int leader : {4, 5}) EXPECT_NEAR(tier.told[leader] - before[leader], 4 * 10, 10);
  for (int g = 0; g < 4; ++g) EXPECT_EQ(tier.told[g], before[g]);
  EXPECT_EQ(tier.ask(0), Fate::sent);
}

TEST(shedding_tier, dedicated_leaders_together_send_no_more_than_is_received) {
  for (const int gatekeepers : {3, 30, 470}) {
    for (const int leaders : {1, 3, 5}) {
      const int members = gatekeepers + leaders;
      const double all = leaders * ledger::message_rate(40, members - 1, members, leaders);
      EXPECT_LE(all / gatekeepers, 40);
      EXPECT_GE(all / gatekeepers, 30);
    }
  }
}

// ---- a fleet ----

scale::Scenario fleet(double factor) {
  scale::Scenario s;
  s.name = "throttled";
  s.gatekeepers = static_cast<int>(16 * factor);
  s.workers = s.gatekeepers * 2;
  s.customers = s.gatekeepers * 40;
  s.requests_per_s = s.gatekeepers * 150;
  s.warm_s = 6;
  s.seconds = 6;
  s.work_ms = 5;
  s.control_machines = 3;
  return s;
}
std::map<std::string, double> measures(const scale::Scenario& s) {
  std::map<std::string, double> out;
  for (const auto& row : scale::play_hollow(s, 4)) out[row.measure] = row.value;
  return out;
}

TEST(Hollow, NoRequestWaitsForMessagesAndQuotasHoldWithDedicatedLeaders) {
  const auto one = measures(fleet(1)), two = measures(fleet(2));
  for (const auto& all : {one, two}) {
    EXPECT_LT(all.at("held_p99"), 1.5);
    EXPECT_LT(all.at("beyond"), 3);
    EXPECT_LT(all.at("refused_with_half"), 12);
    EXPECT_LT(all.at("bytes_in") + all.at("bytes_out"), 10'000);
  }
  EXPECT_LT(two.at("bytes_in") / one.at("bytes_in"),
            2.2);  // twice as many customers exceed their quotas
  EXPECT_LT(two.at("bytes_out") / one.at("bytes_out"), 1.2);
}

}  // namespace
}  // namespace cranemux
