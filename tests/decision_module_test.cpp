// Tests of the decision module through its public interface, with hand-written events.
#include "cranemux/decision_module.h"

#include <gtest/gtest.h>
#include <malloc.h>

#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>

namespace cranemux {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;

Settings base_settings() {
  Settings s;
  s.seed = 7;
  s.gateways = 2;
  s.zone = "here";
  s.classes = {
      {"look", 1500 * kMs, 5 * kSecond, 0, 1, Repeat::safe, RepeatScope::all, 0, false},
      {"book", 500 * kMs, 2 * kSecond, 0.2, 5, Repeat::unsafe, RepeatScope::all, 0, false},
      {"hold", 500 * kMs, 2 * kSecond, 0.2, 5, Repeat::keyed, RepeatScope::cell, 1 * kSecond, false}};
  PlanSettings rate{"rate", 2, 6, 0, 0, 0, 0, 1, 0, 1};
  PlanSettings open{"open", 0, 0, 2, 0, 0, 0, 1, 0, 1};
  PlanSettings ceiling{"ceiling", 10, 20, 0, 20, 40, 4, 1, 0, 1};
  s.plans = {rate, open, ceiling};
  s.peers = true;
  s.peer_messages_per_s = 60;
  s.cancel = true;
  s.max_attempts = 4;
  s.cold_from = 0.2;
  s.warm_up = 10 * kSecond;
  s.fall_multiple = 4;
  s.fall_window = kSecond;
  return s;
}

ServerEntry server(const std::string& id, int cell = 0) {
  return {id, "here", cell, ServerState::running, 1, 0};
}

// One gateway with its own clock; records the actions of its module.
class Gateway {
 public:
  explicit Gateway(Settings settings,
                   std::vector<ServerEntry> servers = {server("a"), server("b"), server("c")})
      : settings_(settings), module_(settings) {
    feed({ServerList{ListScope::stored, std::move(servers)}});
  }

  std::vector<Action> feed(const std::vector<Event>& events) {
    std::vector<Action> actions;
    module_.step(now, events, actions);
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) sends.push_back(*send);
      if (const auto* refuse = std::get_if<Refuse>(&action)) refused.insert(refuse->request);
      if (const auto* fail = std::get_if<Fail>(&action)) failed.insert(fail->request);
      if (const auto* message = std::get_if<SendToPeer>(&action)) messages.push_back(*message);
      if (const auto* timer = std::get_if<SetTimer>(&action)) timer_at = timer->at;
    }
    return actions;
  }
  void run(Nanos until) {
    while (timer_at <= until) {
      now = std::max(now, timer_at);
      feed({Timer{1}});
    }
    now = until;
  }
  Request request(const std::string& id, const std::string& plan, const std::string& klass = "look",
                  const std::string& customer = "cust") const {
    Request r;
    r.id = id;
    r.klass = klass;
    r.plan = plan;
    r.customer = customer;
    r.budget = 2 * kSecond;
    r.spread = settings_.gateways;
    return r;
  }
  Outcome outcome(const std::string& id, Result result, int attempt = 0, Nanos took = 50 * kMs) const {
    Outcome o;
    o.request = id;
    o.attempt = attempt;
    o.result = result;
    o.took = took;
    o.finished = result == Result::ok;
    return o;
  }
  const DecisionModule& module() const { return module_; }
  std::size_t answered(int upto) const {
    return sends.size() + refused.size() + failed.size() - static_cast<std::size_t>(upto);
  }

  Nanos now = 100 * kSecond;
  Nanos timer_at = 0;
  std::vector<Send> sends;
  std::size_t completed = 0;  // of `sends`: those whose outcome was fed
  std::vector<SendToPeer> messages;
  std::set<std::string> refused, failed;

 private:
  Settings settings_;
  DecisionModule module_;
};

// Runs two gateways until the given time and delivers the messages that they send each other.
void exchange_messages(Gateway& a, Gateway& b, Nanos until) {
  while (a.now < until) {
    a.run(a.now + 10 * kMs);
    b.run(a.now);
    for (auto messages : {std::exchange(a.messages, {})}) {
      for (const auto& message : messages) b.feed({PeerMessage{0, message.bytes}});
    }
    for (auto messages : {std::exchange(b.messages, {})}) {
      for (const auto& message : messages) a.feed({PeerMessage{1, message.bytes}});
    }
  }
}

Settings single_gateway_settings() {
  auto s = base_settings();
  s.gateways = 1;
  return s;
}

Settings second_gateway_settings() {
  auto s = base_settings();
  s.index = 1;
  s.seed = 8;
  return s;
}

TEST(Settings, InvalidOnesAreRejected) {
  auto s = base_settings();
  s.index = 2;
  EXPECT_THROW(DecisionModule{s}, std::invalid_argument);
  s = base_settings();
  s.classes.clear();
  EXPECT_THROW(DecisionModule{s}, std::invalid_argument);
}

TEST(Ledger, IsolatedGatewaySpendsItsEvenShare) {
  Gateway gateway(base_settings());
  gateway.run(gateway.now + 4 * kSecond);
  for (int i = 0; i < 10; ++i) gateway.feed({gateway.request("r" + std::to_string(i), "rate")});
  EXPECT_EQ(gateway.sends.size(), 3U);  // half of the 6 tokens of a full bucket
  gateway.run(gateway.now + 600 * kMs);
  EXPECT_EQ(gateway.refused.size() + gateway.sends.size(), 10U);
  EXPECT_LE(gateway.sends.size(), 4U);  // and half of what 0.6 s refill
}

TEST(Ledger, BurstHoldsAcrossTwoGateways) {
  Gateway a(base_settings());
  Gateway b(second_gateway_settings());
  exchange_messages(a, b, a.now + kSecond);
  for (int i = 0; i < 12; ++i) {
    a.feed({a.request("a" + std::to_string(i), "rate")});
    b.feed({b.request("b" + std::to_string(i), "rate")});
  }
  exchange_messages(a, b, a.now + 600 * kMs);
  // The bucket held 6 tokens and refills by 2 per second; rounding and the delay of a message may add one
  // each.
  EXPECT_GE(a.sends.size() + b.sends.size(), 6U);
  EXPECT_LE(a.sends.size() + b.sends.size(), 9U);
}

TEST(Ledger, RestartedGatewayLearnsWhatWasSpent) {
  Gateway a(base_settings());
  Gateway b(second_gateway_settings());
  exchange_messages(a, b, a.now + kSecond);
  for (int i = 0; i < 12; ++i) a.feed({a.request("a" + std::to_string(i), "rate")});
  exchange_messages(a, b, a.now + kSecond);
  auto again = second_gateway_settings();
  again.seed = 99;
  const auto now = a.now;
  Gateway fresh(again);
  fresh.now = now;
  Gateway late(again);
  late.now = now;
  exchange_messages(a, fresh, now + 100 * kMs);
  for (int i = 0; i < 6; ++i) fresh.feed({fresh.request("f" + std::to_string(i), "rate")});
  EXPECT_LE(fresh.sends.size(), 2U);
}

// A gateway spends its even share on a new customer's requests while the quota leader is asked. When it
// waited for the answer, 4,500 of 9,500 refusals had an even share left in a run where most pairs of customer
// and gateway were seen once. No share is spent twice: each gateway has only its own.
TEST(Ledger, NewCustomerSpendsItsEvenShareWhileTheLeaderIsAsked) {
  Gateway a(base_settings());
  Gateway b(second_gateway_settings());
  exchange_messages(a, b, a.now + 4 * kSecond);  // longer than the bucket takes to refill
  for (int i = 0; i < 6; ++i) {
    a.feed({a.request("a" + std::to_string(i), "rate")});
    b.feed({b.request("b" + std::to_string(i), "rate")});
  }
  // Half of 6 each, at once; the gateway that leads the ledger may have leased more to itself.
  EXPECT_GE(std::min(a.sends.size(), b.sends.size()), 3U);
  exchange_messages(a, b, a.now + 600 * kMs);
  EXPECT_LE(a.sends.size() + b.sends.size(), 9U);  // the bucket, 1.2 refilled, and rounding at each
}

