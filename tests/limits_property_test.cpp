// Limits that hold in every run: ceilings and open attempts over all gateways of a customer, with messages
// lost and gateways restarted; and repeats by the class's effect, group and window.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cranemux/decision_module.h"

namespace cranemux {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;
constexpr Nanos kTick = 10 * kMs;

// Settings drawn at random, independent of the deployments.
struct Scenario {
  int gateways = *rc::gen::inRange(1, 5);
  double rate = *rc::gen::inRange(5, 60);
  double burst = *rc::gen::inRange(8, 80);
  int open_limit = *rc::gen::inRange(0, 8);
  double ceiling = *rc::gen::inRange(15, 30) / 10.0;
  double loss = *rc::gen::inRange(0, 10) / 10.0;
  std::uint64_t seed = *rc::gen::arbitrary<std::uint32_t>();
};

class Tier {
 public:
  explicit Tier(const Scenario& scenario)
      : scenario_(scenario), random_(scenario.seed), modules_(static_cast<std::size_t>(scenario.gateways)) {
    plan_ = {"plan",
             scenario.rate,
             scenario.burst,
             scenario.open_limit,
             scenario.rate * scenario.ceiling,
             scenario.burst * scenario.ceiling,
             4,
             1,
             0,
             0.8};
    tokens_ = plan_.ceiling_burst;
    for (int g = 0; g < scenario.gateways; ++g) restart(g);
  }

  void restart(int g) {
    Settings s;
    s.seed = random_();
    s.gateways = scenario_.gateways;
    s.index = g;
    s.zone = "z";
    s.classes = {{"look", 400 * kMs, kSecond, 0, 1, Repeat::safe, RepeatScope::all, 0, false}};
    s.plans = {plan_};
    s.most_units = 4;
    s.peers = true;
    s.peer_messages_per_s = 40;
    s.cancel = true;
    s.max_attempts = 3;
    std::erase_if(open_, [&](const auto& item) { return item.second.gateway == g; });
    auto& decision_module = modules_[static_cast<std::size_t>(g)];
    decision_module = std::make_unique<DecisionModule>(s);
    ServerList list{ListScope::stored, {}};
    for (const auto* name : {"a", "b", "c", "d"})
      list.servers.push_back({name, "z", 0, ServerState::running, 1, 0});
    feed(g, {list});
  }

  void request(int g, double units) {
    Request request{std::to_string(++id_), "look", "plan", "customer", kSecond, units, 0, scenario_.gateways};
    units_[request.id] = units;
    feed(g, {request});
  }

  void tick() {
    now_ += kTick;
    tokens_ = std::min(plan_.ceiling_burst, tokens_ + plan_.ceiling_rate * kTick / kSecond);
    for (auto arriving = std::exchange(in_flight_, {}); const auto& [to, from, bytes] : arriving) {
      if (uniform() >= scenario_.loss) feed(to, {PeerMessage{from, bytes}});
    }
    auto before = open_;
    for (const auto& [id, attempt] : before) {
      if (attempt.ends > now_) continue;
      open_.erase(id);
      Outcome outcome;
      outcome.request = id.first;
      outcome.attempt = id.second;
      outcome.result = uniform() < 0.1 ? Result::reset : Result::ok;
      outcome.finished = outcome.result == Result::ok;
      outcome.took = attempt.ends - attempt.started;
      feed(attempt.gateway, {outcome});
    }
    for (int g = 0; g < scenario_.gateways; ++g) feed(g, {Timer{1}});
  }

