// Throttling by lot, where members are set aside to keep ledgers: its parts (RapidCheck), the share against
// demand that changes, and the module with messages lost, forged and late.
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

// ---- parts ----

// A store and who asks of it: words take effect after `late`, reports reach the keeper as late.
struct Loop {
  double rate, burst;
  Time late = milliseconds(700);
  LoadShedder throttle = {};
  double level = burst, told = 1, let = 0, words = 0;
  Time now{seconds(100)};
  std::deque<std::pair<Time, double>> shares = {};            // on their way to the gatekeepers
  std::deque<std::tuple<Time, double, double>> reports = {};  // asked for and let, to the keeper

  void play(double demand, Time span) {
    constexpr Time kStep = milliseconds(50);
    for (const auto end = now + span; now < end; now += kStep) {
      const double asked = demand * 0.05, goes = asked * told;
      let += goes;
      reports.emplace_back(now + late, asked, goes);
      for (; !reports.empty() && std::get<0>(reports.front()) <= now; reports.pop_front()) {
        throttle.record_demand(std::get<1>(reports.front()), now);
        level -= std::get<2>(reports.front());
      }
      level = std::clamp(level + rate * 0.05, -burst / 4, burst);
      if (const auto share = throttle.update(level, rate, burst, now)) {
        ++words;
        shares.emplace_back(now + late, *share / 100.0);
      }
      for (; !shares.empty() && shares.front().first <= now; shares.pop_front()) told = shares.front().second;
    }
  }
};

RC_GTEST_PROP(throttle, lets_through_what_fills_whatever_is_asked_for, ()) {
  const double rate = std::exp(*rc::gen::inRange(0, 90) / 10.0), times = *rc::gen::inRange(15, 80) / 10.0;
  Loop loop{rate, 2 * rate};
  loop.play(rate * times, seconds(20));
  const double before = loop.let;
  loop.words = 0;
  loop.play(rate * times, seconds(40));
  const double part = (loop.let - before) / (40 * rate);
  RC_ASSERT(part > 0.85);
  RC_ASSERT(part < 1.12);
  RC_ASSERT(loop.words <= 20);  // what stays as it is is hardly said again
  // Once less is asked for than fills, nobody is refused for long.
  loop.play(rate / 2, seconds(75));
  RC_ASSERT(loop.told == 1);
  RC_ASSERT(!loop.throttle.active());
}

RC_GTEST_PROP(throttle, says_nothing_of_who_stays_within_its_quota, ()) {
  const double rate = std::exp(*rc::gen::inRange(0, 90) / 10.0);
  Loop loop{rate, 2 * rate};
  loop.play(rate * *rc::gen::inRange(1, 95) / 100, seconds(60));
  RC_ASSERT(loop.words == 0);
}

TEST(throttle, goes_by_the_store_where_demand_changes) {
  Loop loop{100, 200};
  loop.play(30, seconds(10));
  EXPECT_EQ(loop.told, 1);
  const double before = loop.let;
  loop.play(450, seconds(12));
  EXPECT_LT(loop.told, 0.35);
  EXPECT_LT(loop.let - before, 1.6 * (200 + 12 * 100));  // the store, what fills, and what came meanwhile
}

TEST(throttle, says_again_what_holds_before_it_is_forgotten) {
  Loop loop{100, 200};
  loop.play(300, seconds(30));
  loop.words = 0;
  loop.play(300, ShedTable::kEntryLifetime);
  EXPECT_GE(loop.words, 2);
}

// Each gatekeeper hears each word once and in order, however they are cut into messages; who is further
// behind than is kept misses the oldest, and that is counted.
RC_GTEST_PROP(throttle_log, is_heard_in_order_and_what_is_missed_is_counted, ()) {
  ShedNoticeLog log(2);
  std::uint32_t said = 0;
  std::vector<std::uint32_t> heard[2];
  const auto ride = [&](int to, std::size_t room) {
    log.piggyback(to, room, 6, [&](const ledger::ShedNotice& w) { heard[to].push_back(w.customer); });
  };
  for (int step = 0; step < 30; ++step) {
    for (int n = *rc::gen::inRange(0, 900); n > 0; --n) log.add({0, ++said, 50});
    ride(0, 6 * ShedNoticeLog::kCapacity);
    ride(1, static_cast<std::size_t>(*rc::gen::inRange(0, 2000)));
  }
  while (log.has_unsent(1)) ride(1, 250);
  RC_ASSERT(heard[0].size() == said);
  for (const auto& one : heard) RC_ASSERT(std::is_sorted(one.begin(), one.end()));
  RC_ASSERT(heard[1].size() + log.missed() == said);
  RC_ASSERT(!log.has_unsent(0));
}