// A started gateway spends no even share until the bucket would have refilled from what an earlier generation
// may have spent. Otherwise one of two gateways has its even share twice a second for a customer whose quota
// is used up at the other.
TEST(Ledger, StartedGatewaySpendsNoEvenShareBeforeItsLeaderAnswers) {
  auto s = base_settings();
  s.gateways = 140;  // so that another one is the leader
  Gateway fresh(s), older(s);
  older.run(older.now + 2800 * kMs);  // longer than a bucket of 2 tokens takes to refill at 2 per second
  auto small = s;
  small.plans[0].burst = 2;
  Gateway settled(small);
  settled.run(settled.now + 2800 * kMs);
  for (Gateway* gateway : {&fresh, &older, &settled}) {
    auto r = gateway->request("r", "rate");
    r.first = 1;  // another one is its leader
    r.spread = 2;
    gateway->feed({r});
    gateway->run(gateway->now + 100 * kMs);
  }
  EXPECT_TRUE(fresh.sends.empty());
  EXPECT_TRUE(older.sends.empty());  // 6 tokens at 2 per second take 3 s
  EXPECT_EQ(settled.sends.size(), 1U);
}

// The leader is one of the customer's own gateways. When it was any of the tier's 140, nearly every lease
// request had to be sent over the network.
TEST(Ledger, LeaderIsOneOfTheCustomersGateways) {
  auto s = base_settings();
  s.gateways = 140;
  Gateway gateway(s);
  for (int i = 0; i < 40; ++i) {
    auto r = gateway.request("r" + std::to_string(i), "rate");
    r.customer = "c" + std::to_string(i);
    r.first = 139;
    r.spread = 3;  // 139, 0, 1
    gateway.feed({r});
    gateway.run(gateway.now + 20 * kMs);
  }
  std::set<int> recipients;
  for (const auto& message : gateway.messages) recipients.insert(message.to);
  EXPECT_EQ(recipients, (std::set<int>{1, 139}));
  EXPECT_FALSE(gateway.sends.empty());  // of customers that it leads itself
}

// Feeds 80 requests over 1.6 s and waits until none is held any more. Servers answer at once. The customer
// has `spread` gateways, and its leader is another one.
void offer_while_leader_is_silent(Gateway& gateway, int spread) {
  for (int i = 0; i < 80; ++i) {
    auto r = gateway.request("r" + std::to_string(i), "rate", "book");
    r.first = 1;
    r.spread = spread;
    gateway.feed({r});
    while (gateway.completed < gateway.sends.size()) {
      gateway.feed({gateway.outcome(gateway.sends[gateway.completed++].request, Result::ok)});
    }
    gateway.run(gateway.now + 20 * kMs);
  }
  gateway.run(gateway.now + 500 * kMs);
}

// After a start the number of tokens left is only assumed, so nothing is borrowed from it. When gateways did,
// a rolling restart of 330 gateways sent 18% of the worth beyond quotas.
TEST(Ledger, NewGenerationBorrowsNothing) {
  auto s = base_settings();
  s.gateways = 140;
  s.plans[0].rate = s.plans[0].burst = 8;
  Gateway gateway(s);
  offer_while_leader_is_silent(gateway, 16);
  EXPECT_TRUE(gateway.sends.empty());  // its even share is half a unit
  EXPECT_EQ(gateway.refused.size(), 80U);
}

// A gateway borrows its own next share once for each answer of the leader, and nothing of what is refilled
// later. Otherwise all gateways of a set borrow the same tokens again and again (a hot key in the simulator's
// scenario big-2 scored 0.94 in place of 0.97).
TEST(Ledger, NextShareIsBorrowedOnceForEachAnswerOfTheLeader) {
  auto s = base_settings();
  s.gateways = 140;
  s.plans[0].rate = 8;
  s.plans[0].burst = 40;
  s.settles = true;  // so that debts may be as large as the bucket
  std::vector<Gateway> members;
  for (s.index = 0; s.index < 20; ++s.index) members.emplace_back(s);
  auto& gateway = members[0];
  auto first = gateway.request("first", "rate");
  first.first = 1;
  first.spread = 16;
  gateway.feed({first});
  gateway.run(gateway.now + 20 * kMs);
  ASSERT_EQ(gateway.messages.size(), 1U);
  auto& leader = members[static_cast<std::size_t>(gateway.messages[0].to)];
  leader.run(gateway.now);
  leader.feed({PeerMessage{0, gateway.messages[0].bytes}});
  leader.run(leader.now + 20 * kMs);
  ASSERT_EQ(leader.messages.size(), 1U);
  gateway.feed({PeerMessage{gateway.messages[0].to, leader.messages[0].bytes}});
  ASSERT_EQ(gateway.sends.size(), 1U);
  gateway.run(gateway.now + kSecond);  // the lease has expired
  offer_while_leader_is_silent(gateway, 16);
  EXPECT_GE(gateway.sends.size(), 1U + 9U);  // of the 39 tokens left, shared among four
  EXPECT_LE(gateway.sends.size(), 1U + 10U);
}

// A single gateway is its own leader, so its lease requests are not paced. When they were, requests were held
// until they were refused with half of the tokens left.
TEST(Ledger, SingleGatewayLeasesTheWholeBucketAtOnce) {
  Gateway gateway(single_gateway_settings());
  for (int i = 0; i < 6; ++i) {
    gateway.feed({gateway.request("r" + std::to_string(i), "rate")});
    gateway.run(gateway.now + 3 * kMs);
  }
  gateway.run(gateway.now + 20 * kMs);
  EXPECT_EQ(gateway.sends.size(), 6U);
}

// Feeds `each` requests of each of the `customers` to both gateways, answers attempts at once and delivers
// messages for 0.6 s. Returns the number of attempts.
std::size_t offer_and_exchange(Gateway& a, Gateway& b, int customers, int each, const std::string& tag) {
  for (int c = 0; c < customers; ++c) {
    for (int i = 0; i < each; ++i) {
      const auto id = tag + std::to_string(c) + "/" + std::to_string(i);
      a.feed({a.request("a" + id, "rate", "look", "c" + std::to_string(c))});
      b.feed({b.request("b" + id, "rate", "look", "c" + std::to_string(c))});
    }
  }
  const auto before = a.sends.size() + b.sends.size();
  for (auto until = a.now + 600 * kMs; a.now < until;) {
    for (Gateway* gateway : {&a, &b}) {
      while (gateway->completed < gateway->sends.size()) {
        gateway->feed({gateway->outcome(gateway->sends[gateway->completed++].request, Result::ok)});
      }
    }
    exchange_messages(a, b, a.now + 10 * kMs);
  }
  return a.sends.size() + b.sends.size() - before;
}

TEST(Ledger, RepeatedAndDamagedMessagesHaveNoEffect) {
  Gateway a(base_settings());
  Gateway b(second_gateway_settings());
  exchange_messages(a, b, a.now + kSecond);
  for (int c = 0; c < 8; ++c) {
    a.feed({a.request("one" + std::to_string(c), "rate", "look", "c" + std::to_string(c))});
    a.run(a.now + 300 * kMs);
  }
  b.run(a.now);
  ASSERT_FALSE(a.messages.empty());
  for (int i = 0; i < 50; ++i) {
    for (const auto& t : a.messages) b.feed({PeerMessage{0, t.bytes}});
  }
  for (const auto& t : a.messages) {
    for (std::size_t cut = 0; cut < t.bytes.size(); ++cut) b.feed({PeerMessage{0, t.bytes.substr(0, cut)}});
  }
  b.feed({PeerMessage{-1, "x"}, PeerMessage{9, "x"}, PeerMessage{0, std::string(300, '\xff')}});
  b.run(b.now + 300 * kMs);
  b.messages.clear();
  for (int c = 0; c < 8; ++c) {  // b still leases what it leads and requests the rest
    b.feed({b.request("two" + std::to_string(c), "rate", "look", "c" + std::to_string(c))});
  }
  b.run(b.now + 10 * kMs);
  EXPECT_GT(b.sends.size(), 0U);
  EXPECT_FALSE(b.messages.empty());
}

