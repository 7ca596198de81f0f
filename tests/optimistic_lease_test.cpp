// Standing credit, the agenda of what is to be looked at, and members set aside to keep ledgers: their own
// parts, the module with messages lost, and a small fleet of hollow gatekeepers.
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

TEST(Standing, AStoreThatRunsLowIsTightForLongerEachTime) {
  ledger::LowWatermark slack;
  EXPECT_FALSE(slack.update(50, 100, seconds(100)));
  EXPECT_FALSE(slack.below(seconds(100)));
  EXPECT_TRUE(slack.update(39, 100, seconds(100)));   // news
  EXPECT_FALSE(slack.update(10, 100, seconds(101)));  // it was said, and lasts from here
  EXPECT_TRUE(slack.below(seconds(102)));
  EXPECT_FALSE(slack.below(seconds(104)));
  EXPECT_TRUE(slack.update(39, 100, seconds(105)));
  EXPECT_TRUE(slack.below(seconds(108)));  // four seconds now
  EXPECT_FALSE(slack.below(seconds(110)));
  EXPECT_TRUE(slack.update(39, 100, seconds(1000)));
  EXPECT_FALSE(slack.below(seconds(1003)));  // long ago: two again
}

TEST(Standing, CoversWhileTheWordCountsAndHalfIsLeft) {
  ledger::OptimisticLease standing;
  EXPECT_FALSE(standing.covers(1, 10, 100, 100, true, seconds(1)));  // never told
  standing.update(true, 10, seconds(1));
  EXPECT_TRUE(standing.covers(1, 10, 51, 100, true, seconds(2)));
  EXPECT_FALSE(standing.covers(2, 10, 51, 100, true, seconds(2)));
  EXPECT_TRUE(standing.covers(2, 0, 100, 100, true, seconds(2)));
  EXPECT_FALSE(standing.covers(2, 1, 100, 100, false, seconds(2)));  // a silent keeper's: the share is all
  EXPECT_TRUE(standing.covers(2, 2, 100, 100, false, seconds(2)));
  EXPECT_FALSE(standing.covers(1, 10, 100, 100, true, seconds(1) + ledger::OptimisticLease::kValidity));
  standing.update(false, 10, seconds(2));
  EXPECT_FALSE(standing.covers(1, 10, 100, 100, true, seconds(3)));
}

TEST(Standing, ReportsAreGatheredUntilWordIsWanted) {
  ledger::OptimisticLease standing;
  standing.update(true, 10, seconds(1));
  standing.spend(9, seconds(2));
  EXPECT_EQ(standing.due(), seconds(3));
  standing.spend(5, milliseconds(2500));
  EXPECT_EQ(standing.due(), seconds(3));
  EXPECT_FALSE(standing.needs_renewal(5, milliseconds(2500)));
  standing.spend(4, milliseconds(2600));
  EXPECT_EQ(standing.due(), milliseconds(2600));
  EXPECT_TRUE(standing.needs_renewal(4, milliseconds(2600)));
  standing.reported();
  standing.update(true, 10, seconds(3));
  standing.spend(9, seconds(4));
  EXPECT_EQ(standing.due(), seconds(5));
}

