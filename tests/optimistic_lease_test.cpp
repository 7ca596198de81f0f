// Optimistic leases, the due queue and dedicated quota leaders: each on its own, the decision module with
// messages lost, and a small fleet of hollow gatekeepers.
#include "ledger/optimistic_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "cranemux/decision_module.h"
#include "ledger/due_queue.h"
#include "ledger/message_budget.h"
#include "ledger/replica_placement.h"
#include "ledger/wire_encoding.h"
#include "scale/hollow.h"

namespace cranemux {
namespace {

using ledger::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Nanos kMs = 1'000'000;

TEST(LowWatermark, HoldsLongerEachTimeTheBucketRunsLow) {
  ledger::LowWatermark low_watermark;
  EXPECT_FALSE(low_watermark.update(50, 100, seconds(100)));
  EXPECT_FALSE(low_watermark.below(seconds(100)));
  EXPECT_TRUE(low_watermark.update(39, 100, seconds(100)));   // crossed: to be notified
  EXPECT_FALSE(low_watermark.update(10, 100, seconds(101)));  // notified before; the hold time starts again
  EXPECT_TRUE(low_watermark.below(seconds(102)));
  EXPECT_FALSE(low_watermark.below(seconds(104)));
  EXPECT_TRUE(low_watermark.update(39, 100, seconds(105)));
  EXPECT_TRUE(low_watermark.below(seconds(108)));  // the hold time is four seconds now
  EXPECT_FALSE(low_watermark.below(seconds(110)));
  EXPECT_TRUE(low_watermark.update(39, 100, seconds(1000)));
  EXPECT_FALSE(low_watermark.below(seconds(1003)));  // a long time later it is two seconds again
}

TEST(OptimisticLease, CoversWhileItIsValidAndHalfOfTheBucketIsLeft) {
  ledger::OptimisticLease lease;
  EXPECT_FALSE(lease.covers(1, 10, 100, 100, true, seconds(1)));  // no answer yet
  lease.update(true, 10, seconds(1));
  EXPECT_TRUE(lease.covers(1, 10, 51, 100, true, seconds(2)));
  EXPECT_FALSE(lease.covers(2, 10, 51, 100, true, seconds(2)));
  EXPECT_TRUE(lease.covers(2, 0, 100, 100, true, seconds(2)));
  EXPECT_FALSE(
      lease.covers(2, 1, 100, 100, false, seconds(2)));  // the leader is silent: only the share counts
  EXPECT_TRUE(lease.covers(2, 2, 100, 100, false, seconds(2)));
  EXPECT_FALSE(lease.covers(1, 10, 100, 100, true, seconds(1) + ledger::OptimisticLease::kValidity));
  lease.update(false, 10, seconds(2));
  EXPECT_FALSE(lease.covers(1, 10, 100, 100, true, seconds(3)));
}

TEST(OptimisticLease, ReportsAreBatchedUntilARenewalIsNeeded) {
  ledger::OptimisticLease lease;
  lease.update(true, 10, seconds(1));
  lease.spend(9, seconds(2));
  EXPECT_EQ(lease.due(), seconds(3));
  lease.spend(5, milliseconds(2500));
  EXPECT_EQ(lease.due(), seconds(3));
  EXPECT_FALSE(lease.needs_renewal(5, milliseconds(2500)));
  lease.spend(4, milliseconds(2600));
  EXPECT_EQ(lease.due(), milliseconds(2600));
  EXPECT_TRUE(lease.needs_renewal(4, milliseconds(2600)));
  lease.reported();
  lease.update(true, 10, seconds(3));
  lease.spend(9, seconds(4));
  EXPECT_EQ(lease.due(), seconds(5));
}

TEST(DueQueue, ProcessesWhatIsDueAndNothingElse) {
  EXPECT_TRUE(rc::check("the same as a scan of a list", [] {
    ledger::DueQueue queue;
    std::map<std::uint32_t, Time> reference;
    Time now{0};
    for (int step = 0; step < 40; ++step) {
      const auto customer = *rc::gen::inRange<std::uint32_t>(0, 6);
      const Time when = now + milliseconds(*rc::gen::inRange(0, 50));
      queue.schedule(customer, when);
      const auto [at, fresh] = reference.try_emplace(customer, when);
      at->second = std::min(at->second, when);
      now += milliseconds(*rc::gen::inRange(0, 20));
      const bool again = *rc::gen::arbitrary<bool>();
      std::vector<std::uint32_t> processed, expected;
      queue.process_due(now, [&](std::uint32_t one) {
        processed.push_back(one);
        return again ? std::optional<Time>(now + milliseconds(30)) : std::nullopt;
      });
      for (auto& [one, due] : reference) {
        if (due <= now) expected.push_back(one);
      }
      for (const auto one : expected)
        again ? void(reference[one] = now + milliseconds(30)) : void(reference.erase(one));
      RC_ASSERT(processed == expected);
      for (std::uint32_t one = 0; one < 6; ++one) RC_ASSERT(queue.contains(one) == reference.contains(one));
      const auto next = std::min_element(reference.begin(), reference.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
      RC_ASSERT(queue.next_due() ==
                (next == reference.end() ? std::nullopt : std::optional<Time>(next->second)));
    }
  }));
}

TEST(DedicatedLeaders, LeadAllQuotasAndTheOtherMembersNone) {
  std::map<int, int> led;
  for (std::uint32_t customer = 0; customer < 1000; ++customer) {
    std::set<int> ranks;
    for (int rank = 0; rank < ledger::kLeaderReplicas; ++rank) {
      const int leader = ledger::leader_at(customer * 2654435761U, 0, rank, 3, 7, 475, 5);
      EXPECT_GE(leader, 470);
      EXPECT_LT(leader, 475);
      ranks.insert(leader);
      if (rank == 0) ++led[leader];
    }
    EXPECT_EQ(ranks.size(), 3U);                                     // each replica is another member
    EXPECT_LT(ledger::leader_at(customer, 0, 0, 3, 7, 475, 0), 10);  // of its set, without dedicated leaders
  }
  for (const auto& [leader, count] : led) EXPECT_NEAR(count, 200, 60) << leader;
  EXPECT_LE(ledger::message_rate(40, 3, 475, 5),
            40);  // no more than one member receives, however many there are
  EXPECT_GT(ledger::message_rate(40, 474, 475, 5), 1000);
}

// Two gatekeepers and the messages between them.
class Pair {
 public:
  Pair() {
    for (int i = 0; i < 2; ++i) {
      Settings s;
      s.seed = 7 + static_cast<std::uint64_t>(i);
      s.gateways = 2;
      s.index = i;
      s.zone = "here";
      s.classes = {{"look", 1500 * kMs, 5000 * kMs, 0, 1, Repeat::safe, RepeatScope::all, 0, false}};
      s.plans = {{"rate", 10, 40, 0, 0, 0, 0, 1, 0, 1}};
      s.peers = true;
      s.peer_messages_per_s = 60;
      s.max_attempts = 1;
      modules.emplace_back(s);
      feed(i, {ServerList{ListScope::stored, {{"a", "here", 0, ServerState::running, 1, 0}}}});
    }
    // A customer that the second gatekeeper leads.
    for (customer = "0"; leader() != 1;) customer += "0";
  }
  int leader() const { return ledger::leader_at(ledger::hash_of(customer), 0, 0, 0, 2, 2, 0); }
  // Sends a request to gatekeeper `at`; returns how many attempts it sends at once.
  std::size_t request(int at) {
    const auto before = sent[at];
    Request r;
    r.id = std::to_string(++ids);
    r.klass = "look";
    r.plan = "rate";
    r.customer = customer;
    r.budget = 5000 * kMs;
    r.spread = 2;
    feed(at, {r});
    return sent[at] - before;
  }
  void feed(int at, const std::vector<Event>& events) {
    std::vector<Action> actions;
    modules[static_cast<std::size_t>(at)].step(now, events, actions);
    for (const auto& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers[at] = timer->at;
      if (const auto* message = std::get_if<SendToPeer>(&action)) {
        ++messages_sent[at];
        in_flight.push_back({message->to, message->bytes});
      }
      if (const auto* send = std::get_if<Send>(&action)) {
        ++sent[at];
        Outcome o;
        o.request = send->request;
        o.finished = true;
        answers.push_back({at, o});
      }
    }
  }
  void play(Nanos time, bool lost = false) {
    for (const auto end = now + time; now < end; now += 5 * kMs) {
      for (auto arriving = std::exchange(in_flight, {}); const auto& [to, bytes] : arriving) {
        if (!lost) feed(to, {PeerMessage{1 - to, bytes}});
      }
      for (auto all = std::exchange(answers, {}); const auto& [at, o] : all) feed(at, {o});
      for (const int at : {0, 1}) {
        if (timers[at] <= now) feed(at, {Timer{1}});
      }
    }
  }
  std::vector<DecisionModule> modules;
  std::string customer;
  Nanos now = 100'000 * kMs;
  int ids = 0;
  std::map<int, Nanos> timers;
  std::map<int, std::size_t> sent, messages_sent;
  std::deque<std::pair<int, std::string>> in_flight;
  std::deque<std::pair<int, Outcome>> answers;
};

TEST(OptimisticLease, OneAnswerServesManyRequestsThatAreReportedTogether) {
  Pair pair;
  pair.play(100 * kMs);
  pair.request(0);
  pair.play(500 * kMs);
  ASSERT_EQ(pair.sent[0], 1U);
  pair.play(1500 * kMs);
  const auto messages_before = pair.messages_sent[0];
  for (int i = 0; i < 5; ++i) EXPECT_EQ(pair.request(0), 1U) << "the request waited for a message";
  EXPECT_EQ(pair.messages_sent[0], messages_before);
  pair.play(1500 * kMs);
  EXPECT_EQ(pair.messages_sent[0], messages_before + 1);  // one report for all five
  // The leader has subtracted the five from the 40 units and the refill.
  const auto level = pair.modules[1].allowance(pair.now, pair.customer);
  EXPECT_LE(level ? level->tokens : 40, 40);
}

TEST(OptimisticLease, EndsWhenTheBucketRunsLow) {
  Pair pair;
  pair.play(100 * kMs);
  pair.request(0);
  pair.play(2000 * kMs);
  ASSERT_EQ(pair.request(0), 1U);
  for (int i = 0; i < 38; ++i) pair.request(1);  // the leader's own clients use up the bucket
  pair.play(50 * kMs);
  EXPECT_EQ(pair.request(0), 0U);  // a lease is requested first again
  // The quota holds over both: together they send what was in the bucket and the refill.
  const auto begun = pair.now;
  for (int i = 0; i < 400; ++i) {
    pair.request(i % 2);
    pair.play(20 * kMs);
  }
  const double filled = 10 * static_cast<double>(pair.now - begun) / 1e9;
  EXPECT_LE(static_cast<double>(pair.sent[0] + pair.sent[1]), 1 + 40 + 25 + filled + 4);
}

TEST(OptimisticLease, WithoutMessagesSpendingIsBoundedByTheOwnCopyOfTheBucket) {
  Pair pair;
  pair.play(100 * kMs);
  pair.request(0);
  pair.play(2000 * kMs);
  const auto before = pair.sent[0];
  for (int i = 0; i < 200; ++i) pair.request(0);
  // At once, with every message lost: no more than half of the bucket, the even share, and the grants.
  EXPECT_LE(pair.sent[0] - before, 42U);
  pair.play(300 * kMs, true);
  EXPECT_LE(pair.sent[0] - before, 42U + 3U);
}

scale::Scenario small_fleet(int gatekeepers, int dedicated_leaders) {
  scale::Scenario s;
  s.name = "small";
  s.gatekeepers = gatekeepers;
  s.workers = gatekeepers * 2;
  s.customers = gatekeepers * 20;
  s.requests_per_s = gatekeepers * 60;
  s.warm_s = 4;
  s.seconds = 4;
  s.work_ms = 5;
  s.control_machines = dedicated_leaders;
  return s;
}

std::map<std::string, double> measures(const scale::Scenario& s, int threads) {
  std::map<std::string, double> out;
  for (const auto& row : scale::play_hollow(s, threads)) out[row.measure] = row.value;
  for (auto at = out.begin(); at != out.end();)
    at = at->first.find("cpu") != std::string::npos || at->first == "memory" ? out.erase(at) : std::next(at);
  return out;
}

TEST(Hollow, PlaysTheSameWhateverTheNumberOfThreads) {
  auto s = small_fleet(12, 2);
  s.seconds = 2;
  s.faults.push_back({scale::FaultKind::restart, 4.5, 0.5, 3, 0, 0});
  EXPECT_EQ(measures(s, 1), measures(s, 3));
}

// Twice the gatekeepers, customers and requests: the messages of each gatekeeper stay the same.
TEST(Hollow, MessagesOfAGatekeeperDoNotGrowWithTheFleetWithDedicatedLeaders) {
  const auto one = measures(small_fleet(12, 2), 4), two = measures(small_fleet(24, 2), 4);
  EXPECT_LE(two.at("mail_out") / one.at("mail_out"), 1.2);
  EXPECT_LT(one.at("mail_drowned"), 1);
  EXPECT_LT(two.at("mail_drowned"), 1);
  const auto without = measures(small_fleet(24, 0), 4);
  EXPECT_GT(without.at("mail_drowned"), 10)
      << "the fleet without dedicated leaders is not overloaded: nothing to compare";
  EXPECT_LT(two.at("refused_with_half"), without.at("refused_with_half") / 2);
}

}  // namespace
}  // namespace cranemux