// Datagrams of an earlier generation may arrive late or repeatedly. What was leased to it is neither returned
// nor leased again.
TEST(Ledger, MessagesOfAnEarlierGenerationReturnNothing) {
  Gateway a(base_settings()), b(second_gateway_settings());
  exchange_messages(a, b, a.now + 5 * kSecond);
  for (int i = 0; i < 12; ++i) {
    a.feed({a.request("a" + std::to_string(i), "rate")});
    b.feed({b.request("b" + std::to_string(i), "rate")});
  }
  b.run(b.now + 20 * kMs);
  const auto old = b.messages;
  ASSERT_FALSE(old.empty());
  const auto begun = a.now;
  exchange_messages(a, b, a.now + kSecond);
  auto settings = second_gateway_settings();
  settings.seed = 99;
  Gateway fresh(settings);
  fresh.now = a.now;
  for (int i = 0; i < 300; ++i) {
    for (const auto& t : old) a.feed({PeerMessage{1, t.bytes}});
    if (i % 10 == 0) {
      a.feed({a.request("c" + std::to_string(i), "rate")});
      fresh.feed({fresh.request("d" + std::to_string(i), "rate")});
    }
    exchange_messages(a, fresh, a.now + 10 * kMs);
  }
  const double filled = 6 + 2 * static_cast<double>(a.now - begun) / kSecond;
  const auto sent = a.sends.size() + b.sends.size() + fresh.sends.size();
  EXPECT_LE(static_cast<double>(sent), filled + 3);
  EXPECT_GT(static_cast<double>(sent), filled / 2);  // nor is it withheld
}

// More customers at once than fit into one message: if some are not reported, their tokens are spent twice
// (i72b8d1).
TEST(Ledger, QuotasOfManyCustomersHoldAcrossGateways) {
  auto one = base_settings();
  one.peer_messages_per_s = 60;
  auto two = second_gateway_settings();
  two.peer_messages_per_s = 60;
  Gateway a(one, {server("a"), server("b"), server("c"), server("d"), server("e"), server("f")});
  Gateway b(two, {server("a"), server("b"), server("c"), server("d"), server("e"), server("f")});
  exchange_messages(a, b, a.now + kSecond);
  const auto first = offer_and_exchange(a, b, 60, 5, "x");
  EXPECT_LE(a.sends.size() + b.sends.size(), 60U * 8);  // the bucket of 6 and what 0.7 s refill, rounded
  EXPECT_GT(first + 60U, 60U * 4);
}

// Messages stay within the rate that peers accept: entries wait for the next message and share it (ia9103f).
TEST(Messages, StayWithinTheRateThatPeersAccept) {
  auto s = base_settings();
  s.peer_messages_per_s = 10;
  Gateway a(s);
  a.run(a.now + kSecond);
  for (int c = 0; c < 60; ++c) {
    a.feed({a.request("a" + std::to_string(c), "rate", "look", "c" + std::to_string(c))});
  }
  a.run(a.now + kSecond);
  EXPECT_GE(a.messages.size(), 2U);
  EXPECT_LE(a.messages.size(), 12U);
  std::size_t longest = 0;
  for (const auto& t : a.messages) longest = std::max(longest, t.bytes.size());
  EXPECT_LE(longest, 256U);
  EXPECT_GT(longest, 100U);
}

// A held request costs a lease request and its answer, whatever the number of gateways.
TEST(Messages, DoNotGrowWithTheFleet) {
  for (const int gateways : {3, 12, 140, 600}) {
    auto s = base_settings();
    s.gateways = gateways;
    s.peer_messages_per_s = 60;
    Gateway gateway(s);
    for (int i = 0; i < 30; ++i) {
      auto r = gateway.request("r" + std::to_string(i), "rate", "look", "c" + std::to_string(i));
      gateway.feed({r});
      gateway.run(gateway.now + 330 * kMs);
    }
    EXPECT_LE(gateway.messages.size(), 30U * 10) << gateways;  // nobody answers: sent again, to each replica
  }
}

// The smallest tier and one far larger than any planned: each request is answered in time, and messages from
// invalid members are ignored.
TEST(Messages, TierOfOneAndTierOfFiveHundred) {
  for (const int gateways : {1, 500}) {
    auto s = base_settings();
    s.gateways = gateways;
    s.index = gateways - 1;
    Gateway gateway(s);
    for (int i = 0; i < 40; ++i) {
      gateway.feed({gateway.request("r" + std::to_string(i), "rate", "look", "c" + std::to_string(i % 20)),
                    PeerMessage{gateways, "x"}, PeerMessage{-1, "x"}, PeerMessage{gateways - 1, "x"}});
      gateway.run(gateway.now + 100 * kMs);
    }
    gateway.run(gateway.now + 2 * kSecond);
    std::set<std::string> seen = gateway.refused;
    for (const auto& send : gateway.sends) seen.insert(send.request);
    EXPECT_EQ(seen.size(), 40U) << gateways;  // each was sent or refused
    EXPECT_EQ(gateway.messages.empty(), gateways == 1);
    for (const auto& t : gateway.messages) {
      EXPECT_TRUE(t.to >= 0 && t.to < gateways - 1);
      EXPECT_LE(t.bytes.size(), s.message_bytes);
    }
  }
}

// A leader that does not answer is replaced by its replicas. Where none answers, requests are refused at the
// end of their hold time.
TEST(QuotaLeaders, SilentLeaderIsReplacedByReplicas) {
  auto s = base_settings();
  s.gateways = 140;
  s.peer_messages_per_s = 60;
  Gateway gateway(s);
  for (int i = 0; i < 4; ++i) {
    gateway.feed({gateway.request("r" + std::to_string(i), "rate")});
    gateway.run(gateway.now + 500 * kMs);
  }
  std::set<int> recipients;
  for (const auto& message : gateway.messages) recipients.insert(message.to);
  EXPECT_GE(recipients.size(), 2U);
  EXPECT_LE(recipients.size(), 3U);
  EXPECT_LE(gateway.messages.size(), 8U);  // requests back off while nobody answers
  EXPECT_TRUE(gateway.sends.empty());
  EXPECT_EQ(gateway.refused.size(), 4U);
}

// Gateways that accept kAcceptedPerSecond messages each; further ones are lost.
class Fleet {
 public:
  static constexpr int kAcceptedPerSecond = 40;

  Fleet(Settings s, int gateways) : received_(static_cast<std::size_t>(gateways)) {
    s.gateways = gateways;
    s.peer_messages_per_s = kAcceptedPerSecond;
    for (s.index = 0; s.index < gateways; ++s.index) {
      s.seed = 500 + static_cast<std::uint64_t>(s.index);
      members.emplace_back(s);
    }
  }
  // Runs all gateways for 10 ms, answers their attempts and delivers their messages.
  void round() {
    now_ += 10 * kMs;
    if (now_ % kSecond == 0) std::fill(received_.begin(), received_.end(), 0);
    for (std::size_t g = 0; g < members.size(); ++g) {
      auto& gateway = members[g];
      gateway.run(now_);
      for (const auto& send : std::exchange(gateway.sends, {})) {
        ++sent;
        sent_light += send.request.front() == 'c';
        gateway.feed({gateway.outcome(send.request, Result::ok)});
      }
      for (const auto& message : std::exchange(gateway.messages, {})) {
        ++messages_sent;
        if (partitioned) continue;
        const auto to = static_cast<std::size_t>(message.to);
        if (++received_[to] <= kAcceptedPerSecond)
          members[to].feed({PeerMessage{static_cast<int>(g), message.bytes}});
        if (received_[to] > kAcceptedPerSecond) ++messages_lost;
      }
    }
  }