TEST(DueQueue, LooksAtWhatIsDueAndNothingElse) {
  EXPECT_TRUE(rc::check("as a list that is walked whole", [] {
    ledger::DueQueue agenda;
    std::map<std::uint32_t, Time> whole;
    Time now{0};
    for (int step = 0; step < 40; ++step) {
      const auto customer = *rc::gen::inRange<std::uint32_t>(0, 6);
      const Time when = now + milliseconds(*rc::gen::inRange(0, 50));
      agenda.schedule(customer, when);
      const auto [at, fresh] = whole.try_emplace(customer, when);
      at->second = std::min(at->second, when);
      now += milliseconds(*rc::gen::inRange(0, 20));
      const bool again = *rc::gen::arbitrary<bool>();
      std::vector<std::uint32_t> looked, wanted;
      agenda.process_due(now, [&](std::uint32_t one) {
        looked.push_back(one);
        return again ? std::optional<Time>(now + milliseconds(30)) : std::nullopt;
      });
      for (auto& [one, due] : whole) {
        if (due <= now) wanted.push_back(one);
      }
      for (const auto one : wanted)
        again ? void(whole[one] = now + milliseconds(30)) : void(whole.erase(one));
      RC_ASSERT(looked == wanted);
      for (std::uint32_t one = 0; one < 6; ++one) RC_ASSERT(agenda.contains(one) == whole.contains(one));
      const auto next = std::min_element(whole.begin(), whole.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
      RC_ASSERT(agenda.next_due() ==
                (next == whole.end() ? std::nullopt : std::optional<Time>(next->second)));
    }
  }));
}

TEST(Keeping, MembersSetAsideKeepAllAndTheOthersNothing) {
  std::map<int, int> kept;
  for (std::uint32_t customer = 0; customer < 1000; ++customer) {
    std::set<int> ranks;
    for (int rank = 0; rank < ledger::kLeaderReplicas; ++rank) {
      const int keeper = ledger::leader_at(customer * 2654435761U, 0, rank, 3, 7, 475, 5);
      EXPECT_GE(keeper, 470);
      EXPECT_LT(keeper, 475);
      ranks.insert(keeper);
      if (rank == 0) ++kept[keeper];
    }
    EXPECT_EQ(ranks.size(), 3U);                                     // who stands in is another
    EXPECT_LT(ledger::leader_at(customer, 0, 0, 3, 7, 475, 0), 10);  // of its set, where none are set aside
  }
  for (const auto& [keeper, count] : kept) EXPECT_NEAR(count, 200, 60) << keeper;
  EXPECT_LE(ledger::message_rate(40, 3, 475, 5), 40);  // no more than one takes in, however many there are
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
    // One that the second keeps.
    for (customer = "0"; keeper() != 1;) customer += "0";
  }
  int keeper() const { return ledger::leader_at(ledger::hash_of(customer), 0, 0, 0, 2, 2, 0); }
  // Asks at that one; returns how many it has sent on at once.
  std::size_t ask(int at) {
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
      if (const auto* tell = std::get_if<SendToPeer>(&action)) {
        ++told[at];
        mail.push_back({tell->to, tell->bytes});
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
      for (auto mails = std::exchange(mail, {}); const auto& [to, bytes] : mails) {
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
  std::map<int, std::size_t> sent, told;
  std::deque<std::pair<int, std::string>> mail;
  std::deque<std::pair<int, Outcome>> answers;
};

TEST(Standing, OneWordOfTheKeeperServesManyRequestsThatAreReportedTogether) {
  Pair pair;
  pair.play(100 * kMs);
  pair.ask(0);
  pair.play(500 * kMs);
  ASSERT_EQ(pair.sent[0], 1U);
  pair.play(1500 * kMs);
  const auto told = pair.told[0];
  for (int i = 0; i < 5; ++i) EXPECT_EQ(pair.ask(0), 1U) << "it waited for a message";
  EXPECT_EQ(pair.told[0], told);
  pair.play(1500 * kMs);
  EXPECT_EQ(pair.told[0], told + 1);  // all five in one
  // The keeper knows: of 40 units and what has filled since, so much less the five.
  const auto level = pair.modules[1].allowance(pair.now, pair.customer);
  EXPECT_LE(level ? level->tokens : 40, 40);
}

TEST(Standing, WhoeverSpendsFirstIsToldWhenTheStoreRunsLow) {
  Pair pair;
  pair.play(100 * kMs);
  pair.ask(0);
  pair.play(2000 * kMs);
  ASSERT_EQ(pair.ask(0), 1U);
  for (int i = 0; i < 38; ++i) pair.ask(1);  // the keeper's own clients use the store up
  pair.play(50 * kMs);
  EXPECT_EQ(pair.ask(0), 0U);  // asks first again
  // And the quota holds between the two: what both send is what the store had and what filled.
  const auto begun = pair.now;
  for (int i = 0; i < 400; ++i) {
    pair.ask(i % 2);
    pair.play(20 * kMs);
  }
  const double filled = 10 * static_cast<double>(pair.now - begun) / 1e9;
  EXPECT_LE(static_cast<double>(pair.sent[0] + pair.sent[1]), 1 + 40 + 25 + filled + 4);
}

TEST(Standing, WhatIsSpentWhileNothingArrivesIsBoundByTheOwnCopyOfTheStore) {
  Pair pair;
  pair.play(100 * kMs);
  pair.ask(0);
  pair.play(2000 * kMs);
  const auto before = pair.sent[0];
  for (int i = 0; i < 200; ++i) pair.ask(0);
  // At once, with every message lost: no more than half of the store, the even share, and what was granted.
  EXPECT_LE(pair.sent[0] - before, 42U);
  pair.play(300 * kMs, true);
  EXPECT_LE(pair.sent[0] - before, 42U + 3U);
}

scale::Scenario small_fleet(int gatekeepers, int aside) {
  scale::Scenario s;
  s.name = "small";
  s.gatekeepers = gatekeepers;
  s.workers = gatekeepers * 2;
  s.customers = gatekeepers * 20;
  s.requests_per_s = gatekeepers * 60;
  s.warm_s = 4;
  s.seconds = 4;
  s.work_ms = 5;
  s.control_machines = aside;
  return s;
}

std::map<std::string, double> figures(const scale::Scenario& s, int threads) {
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
  EXPECT_EQ(figures(s, 1), figures(s, 3));
}

// The mechanism's slope: twice the gatekeepers, customers and requests, and each gatekeeper's mail as before.
TEST(Hollow, MailOfAGatekeeperDoesNotGrowWithTheFleetWhereMembersAreSetAside) {
  const auto one = figures(small_fleet(12, 2), 4), two = figures(small_fleet(24, 2), 4);
  EXPECT_LE(two.at("mail_out") / one.at("mail_out"), 1.2);
  EXPECT_LT(one.at("mail_drowned"), 1);
  EXPECT_LT(two.at("mail_drowned"), 1);
  const auto without = figures(small_fleet(24, 0), 4);
  EXPECT_GT(without.at("mail_drowned"), 10) << "nothing presses: this compares nothing";
  EXPECT_LT(two.at("refused_with_half"), without.at("refused_with_half") / 2);
}

}  // namespace
}  // namespace cranemux