  int random_below(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
  double min_tokens() const { return min_tokens_; }
  int max_open() const { return max_open_; }
  std::size_t sent() const { return sent_; }
  const PlanSettings& plan() const { return plan_; }

 private:
  struct OpenAttempt {
    int gateway;
    Nanos started, ends;
  };

  double uniform() { return static_cast<double>(random_() >> 11U) * 0x1p-53; }

  void feed(int g, const std::vector<Event>& events) {
    std::vector<Action> actions;
    modules_[static_cast<std::size_t>(g)]->step(now_, events, actions);
    for (const auto& action : actions) {
      if (const auto* message = std::get_if<SendToPeer>(&action))
        in_flight_.push_back({message->to, g, message->bytes});
      const auto* send = std::get_if<Send>(&action);
      if (!send) continue;
      const int attempt = attempts_[send->request]++;
      if (attempt == 0) {
        ++sent_;
        tokens_ -= units_.at(send->request);
        min_tokens_ = std::min(min_tokens_, tokens_);
      }
      const auto took = static_cast<Nanos>(static_cast<double>(20 * kMs) * (1 + 9 * uniform()));
      open_[{send->request, attempt}] = {g, now_, now_ + took};
      max_open_ = std::max(max_open_, static_cast<int>(open_.size()));
    }
  }

  struct Message {
    int to, from;
    std::string bytes;
  };
  const Scenario scenario_;
  std::mt19937_64 random_;
  PlanSettings plan_;
  Nanos now_ = 100 * kSecond;
  std::vector<std::unique_ptr<DecisionModule>> modules_;
  std::vector<Message> in_flight_;
  std::map<std::pair<std::string, int>, OpenAttempt> open_;
  std::map<std::string, double> units_;
  std::map<std::string, int> attempts_;
  double tokens_ = 0, min_tokens_ = 1e9;
  int max_open_ = 0;
  std::size_t sent_ = 0;
  std::uint64_t id_ = 0;
};

RC_GTEST_PROP(Limits, CeilingsAndOpenAttemptsHoldOverAllGateways, ()) {
  const Scenario scenario;
  Tier tier(scenario);
  const int requests_per_tick =
      *rc::gen::inRange(1, 6);  // requests per tick: from within the quota to far beyond the ceiling
  const int restart_interval = *rc::gen::inRange(20, 200);  // ticks, on average
  for (int i = 0; i < 400; ++i) {
    for (int j = 0; j < requests_per_tick; ++j)
      tier.request(tier.random_below(scenario.gateways), 1 + tier.random_below(4));
    if (tier.random_below(restart_interval) == 0) tier.restart(tier.random_below(scenario.gateways));
    tier.tick();
  }
  RC_ASSERT(tier.min_tokens() >= -tier.plan().ceiling_slack);
  if (scenario.open_limit > 0) RC_ASSERT(tier.max_open() <= std::max(scenario.open_limit, scenario.gateways));
  RC_ASSERT(tier.sent() > 0U);
}

// A further attempt is sent only where and while the class allows it, and a refusal is sent only if nothing
// has run or a repeat does no harm.
RC_GTEST_PROP(Limits, RepeatsRespectEffectGroupAndWindow, ()) {
  Settings s;
  s.seed = *rc::gen::arbitrary<std::uint32_t>();
  s.zone = "z0";
  const auto repeat = *rc::gen::element(Repeat::safe, Repeat::keyed, Repeat::unsafe);
  const auto scope = *rc::gen::element(RepeatScope::all, RepeatScope::zone, RepeatScope::cell);
  const Nanos window = *rc::gen::inRange(20, 2500) * kMs, aim = *rc::gen::inRange(200, 1500) * kMs;
  s.classes = {{"it", aim, 2 * aim, *rc::gen::element(0.0, 0.2), 1, repeat, scope, window, false}};
  s.plans = {{"plan", 1000, 1000, 0, 0, 0, 0, 1, 0, 0}};
  s.cancel = true;
  s.second_copies = *rc::gen::arbitrary<bool>();
  s.max_attempts = *rc::gen::inRange(1, 6);
  DecisionModule decision_module(s);
  struct Place {
    std::string zone;
    int cell;
  };
  std::map<std::string, Place> places;
  ServerList list{ListScope::stored, {}};
  for (int i = 0; i < 8; ++i) {
    const auto name = "s" + std::to_string(i);
    places[name] = {"z" + std::to_string(i % 2), i % 4};
    list.servers.push_back({name, places[name].zone, places[name].cell, ServerState::running, 1, 0});
  }
  struct Attempt {
    std::string server;
    Nanos sent;
    bool open = true, may_have_run = true;
  };
  std::map<std::string, std::vector<Attempt>> attempts;
  std::set<std::string> finished;
  Nanos now = 100 * kSecond;
  const auto feed = [&](const std::vector<Event>& events) {
    std::vector<Action> actions;
    decision_module.step(now, events, actions);
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        RC_ASSERT(!finished.contains(send->request));
        auto& earlier = attempts[send->request];
        for (const auto& attempt : earlier) {
          if (attempt.open) RC_ASSERT(s.second_copies);
          if (!attempt.may_have_run) continue;
          RC_ASSERT(repeat != Repeat::unsafe);
          if (repeat == Repeat::safe) continue;
          RC_ASSERT(now < attempt.sent + window);
          RC_ASSERT(send->send_deadline > now && send->send_deadline <= attempt.sent + window);
          const auto &a = places.at(attempt.server), &b = places.at(send->server);
          RC_ASSERT(scope == RepeatScope::all || a.zone == b.zone);
          RC_ASSERT(scope != RepeatScope::cell || a.cell == b.cell);
        }
        earlier.push_back({send->server, now});
        RC_ASSERT(static_cast<int>(earlier.size()) <= s.max_attempts);
      }
      const auto* refuse = std::get_if<Refuse>(&action);
      const auto* fail = std::get_if<Fail>(&action);
      if (!refuse && !fail) continue;
      const auto& id = refuse ? refuse->request : fail->request;
      RC_ASSERT(finished.insert(id).second);
      const auto& all = attempts[id];
      const bool ran = std::any_of(all.begin(), all.end(), [](const auto& a) { return a.may_have_run; });
      if (refuse && ran)
        RC_ASSERT(repeat == Repeat::safe || (repeat == Repeat::keyed && scope == RepeatScope::all));
    }
  };
  feed({list});
  for (int i = 0; i < 40; ++i) {
    now += *rc::gen::inRange(1, 40) * 5 * kMs;
    std::vector<Event> events{Timer{1}};
    if (i % 4 == 0)
      events.push_back(Request{std::to_string(i), "it", "plan", "c" + std::to_string(i), 2 * aim});
    feed(events);
    for (auto& [id, all] : attempts) {
      for (std::size_t n = 0; n < all.size(); ++n) {
        if (!all[n].open || *rc::gen::inRange(0, 3) > 0) continue;
        Outcome outcome;
        outcome.request = id;
        outcome.attempt = static_cast<int>(n);
        outcome.took = now - all[n].sent;
        outcome.result = *rc::gen::element(Result::ok, Result::reset, Result::error, Result::full,
                                           Result::timeout, Result::connect_failed, Result::not_sent);
        all[n].open = false;
        all[n].may_have_run = outcome.result != Result::full && outcome.result != Result::connect_failed &&
                              outcome.result != Result::not_sent;
        outcome.finished = outcome.result == Result::ok || finished.contains(id);
        if (outcome.result == Result::ok) finished.insert(id);
        feed({outcome});
        break;
      }
    }
  }
}

}  // namespace
}  // namespace cranemux