  std::vector<Gateway> members;
  bool partitioned = false;  // no message is delivered
  // Attempts, of all requests and of those whose ids start with a c; messages.
  std::size_t sent = 0, sent_light = 0, messages_sent = 0, messages_lost = 0;

 private:
  Nanos now_ = 100 * kSecond;
  std::vector<int> received_;  // messages in the current second, by gateway
};

// A customer far beyond its quota, with requests at all gateways, overloads its leader, which loses messages.
// When gateways without an answer turned to replicas, each replica leased the whole rate.
TEST(QuotaLeaders, CustomerFarBeyondItsQuotaGetsItsRateOnce) {
  auto s = base_settings();
  s.plans = {PlanSettings{"rate", 15, 20, 0, 0, 0, 0, 1, 0, 1}};
  Fleet fleet(s, 60);
  for (int round = 0; round < 1000; ++round) {  // 10 ms each; 150 requests a second
    for (std::size_t g = 0; g < fleet.members.size(); ++g) {
      auto& gateway = fleet.members[g];
      if ((round + static_cast<int>(g) * 7) % 40 == 0)
        gateway.feed({gateway.request("r" + std::to_string(round), "rate")});
    }
    fleet.round();
  }
  // 170 is exact. It was 418 when all gateways turned to replicas, and 261 before ledgers had shards.
  EXPECT_LE(fleet.sent, 190U);
  EXPECT_GE(fleet.sent, 15 * 10U * 3 / 4);
}

// The ledger of a plan that causes more lease requests than one leader accepts has shards. With a single
// ledger four of five requests were lost, and replicas leased again what the leader had leased (rolling
// restart of 330 gateways: 51 to 97 leaders were overloaded).
TEST(QuotaLeaders, ShardsOfALargePlanAreUsedUpTogether) {
  auto s = base_settings();
  s.plans = {PlanSettings{"rate", 40, 80, 0, 0, 0, 0, 1, 0, 1}};
  Fleet fleet(s, 120);
  std::mt19937_64 random(11);
  // 80 requests per second, half of them at a fifth of the gateways.
  for (int round = 0; round < 1000; ++round) {
    for (int i = 0; i < 100; ++i) {
      if (random() % 125 != 0) continue;
      const auto g = random() % (random() % 2 == 0 ? 24 : 120);
      auto& gateway = fleet.members[g];
      gateway.feed({gateway.request("r" + std::to_string(round) + "/" + std::to_string(i), "rate")});
    }
    // A light customer, whose lease requests keep gateways from being isolated.
    auto& light = fleet.members[static_cast<std::size_t>(round * 7 % 120)];
    light.feed(
        {light.request("c" + std::to_string(round), "rate", "book", "calm" + std::to_string(round % 60))});
    fleet.round();
  }
  EXPECT_LE(fleet.sent - fleet.sent_light, (80 + 40 * 10) * 11 / 10U);
  EXPECT_GE(fleet.sent - fleet.sent_light, (80 + 40 * 10) * 8 / 10U);
  EXPECT_LE(fleet.messages_lost, fleet.messages_sent / 20);
}

// A gateway that has been answered "none left" soon refuses its requests. When the leader went on leasing the
// next shares to it for half a second, they stayed unused until its next request: customers with twice their
// quota in demand used a third of it.
TEST(QuotaLeaders, SharesGoToGatewaysThatStillHoldRequests) {
  auto s = base_settings();
  s.plans = {PlanSettings{"rate", 4, 4, 0, 0, 0, 0, 1, 0, 1}};
  Fleet fleet(s, 120);
  for (int round = 0; round < 1500; ++round) {
    const auto name = "r" + std::to_string(round);
    // A light customer, whose lease requests keep gateways from being isolated.
    auto& light = fleet.members[static_cast<std::size_t>(round * 7 % 120)];
    light.feed({light.request("c" + name, "rate", "book", "calm" + std::to_string(round % 60))});
    auto& gateway = fleet.members[static_cast<std::size_t>(round / 5 * 11 % 120)];
    if (round % 5 == 0) gateway.feed({gateway.request(name, "rate", "book")});  // 20 per second
    fleet.round();
  }
  const auto heavy = fleet.sent - fleet.sent_light;
  EXPECT_GE(heavy, (4 + 4 * 15) * 8 / 10U);
  EXPECT_LE(heavy, (4 + 4 * 15) * 11 / 10U);
}

// No message is delivered for 6 s. Gateways must notice it soon, spend their even shares, and not be charged
// for them once messages arrive again. Formerly everything was refused for 3 s, then each gateway spent one
// request's units whatever was left, and after the partition all of it was taken from buckets that had long
// been full (scenario split+mass: 55% of the tries were refused with half of the quota unused).
TEST(QuotaLeaders, PartitionIsNoticedSoonAndSpentInEvenSharesOnly) {
  auto s = base_settings();
  s.plans = {PlanSettings{"rate", 10, 10, 0, 0, 0, 0, 1, 0, 1}};
  Fleet fleet(s, 100);
  std::mt19937_64 random(5);
  std::size_t light = 0, heavy = 0;
  // 100 light customers with 5 requests per second each, and a heavy one with 60.
  const auto run = [&](int rounds) {
    const auto light_before = fleet.sent_light, heavy_before = fleet.sent - fleet.sent_light;
    for (int round = 0; round < rounds; ++round) {
      for (int c = 0; c < 101; ++c) {
        if (random() % 100 >= (c < 100 ? 5U : 60U)) continue;
        auto& gateway = fleet.members[random() % 100];
        const auto name = (c < 100 ? "c" : "b") + std::to_string(random());
        gateway.feed({gateway.request(name, "rate", "book", "cust" + std::to_string(c))});
      }
      fleet.round();
    }
    light = fleet.sent_light - light_before;
    heavy = fleet.sent - fleet.sent_light - heavy_before;
  };
  run(400);
  EXPECT_GE(light, 100 * 5 * 4 * 9 / 10U);
  EXPECT_LE(heavy, 10 + 10 * 4 * 12 / 10U);
  fleet.partitioned = true;
  run(200);
  // In the first half second gateways have no answer, and nothing else shows that they are isolated.
  EXPECT_GE(light, 100 * 5 * 2 * 4 / 10U);
  run(400);
  EXPECT_GE(light, 100 * 5 * 4 / 2U);
  EXPECT_LE(heavy, 10 * 4 * 2U);
  fleet.partitioned = false;
  run(100);
  EXPECT_GE(light, 100 * 5 * 1 * 8 / 10U);
}

// In a large fleet each gateway sends to a server seldom. A server that answers nothing used to get three
// attempts from each before it was avoided, and its late answers reduced the windows of all the others.
TEST(ServerChoice, SlowServerIsAvoidedAfterOneTimeoutAndReducesNoOtherWindow) {
  auto s = base_settings();
  s.gateways = 100;
  std::vector<ServerEntry> servers;
  for (int i = 0; i < 12; ++i) servers.push_back(server("s" + std::to_string(i)));
  int to_slow = 0, first = 0;
  std::size_t sent = 0;
  for (s.index = 0; s.index < 20; ++s.index) {
    s.seed = 700 + static_cast<std::uint64_t>(s.index);
    Gateway gateway(s, servers);
    gateway.run(gateway.now + 3200 * kMs);
    for (int i = 0; i < 30; ++i) {
      const auto name = "r" + std::to_string(i);
      const auto before = gateway.sends.size();
      gateway.feed({gateway.request(name, "rate", "book", "c" + std::to_string(i))});
      gateway.run(gateway.now + 100 * kMs);
      if (gateway.sends.size() == before) continue;
      const bool slow = gateway.sends.back().server == "s0";
      to_slow += slow ? 1 : 0;
      first += slow && i < 12 ? 1 : 0;
      if (slow) gateway.run(gateway.now + 400 * kMs);
      gateway.feed(
          {gateway.outcome(name, slow ? Result::timeout : Result::ok, 0, slow ? 500 * kMs : 50 * kMs)});
    }
    sent += gateway.sends.size();
  }
  EXPECT_GT(first, 0);
  EXPECT_LE(to_slow, 25);  // of 20 gateways
  EXPECT_GE(sent, 20 * 30 * 9U / 10);
}