TEST(throttle_list, forgets_in_time_and_is_bounded) {
  ShedTable list;
  list.update(1, 40, seconds(10));
  EXPECT_EQ(list.share(1, seconds(11)), 40);
  EXPECT_EQ(list.share(2, seconds(11)), std::nullopt);
  EXPECT_EQ(list.share(1, seconds(10) + ShedTable::kEntryLifetime), std::nullopt);
  list.update(1, 100, seconds(12));
  EXPECT_EQ(list.size(), 0U);
  for (std::uint32_t c = 0; c < ShedTable::kMaxCustomers + 10; ++c) list.update(c, 50, seconds(20));
  EXPECT_EQ(list.size(), ShedTable::kMaxCustomers);
  EXPECT_EQ(list.dropped(), 10U);
  list.update(5, 60, seconds(21));  // one that is there is still told
  EXPECT_EQ(list.share(5, seconds(22)), 60);
  for (std::size_t i = 0; i < 10 * ledger::kSweepCalls; ++i) list.erase_expired(seconds(200));
  EXPECT_EQ(list.size(), 0U);
}

RC_GTEST_PROP(sweep, goes_through_all_in_so_many_calls_and_no_call_through_all, ()) {
  const auto size = *rc::gen::inRange<std::uint32_t>(0, 3000);
  std::map<std::uint32_t, bool> map;
  for (std::uint32_t i = 0; i < size; ++i) map[i * 7] = *rc::gen::arbitrary<bool>();
  std::uint32_t from = 0;
  std::map<std::uint32_t, int> looked;
  bool shrinks = false;
  for (const auto& item : map) shrinks = shrinks || item.second;
  // Each call's part is of what is left then: where nothing goes, so many calls see all.
  for (std::size_t call = 0; call < (shrinks ? 5 : 1) * ledger::kSweepCalls; ++call) {
    std::size_t looks = 0;
    ledger::erase_some(map, from, [&](const auto& item) {
      ++looks;
      ++looked[item.first];
      return item.second;
    });
    RC_ASSERT(looks <= std::max<std::size_t>(ledger::kSweepWhole, size / ledger::kSweepCalls + 1));
  }
  RC_ASSERT(looked.size() == size);
  for (const auto& item : map) RC_ASSERT(!item.second);
}

// The split looks at who lacks something only: the same as a walk through all claims, with the same draws.
RC_GTEST_PROP(split, shares_out_as_if_it_walked_through_all_claims, ()) {
  ledger::Ledger ledger{1, 0, 10, 40, -4};
  ledger.tokens = 40;
  std::mt19937_64 random(7);
  Time now = seconds(100);
  for (int step = 0; step < 40; ++step) {
    const int from = *rc::gen::inRange(0, 12);
    ledger::Demand ask;
    ask.used = ledger.claims.contains(from) ? ledger.claims[from].limit : 0;
    ask.wanted = *rc::gen::inRange(0, 6);
    ask.weight = 1;
    ask.hold = milliseconds(*rc::gen::inRange(0, 300));
    now += milliseconds(*rc::gen::inRange(0, 100));
    ledger.fill(now);
    ledger.merge(from, ask, now);
    std::set<int> lack;  // by a walk
    const int asker = *rc::gen::arbitrary<bool>() ? from : -1;
    for (const auto& [gatekeeper, claim] : ledger.claims) {
      if (claim.shortfall() > 0 && (gatekeeper == asker || now <= claim.held_until)) lack.insert(gatekeeper);
    }
    auto draws = random;
    const auto given = ledger::split(ledger, {4, 0, asker}, now, random);
    draws.discard(lack.size());
    RC_ASSERT(draws == random);  // a draw for each that lacks, and no other
    for (const int g : given) RC_ASSERT(lack.contains(g));
  }
}

// ---- the module ----

using testing::SmallTier;
using Fate = SmallTier::Fate;

TEST(throttled_tier, no_request_within_its_quota_waits_for_a_message) {
  SmallTier tier(6, 2);
  tier.play(100 * kMs);
  for (int round = 0; round < 20; ++round) {
    for (int g = 0; g < 6; ++g) EXPECT_EQ(tier.ask(g, "c" + std::to_string(round * 6 + g)), Fate::sent);
    EXPECT_EQ(tier.ask(round % 6), Fate::sent);
    tier.play(400 * kMs);
  }
}