// With exponentially distributed answer times of half the aim on average, two in five are above 0.4 of the
// aim. When each of these reduced all windows by a fifth, the windows of 100 gateways fell to one attempt
// within minutes although servers were idle.
TEST(ServerChoice, WindowsStayOpenAtUsualAnswerTimes) {
  auto s = base_settings();
  s.gateways = 100;
  s.plans[0] = {"rate", 1000, 2000, 0, 0, 0, 0, 1, 0, 1};
  std::vector<ServerEntry> servers;
  for (int i = 0; i < 60; ++i) servers.push_back(server("s" + std::to_string(i)));
  Gateway gateway(s, servers);
  std::mt19937_64 random(3);
  std::exponential_distribution<double> time(1 / 0.5);
  std::multimap<Nanos, std::pair<std::string, Nanos>> out;  // by the time of their answer
  const auto aim = static_cast<double>(s.classes[0].aim);
  int id = 0, late = 0;
  std::set<std::string> begun;
  for (const auto end = gateway.now + 600 * kSecond; gateway.now < end;) {
    const auto name = "r" + std::to_string(id++);
    auto request = gateway.request(name, "rate");
    request.spread = 1;
    request.budget = 5 * kSecond;
    gateway.feed({request});
    for (const auto next = gateway.now + 700 * kMs; gateway.now < next;) {
      for (; gateway.completed < gateway.sends.size(); ++gateway.completed) {
        const auto& send = gateway.sends[gateway.completed];
        const auto took = std::min(static_cast<Nanos>(time(random) * aim), send.timeout);
        out.insert({gateway.now + took, {send.request, took}});
        begun.insert(send.request);
      }
      const bool answers = !out.empty() && out.begin()->first <= next;
      gateway.run(answers ? out.begin()->first : next);
      if (!answers) continue;
      const auto [request_id, took] = out.begin()->second;
      out.erase(out.begin());
      late += took > 0.4 * aim;
      gateway.feed({gateway.outcome(request_id, Result::ok, 0, took)});
    }
  }
  EXPECT_GT(late, id / 3);
  EXPECT_LE(id - static_cast<int>(begun.size()), id / 50);  // refused although servers were idle
}

// Where new connections have a price, a gateway prefers servers that it is connected to; without one it tries
// others.
TEST(ServerChoice, ConnectionPriceFavorsServersInUse) {
  std::map<double, std::size_t> used;
  for (const double price : {0.0, 0.08}) {
    auto s = single_gateway_settings();
    s.connection_price = price;
    s.connection_idle = 30 * kSecond;
    std::vector<ServerEntry> servers;
    for (int i = 0; i < 40; ++i) servers.push_back(server("s" + std::to_string(i)));
    Gateway gateway(s, servers);
    for (int i = 0; i < 100; ++i) {
      const auto name = "r" + std::to_string(i);
      gateway.feed({gateway.request(name, "rate", "look", "c" + std::to_string(i))});
      gateway.run(gateway.now + 100 * kMs);
      gateway.feed({gateway.outcome(name, Result::ok, 0, (150 + 40 * (i % 3)) * kMs)});
    }
    std::set<std::string> names;
    for (const auto& send : gateway.sends) names.insert(send.server);
    used[price] = names.size();
  }
  EXPECT_GE(used[0.0], 10U);
  EXPECT_LE(used[0.08], 5U);
}

TEST(HeldRequests, RequestWithoutALeaseIsRefusedWithinItsHoldTime) {
  Gateway gateway(base_settings());
  gateway.run(gateway.now + 500 * kMs);
  for (int i = 0; i < 5; ++i) gateway.feed({gateway.request("r" + std::to_string(i), "rate")});
  EXPECT_TRUE(gateway.refused.empty());
  gateway.run(gateway.now + 600 * kMs);
  EXPECT_EQ(gateway.sends.size() + gateway.refused.size(), 5U);
}

// First come, first served gave the servers to requests of little worth, and those of great worth found none
// (overload scenario Dundee).
TEST(HeldRequests, HighestWorthForItsWorkGoesFirstUnderOverload) {
  Gateway gateway(single_gateway_settings(), {server("only")});
  gateway.run(gateway.now + 500 * kMs);
  for (int i = 0; i < 12; ++i) {  // more than the server's initial window
    gateway.feed({gateway.request("cheap" + std::to_string(i), "rate", "look", "c" + std::to_string(i))});
  }
  const auto full = gateway.sends.size();
  ASSERT_LT(full, 12U);
  gateway.feed({gateway.request("dear", "rate", "book", "c99")});
  gateway.run(gateway.now + 20 * kMs);
  ASSERT_EQ(gateway.sends.size(), full);
  gateway.feed({gateway.outcome("cheap0", Result::ok), gateway.outcome("cheap1", Result::ok)});
  gateway.run(gateway.now + 20 * kMs);
  ASSERT_GT(gateway.sends.size(), full);
  EXPECT_EQ(gateway.sends[full].request, "dear");
}

// Retries past their aim took tokens that first tries needed.
TEST(HeldRequests, RetryPastItsAimSpendsNoTokens) {
  Gateway gateway(single_gateway_settings());
  gateway.run(gateway.now + 500 * kMs);
  for (int i = 0; i < 25; ++i) {
    const auto id = "r" + std::to_string(i);
    gateway.feed({gateway.request(id, "rate", "look", "c" + std::to_string(i))});
    gateway.feed({gateway.outcome(id, Result::ok)});
  }
  auto late = gateway.request("late", "rate", "look", "c90");
  late.budget = 3300 * kMs;  // of 5 s: 1.7 s have passed, the aim was 1.5 s
  auto young = gateway.request("young", "rate", "look", "c91");
  young.budget = 4500 * kMs;
  gateway.feed({late, young});
  EXPECT_TRUE(gateway.refused.count("late"));
  EXPECT_FALSE(gateway.refused.count("young"));
  EXPECT_EQ(gateway.sends.back().request, "young");
}

// Guards against one client whose budget differs: as the commonest of the class it had the requests of all
// others taken for later tries, which were refused on arrival.
TEST(HeldRequests, ACustomersOwnBudgetIsNoLaterTryWhateverOthersComeWith) {
  for (const Nanos others : {100 * kMs, 4700 * kMs}) {
    Gateway gateway(single_gateway_settings());
    gateway.run(gateway.now + 500 * kMs);
    for (int i = 0; i < 200; ++i) {
      const auto id = "x" + std::to_string(i);
      auto request = gateway.request(id, "rate", "look", "new" + std::to_string(i));
      request.budget = others;
      gateway.feed({request});
      gateway.feed({gateway.outcome(id, Result::ok)});
    }
    for (int i = 0; i < 5; ++i) {
      const auto id = "usual" + std::to_string(i);
      auto request = gateway.request(id, "rate", "look", "usual");
      request.budget = 3300 * kMs;
      gateway.feed({request});
      EXPECT_EQ(gateway.refused.count(id), i == 0 ? 1U : 0U) << others / kMs << " ms, " << id;
      gateway.feed({gateway.outcome(id, Result::ok)});
    }
  }
}

// A request that is refused on arrival was removed from the queue although it had never been added, so no
// lease was requested for the next ones.
TEST(HeldRequests, RequestRefusedOnArrivalLeavesTheQueueUnchanged) {
  auto s = base_settings();
  s.gateways = 140;
  Gateway gateway(s);
  auto expired = gateway.request("hopeless", "rate");
  expired.budget = 1 * kMs;
  gateway.feed({expired});
  ASSERT_TRUE(gateway.refused.count("hopeless"));
  gateway.messages.clear();
  gateway.feed({gateway.request("next", "rate")});
  EXPECT_EQ(gateway.messages.size(), 1U);
}

// Where a plan earns more beyond its quota than it costs, a refusal loses worth while servers are idle.
TEST(HeldRequests, IdleServersTakeProfitableRequestsBeyondTheQuota) {
  for (const double over_worth : {0.0, 0.2}) {
    auto s = single_gateway_settings();
    s.plans[0].over_cost = 0;
    s.plans[0].over_worth = over_worth;
    Gateway gateway(s);
    gateway.run(gateway.now + 500 * kMs);
    for (int i = 0; i < 12; ++i) {
      const auto id = "r" + std::to_string(i);
      gateway.feed({gateway.request(id, "rate")});
      gateway.feed({gateway.outcome(id, Result::ok)});
    }
    gateway.run(gateway.now + 600 * kMs);
    EXPECT_EQ(gateway.sends.size() > 8U, over_worth > 0);
  }
}

TEST(Rules, EveryRequestGetsOneFinalAnswerInTime) {
  Gateway gateway(base_settings());
  gateway.run(gateway.now + 500 * kMs);
  for (const auto* klass : {"look", "book", "hold"}) gateway.feed({gateway.request(klass, "ceiling", klass)});
  gateway.run(gateway.now + 1999 * kMs);  // no server answers
  EXPECT_EQ(gateway.refused.size() + gateway.failed.size(), 3U);
  EXPECT_TRUE(gateway.failed.count("book"));
  EXPECT_TRUE(gateway.failed.count("hold"));
}

TEST(Rules, UnsafeRequestIsRepeatedOnlyIfItDidNotRun) {
  Gateway gateway(base_settings());
  gateway.run(gateway.now + 500 * kMs);
  gateway.feed({gateway.request("x", "rate", "book")});
  gateway.feed({gateway.request("y", "rate", "book")});
  ASSERT_EQ(gateway.sends.size(), 2U);
  gateway.feed({gateway.outcome("x", Result::connect_failed)});
  EXPECT_EQ(gateway.sends.size(), 3U);
  gateway.feed({gateway.outcome("y", Result::reset)});
  EXPECT_EQ(gateway.sends.size(), 3U);
  EXPECT_TRUE(gateway.failed.count("y"));
  EXPECT_FALSE(gateway.refused.count("y"));
}

TEST(Rules, KeyedRequestStaysInItsCell) {
  auto s = base_settings();
  Gateway gateway(s, {server("a", 1), server("b", 2), server("c", 2), server("d", 1)});
  const std::map<std::string, int> cell{{"a", 1}, {"b", 2}, {"c", 2}, {"d", 1}};
  gateway.run(gateway.now + 500 * kMs);
  gateway.feed({gateway.request("x", "rate", "hold")});
  ASSERT_EQ(gateway.sends.size(), 1U);
  gateway.feed({gateway.outcome("x", Result::reset)});
  ASSERT_EQ(gateway.sends.size(), 2U);
  EXPECT_EQ(cell.at(gateway.sends[0].server), cell.at(gateway.sends[1].server));
  EXPECT_NE(gateway.sends[0].server, gateway.sends[1].server);
}

// A connection may be established late, so Send says until when servers drop a repeat: counted from the first
// attempt that may have run, and without a limit where none has.
TEST(Rules, KeyedRepeatHasASendDeadline) {
  Gateway gateway(base_settings());
  gateway.run(gateway.now + 500 * kMs);
  gateway.feed({gateway.request("x", "rate", "hold")});
  ASSERT_EQ(gateway.sends.size(), 1U);
  EXPECT_EQ(gateway.sends[0].send_deadline, 0);
  gateway.run(gateway.now + 20 * kMs);
  gateway.feed({gateway.outcome("x", Result::connect_failed)});
  ASSERT_EQ(gateway.sends.size(), 2U);
  EXPECT_EQ(gateway.sends[1].send_deadline, 0);
  const auto first = gateway.now;
  gateway.run(gateway.now + 30 * kMs);
  gateway.feed({gateway.outcome("x", Result::reset, 1)});
  ASSERT_EQ(gateway.sends.size(), 3U);
  EXPECT_GT(gateway.sends[2].send_deadline, gateway.now);
  EXPECT_LE(gateway.sends[2].send_deadline, first + kSecond);
}

// Where the window ends before the deadline, a request that may have run fails.
TEST(Rules, KeyedRequestPastItsWindowFails) {
  auto s = base_settings();
  s.classes[2].window = 100 * kMs;
  Gateway gateway(s);
  gateway.run(gateway.now + 500 * kMs);
  gateway.feed({gateway.request("x", "rate", "hold")});
  ASSERT_EQ(gateway.sends.size(), 1U);
  gateway.run(gateway.now + 95 * kMs);
  gateway.feed({gateway.outcome("x", Result::reset)});
  EXPECT_EQ(gateway.sends.size(), 1U);
  EXPECT_TRUE(gateway.failed.count("x"));
}

TEST(Rules, NothingGoesToADrainingOrRemovedServer) {
  Gateway gateway(base_settings());
  gateway.run(gateway.now + 500 * kMs);
  auto draining = server("b");
  draining.state = ServerState::draining;
  auto removed = server("c");
  removed.state = ServerState::removed;
  gateway.feed({ServerList{ListScope::changes, {draining, removed}}});
  for (int i = 0; i < 3; ++i) gateway.feed({gateway.request("r" + std::to_string(i), "rate")});
  ASSERT_EQ(gateway.sends.size(), 3U);
  for (const auto& send : gateway.sends) EXPECT_EQ(send.server, "a");
}

TEST(Rules, RequestsWithoutServersAreRefusedInTime) {
  Gateway gateway(base_settings(), {});
  gateway.feed({gateway.request("x", "rate")});
  gateway.run(gateway.now + 1500 * kMs);
  EXPECT_TRUE(gateway.refused.count("x"));
}

TEST(Rules, ColdServerGetsFewRequests) {
  auto cold = server("cold");
  Gateway gateway(single_gateway_settings());
  cold.started = gateway.now;
  gateway.feed({ServerList{ListScope::changes, {cold}}});
  int id = 0;
  int to_cold = 0;
  for (int round = 0; round < 100; ++round) {  // one second, 100 requests, answered at once
    gateway.run(gateway.now + 10 * kMs);
    const auto name = "r" + std::to_string(id++);
    const auto before = gateway.sends.size();
    gateway.feed({gateway.request(name, "rate", "look", "c" + std::to_string(id))});
    for (std::size_t i = before; i < gateway.sends.size(); ++i)
      to_cold += gateway.sends[i].server == "cold" ? 1 : 0;
    if (gateway.sends.size() > before) gateway.feed({gateway.outcome(name, Result::ok)});
  }
  EXPECT_GT(gateway.sends.size(), 80U);
  EXPECT_LE(to_cold, 12);
}

// With one attempt of each gateway at the same time, 40 and more reached a server that has only a fifth of
// its capacity.
TEST(Rules, ColdServerGetsFewRequestsFromAWholeFleet) {
  int to_cold = 0;
  std::size_t sent = 0;
  for (int g = 0; g < 40; ++g) {
    auto s = base_settings();
    s.gateways = 40;
    s.index = g;
    s.seed = 100 + static_cast<std::uint64_t>(g);
    Gateway gateway(s);
    gateway.run(gateway.now + 4 * kSecond);
    auto cold = server("cold");
    cold.started = gateway.now;
    gateway.feed({ServerList{ListScope::changes, {cold}}});
    for (int i = 0; i < 3; ++i) {
      const auto name = "r" + std::to_string(i);
      gateway.feed({gateway.request(name, "rate", "look", "c" + std::to_string(i))});
      gateway.run(gateway.now + 330 * kMs);
      gateway.feed({gateway.outcome(name, Result::ok)});
    }
    sent += gateway.sends.size();
    for (const auto& send : gateway.sends) to_cold += send.server == "cold" ? 1 : 0;
  }
  EXPECT_EQ(sent, 120U);
  EXPECT_LE(to_cold, 24);
}