TEST(throttled_tier, who_asks_for_more_gets_its_quota_and_is_refused_at_once) {
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

TEST(throttled_tier, a_gatekeeper_that_has_never_met_the_customer_goes_by_the_word) {
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

TEST(throttled_tier, a_lost_word_is_said_again_to_who_reports) {
  SmallTier tier(3, 1);
  tier.play(100 * kMs);
  // The third hears signs of life, which are a head of 3 bytes and a checksum each, and no word.
  constexpr std::size_t kSign = 3 + ledger::kChecksumBytes;
  tier.lose = [](int from, int to, const std::string& bytes) {
    return from == 3 && to == 2 && bytes.size() > kSign;
  };
  tier.press(80, 12'000 * kMs, 0, 2);
  ASSERT_EQ(tier.ask(2), Fate::sent);
  tier.lose = nullptr;
  tier.press(80, 1'500 * kMs, 0, 2);  // its report, and the answer
  int refused = 0;
  for (int i = 0; i < 60; ++i) refused += tier.ask(2) == Fate::refused;
  EXPECT_GT(refused, 30);
}

TEST(throttled_tier, a_word_of_who_keeps_nothing_counts_for_nothing) {
  SmallTier tier(4, 1);
  tier.play(100 * kMs);
  ledger::Transport forger({5, 1, 9, 256, 100, 5, true, false, 1, 1}, Time(tier.now));
  forger.notify(0, {0, ledger::hash_of("someone"), 1});
  std::string bytes;
  forger.send_due(Time(tier.now), [&](int, std::string message) { bytes = std::move(message); });
  ASSERT_FALSE(bytes.empty());
  tier.feed(0, {PeerMessage{1, bytes}});
  for (int i = 0; i < 10; ++i) EXPECT_EQ(tier.ask(0), Fate::sent);
  tier.feed(0, {PeerMessage{4, bytes}});  // the same from who is set aside
  int refused = 0;
  for (int i = 0; i < 10; ++i) refused += tier.ask(0) == Fate::refused;
  EXPECT_GE(refused, 8);
}

TEST(throttled_tier, a_keeper_that_begins_anew_costs_a_store_at_most) {
  SmallTier tier(6, 1);
  tier.play(100 * kMs);
  tier.press(50, 10'000 * kMs, 0, 6);
  tier.restart(6);
  const int before = tier.all_sent();
  tier.press(50, 10'000 * kMs, 0, 6);
  EXPECT_LE(tier.all_sent() - before, 10 * 10 + 40 + 50);  // what fills, a store, and one second of all
  EXPECT_GE(tier.all_sent() - before, 10 * 10 - 20);
}

// Whoever goes by a share of a keeper that says nothing any more turns to the next, which goes on from there:
// no second store, and no share that stays as it was.
TEST(throttled_tier, a_keeper_that_dies_costs_no_second_store) {
  SmallTier tier(3, 2);
  tier.play(100 * kMs);
  tier.press(50, 10'000 * kMs, 0, 3);
  const int dead = tier.keeper("someone");
  tier.lose = [dead](int from, int to, const std::string&) { return from == dead || to == dead; };
  int before = tier.all_sent();
  tier.press(50, 6'000 * kMs, 0, 3);  // found out, and taken over
  EXPECT_LE(tier.all_sent() - before, 10 * 6 * 1.5);
  for (int round = 0; round < 5; ++round) {
    before = tier.all_sent();
    tier.press(30.0 + 15 * round, 5'000 * kMs, 0, 3);  // asked for more and more
    EXPECT_LE(tier.all_sent() - before, 10 * 5 * 1.5) << round;
    EXPECT_GE(tier.all_sent() - before, 10 * 5 * 0.5) << round;
  }
}

TEST(throttled_tier, cut_off_from_all_keepers_it_spends_its_even_share) {
  SmallTier tier(4, 2);
  tier.play(100 * kMs);
  tier.press(8, 4'000 * kMs, 0, 4);
  tier.lose = [](int from, int to, const std::string&) { return from == 0 || to == 0; };
  tier.press(20, 4'000 * kMs, 0, 1);  // until it knows
  const int before = tier.sent[0];
  tier.press(20, 20'000 * kMs, 0, 1);
  EXPECT_LE(tier.sent[0] - before, 10 * 20 / 4 + 15);
  EXPECT_GE(tier.sent[0] - before, 10 * 20 / 4 - 15);
}

TEST(throttled_tier, a_quiet_gatekeeper_hears_from_all_keepers) {
  SmallTier tier(4, 2);
  tier.play(100 * kMs);
  auto before = tier.told;
  tier.play(10'000 * kMs);
  for (const int keeper : {4, 5}) EXPECT_NEAR(tier.told[keeper] - before[keeper], 4 * 10, 10);
  for (int g = 0; g < 4; ++g) EXPECT_EQ(tier.told[g], before[g]);
  EXPECT_EQ(tier.ask(0), Fate::sent);
}

TEST(throttled_tier, all_members_set_aside_together_send_no_more_than_is_taken_in) {
  for (const int gatekeepers : {3, 30, 470}) {
    for (const int aside : {1, 3, 5}) {
      const int members = gatekeepers + aside;
      const double all = aside * ledger::message_rate(40, members - 1, members, aside);
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
std::map<std::string, double> figures(const scale::Scenario& s) {
  std::map<std::string, double> out;
  for (const auto& row : scale::play_hollow(s, 4)) out[row.measure] = row.value;
  return out;
}

TEST(Hollow, RequestsWaitForNoMailAndQuotasHoldWhereMembersAreSetAside) {
  const auto one = figures(fleet(1)), two = figures(fleet(2));
  for (const auto& all : {one, two}) {
    EXPECT_LT(all.at("held_p99"), 1.5);
    EXPECT_LT(all.at("beyond"), 3);
    EXPECT_LT(all.at("refused_with_half"), 12);
    EXPECT_LT(all.at("bytes_in") + all.at("bytes_out"), 10'000);
  }
  EXPECT_LT(two.at("bytes_in") / one.at("bytes_in"),
            2.2);  // by customers that press, of which there are twice
  EXPECT_LT(two.at("bytes_out") / one.at("bytes_out"), 1.2);
}

}  // namespace
}  // namespace cranemux