// When the token for an attempt at a cold server was used only if that server also had the lowest cost, it
// never was: 36 of 60 servers were idle for 8 s while the warm ones were overloaded.
TEST(Rules, ColdServersGetTheirShareOfAFleetsRequests) {
  std::map<Nanos, int> to_cold;  // by second
  for (int g = 0; g < 40; ++g) {
    auto s = base_settings();
    s.gateways = 40;
    s.index = g;
    s.seed = 300 + static_cast<std::uint64_t>(g);
    Gateway gateway(s);
    int id = 0;
    const auto send_request = [&] {
      const auto name = "r" + std::to_string(id++);
      const auto before = gateway.sends.size();
      gateway.feed({gateway.request(name, "rate", "look", "c" + std::to_string(id))});
      if (gateway.sends.size() > before && gateway.sends.back().server == "cold")
        ++to_cold[gateway.now / kSecond];
      gateway.run(gateway.now + 200 * kMs);
      gateway.feed({gateway.outcome(name, Result::ok)});
    };
    gateway.run(gateway.now + 3200 * kMs);
    for (int i = 0; i < 20; ++i) send_request();
    auto cold = server("cold");
    cold.started = gateway.now;
    gateway.feed({ServerList{ListScope::changes, {cold}}});
    for (int i = 0; i < 25; ++i) send_request();
  }
  ASSERT_GE(to_cold.size(), 5U);
  int sum = 0;
  for (const auto& [second, sends] : to_cold) sum += sends;
  // 200 requests per second for 5 s, for three warm servers and one with 0.2 to 0.6 of their capacity: its
  // share is 120, and the limit for its first second is twice a fifth of what can be sent to each warm one.
  EXPECT_GE(sum, 60);
  EXPECT_LE(sum, 150);
  EXPECT_LE(to_cold.begin()->second, 27);
}

TEST(Rules, CeilingHoldsFromTheFirstSecond) {
  Gateway gateway(single_gateway_settings());
  // Requests far beyond the ceiling for two seconds: its bucket starts empty and refills by 20 per second.
  for (int i = 0; i < 200; ++i) {
    gateway.run(gateway.now + 10 * kMs);
    gateway.feed({gateway.request("r" + std::to_string(i), "ceiling")});
    if (!gateway.sends.empty()) gateway.feed({gateway.outcome(gateway.sends.back().request, Result::ok)});
    EXPECT_LE(static_cast<double>(gateway.sends.size()), 20.0 * 0.01 * (i + 1) + 1e-9);
  }
  EXPECT_GT(gateway.sends.size(), 20U);
}

TEST(OpenLimit, HoldsAcrossGateways) {
  Gateway a(base_settings());
  Gateway b(second_gateway_settings());
  exchange_messages(a, b, a.now + kSecond);
  for (int i = 0; i < 5; ++i) a.feed({a.request("a" + std::to_string(i), "open")});
  exchange_messages(a, b, a.now + 300 * kMs);
  EXPECT_GE(a.sends.size(), 1U);
  EXPECT_LE(a.sends.size(), 2U);
}

// A plan may limit its rate and its concurrent attempts. The attempts are split evenly, the remainder goes to
// the first gateways of the set, and a waiting request is sent as soon as an attempt ends.
TEST(OpenLimit, HoldsTogetherWithARate) {
  auto settings = base_settings();
  settings.plans.push_back({"both", 100, 100, 3, 0, 0, 0, 1, 0, 1});
  auto second = settings;
  second.index = 1;
  Gateway a(settings), b(second);
  exchange_messages(a, b, a.now + 2 * kSecond);
  for (int i = 0; i < 4; ++i) {
    a.feed({a.request("a" + std::to_string(i), "both")});
    b.feed({b.request("b" + std::to_string(i), "both")});
  }
  exchange_messages(a, b, a.now + 100 * kMs);
  EXPECT_EQ(a.sends.size(), 2U);
  EXPECT_EQ(b.sends.size(), 1U);
  a.feed({a.outcome(a.sends[0].request, Result::ok)});
  EXPECT_EQ(a.sends.size(), 3U);
  EXPECT_EQ(b.sends.size(), 1U);
}

TEST(Health, ServerThatAnswersNothingIsEjected) {
  Gateway gateway(base_settings());
  gateway.run(gateway.now + 500 * kMs);
  int to_dead = 0;
  for (int i = 0; i < 300; ++i) {
    gateway.run(gateway.now + 20 * kMs);
    const auto before = gateway.sends.size();
    gateway.feed({gateway.request("r" + std::to_string(i), "rate", "look", "c" + std::to_string(i))});
    for (std::size_t k = before; k < gateway.sends.size(); ++k) {
      const auto sent = gateway.sends[k];
      const bool dead = sent.server == "a";
      if (i >= 150) to_dead += dead ? 1 : 0;
      if (dead) {
        gateway.feed({gateway.outcome(sent.request, Result::timeout, 0, 500 * kMs)});
      } else {
        gateway.feed({gateway.outcome(sent.request, Result::ok)});
      }
    }
  }
  EXPECT_LE(to_dead, 3);
}

// A late attempt is cancelled and sent to another server only if the server has left others unanswered. When
// a single heavy request was cancelled, too, a tenth of all attempts were, and their work was done twice.
TEST(Health, SingleLateAttemptIsNotCancelled) {
  Gateway gateway(single_gateway_settings());
  gateway.feed({gateway.request("heavy", "rate", "look", "c0")});
  ASSERT_EQ(gateway.sends.size(), 1U);
  std::string cancelled;
  const auto run = [&](Nanos time) {
    for (const auto until = gateway.now + time; gateway.now < until;) {
      gateway.now += 10 * kMs;
      for (const auto& action : gateway.feed({Timer{1}})) {
        if (const auto* cancel = std::get_if<Cancel>(&action)) cancelled += cancel->request + ' ';
      }
    }
  };
  run(1200 * kMs);
  EXPECT_EQ(cancelled, "");
  gateway.feed({gateway.outcome("heavy", Result::ok, 0, 1200 * kMs)});
  int unanswered = 0;
  for (int i = 0; i < 12 && unanswered < 2; ++i) {  // two in a row at one server are not answered
    gateway.feed({gateway.request("r" + std::to_string(i), "rate", "look", "d" + std::to_string(i))});
    const auto sent = gateway.sends.back();
    run(10 * kMs);
    const bool dead = sent.server == "a";
    unanswered += dead ? 1 : 0;
    gateway.feed(
        {gateway.outcome(sent.request, dead ? Result::timeout : Result::ok, 0, (dead ? 900 : 50) * kMs)});
  }
  ASSERT_EQ(unanswered, 2);
  for (int i = 0; i < 3; ++i)
    gateway.feed({gateway.request("x" + std::to_string(i), "rate", "look", "e" + std::to_string(i))});
  run(1000 * kMs);
  EXPECT_NE(cancelled, "");
}

// State of customers, budgets and servers that are seen once must be released: some hundred bytes for each
// would exceed the module's 32 MB within a day.
TEST(Memory, StateOfWhatIsSeenOnceIsReleased) {
  auto settings = single_gateway_settings();
  Gateway gateway(settings);
  const auto run_requests = [&](int from, int to) {
    for (int i = from; i < to; ++i) {
      gateway.run(gateway.now + 50 * kMs);
      auto request = gateway.request("r" + std::to_string(i), "rate", "look", "c" + std::to_string(i));
      request.budget = (1000 + i) * kMs;
      const auto before = gateway.sends.size();
      std::vector<Event> events{request};
      if (i % 20 == 0) {
        auto left = server("s" + std::to_string(i / 20 - 2));
        left.state = ServerState::removed;
        events.push_back(ServerList{ListScope::changes, {left, server("s" + std::to_string(i / 20))}});
      }
      gateway.feed(events);
      for (std::size_t k = before; k < gateway.sends.size(); ++k) {
        gateway.feed({gateway.outcome(gateway.sends[k].request, Result::ok)});
      }
    }
    gateway.sends.clear();
    gateway.sends.shrink_to_fit();
    gateway.refused.clear();
    return mallinfo2().uordblks;
  };
  run_requests(0, 6000);  // 300 s
  const auto half = run_requests(6000, 12000);
  const auto whole = run_requests(12000, 18000);
  EXPECT_LT(whole, half + 100'000);
}

// Such requests come at any rate and under ever new names.
TEST(Memory, ARequestThatIsRefusedOnArrivalLeavesNothing) {
  Gateway gateway(single_gateway_settings());
  const auto refuse = [&](int from, int to) {
    for (int i = from; i < to; ++i) {
      auto request = gateway.request("r" + std::to_string(i), "rate", "look", "c" + std::to_string(i));
      request.budget = 1 * kMs;
      gateway.feed({request});
    }
    gateway.run(gateway.now + 100 * kMs);
    EXPECT_EQ(gateway.refused.size(), static_cast<std::size_t>(to - from));
    gateway.refused.clear();
    return mallinfo2().uordblks;
  };
  const auto before = refuse(0, 1000);
  EXPECT_LT(refuse(1000, 21'000), before + 20'000);  // a byte each
}

TEST(Events, UnknownOnesAreIgnored) {
  Gateway gateway(base_settings());
  const auto actions = gateway.feed({ClientGone{"nobody"}, Timer{123}, FirstByte{"nobody", 4},
                                     ProbeResult{"nobody", Result::ok, 1, {}}, CounterResult{1, true, 3}});
  EXPECT_TRUE(actions.empty());
  // An outcome is logged besides, and nothing else comes of it.
  const auto of_outcome = gateway.feed({gateway.outcome("nobody", Result::ok)});
  ASSERT_EQ(of_outcome.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<Log>(of_outcome.front()));
}

TEST(Determinism, EqualEventsGiveEqualActions) {
  Gateway a(base_settings());
  Gateway b(base_settings());
  for (int i = 0; i < 200; ++i) {
    a.run(a.now + 7 * kMs);
    b.run(b.now + 7 * kMs);
    const auto request = a.request("r" + std::to_string(i), "rate", "look", "c" + std::to_string(i % 9));
    a.feed({request});
    b.feed({request});
  }
  ASSERT_EQ(a.sends.size(), b.sends.size());
  for (std::size_t i = 0; i < a.sends.size(); ++i) EXPECT_EQ(a.sends[i].server, b.sends[i].server);
  EXPECT_EQ(a.refused, b.refused);
}

// A body takes seconds to arrive: its attempt stays open meanwhile, and the request's budget starts with the
// last byte.
TEST(Uploads, BudgetStartsWithTheLastByte) {
  Gateway gateway(base_settings());
  Request send_request;
  send_request.id = "u";
  send_request.klass = "book";
  send_request.plan = "rate";
  send_request.customer = "c";
  send_request.budget = 2 * kSecond;
  send_request.spread = 1;
  send_request.uploading = true;
  gateway.now = 100 * kSecond;
  gateway.feed({send_request});
  for (int i = 0; i < 700; ++i) {
    gateway.now += 10 * kMs;
    gateway.feed({Timer{1}});
  }
  ASSERT_EQ(gateway.sends.size(), 1U);
  EXPECT_TRUE(gateway.failed.empty() && gateway.refused.empty());
  gateway.feed({Uploaded{"u"}});
  for (int i = 0; i < 40; ++i) {  // its aim is 500 ms
    gateway.now += 10 * kMs;
    gateway.feed({Timer{1}});
  }
  EXPECT_TRUE(gateway.failed.empty());
  for (int i = 0; i < 200; ++i) {
    gateway.now += 10 * kMs;
    gateway.feed({Timer{1}});
  }
  EXPECT_EQ(gateway.failed.count("u"), 1U);  // it may have run
}

// Guards against a long request that is taken away from its server while its body still comes, as others have
// failed there: its time has not begun, and a body that has gone on cannot be sent again.
TEST(Uploads, NoneIsRetriedBeforeItsLastByte) {
  Gateway gateway(single_gateway_settings(), {server("a")});
  auto upload = gateway.request("u", "rate", "hold", "c0");
  upload.uploading = true;
  gateway.feed({upload});
  ASSERT_EQ(gateway.sends.size(), 1U);
  std::size_t cancelled = 0;
  const auto run = [&](Nanos time) {
    for (const auto until = gateway.now + time; gateway.now < until;) {
      gateway.now += 10 * kMs;
      for (const auto& action : gateway.feed({Timer{1}})) {
        const auto* cancel = std::get_if<Cancel>(&action);
        cancelled += cancel && cancel->request == "u";
      }
    }
  };
  for (const auto* id : {"r1", "r2"}) {
    gateway.feed({gateway.request(id, "rate", "look", id)});
    ASSERT_EQ(gateway.sends.back().request, id);
    gateway.feed({gateway.outcome(id, Result::timeout, 0, kSecond)});
  }
  run(kSecond);
  EXPECT_EQ(cancelled, 0U);
  gateway.feed({Uploaded{"u"}});
  run(100 * kMs);
  EXPECT_EQ(cancelled, 0U);  // it is no later than any other by then
  run(200 * kMs);
  EXPECT_EQ(cancelled, 1U);
}

// Guards against clients that take their time over long bodies and keep all others out: half of the windows
// is theirs at most, and what they free is free again.
TEST(Uploads, LeaveHalfOfTheWindowsToOthers) {
  Gateway gateway(single_gateway_settings(), {server("a"), server("b")});
  const auto upload = [&](int number) {
    auto request =
        gateway.request("u" + std::to_string(number), "rate", "hold", "c" + std::to_string(number));
    request.uploading = true;
    gateway.feed({request});
  };
  for (int i = 0; i < 40; ++i) upload(i);
  const auto uploads = gateway.sends.size();
  EXPECT_EQ(uploads, 8U);  // two windows of 8
  for (int i = 0; i < 6; ++i) {
    const auto id = "r" + std::to_string(i);
    gateway.feed({gateway.request(id, "rate", "look", id)});
    EXPECT_EQ(gateway.sends.back().request, id);
  }
  for (int i = 0; i < 30; ++i) {
    gateway.now += 10 * kMs;
    gateway.feed({Timer{1}});
  }
  EXPECT_EQ(gateway.refused.size(), 40 - uploads);  // those that found no place are told so
  const auto sent = gateway.sends.size();
  gateway.feed({Uploaded{gateway.sends[0].request}});
  gateway.feed({gateway.outcome(gateway.sends[1].request, Result::not_sent)});  // is sent again
  for (int i = 40; i < 50; ++i) upload(i);
  EXPECT_EQ(gateway.sends.size(), sent + 2);
}

// Guards against an outcome that is passed over in silence: the attempt that it belongs to is then out for
// good, and its server's place with it.
TEST(Outcomes, OneThatCannotBePlacedIsCountedAndLogged) {
  Gateway gateway(single_gateway_settings(), {server("a")});
  gateway.feed({gateway.request("r", "rate", "look", "c0")});
  ASSERT_EQ(gateway.sends.size(), 1U);
  EXPECT_EQ(gateway.module().attempts_by_server().at("a"), 1);
  auto unknown = gateway.outcome("r", Result::ok), unsent = unknown;
  unknown.request = "nobody's";
  unsent.attempt = 1;
  for (const auto& outcome :
       {unknown, unsent, gateway.outcome("r", Result::error), gateway.outcome("r", Result::ok)}) {
    const auto before = gateway.module().unplaced_outcomes();
    std::size_t logged = 0;
    for (const auto& action : gateway.feed({outcome})) {
      const auto* log = std::get_if<Log>(&action);
      logged += log && log->text.starts_with("unplaced outcome of request " + outcome.request) ? 1 : 0;
    }
    EXPECT_EQ(gateway.module().unplaced_outcomes() - before, logged);
  }
  EXPECT_EQ(gateway.module().unplaced_outcomes(), 3U);  // all but the error
}

}  // namespace
}  // namespace cranemux
