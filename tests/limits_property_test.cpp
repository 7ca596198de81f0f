// What holds whatever happens: ceilings and attempts out at once over all gateways of a customer, with
// messages lost and gateways restarted; and repeats by effect, group and window.
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

// Settings of neither deployment: each trait is drawn.
struct Traits {
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
  explicit Tier(const Traits& t) : t_(t), random_(t.seed), modules_(static_cast<std::size_t>(t.gateways)) {
    plan_ = {"plan", t.rate, t.burst, t.open_limit, t.rate * t.ceiling, t.burst * t.ceiling, 4, 1, 0, 0.8};
    store_ = plan_.ceiling_burst;
    for (int g = 0; g < t.gateways; ++g) restart(g);
  }

  void restart(int g) {
    Settings s;
    s.seed = random_();
    s.gateways = t_.gateways;
    s.index = g;
    s.zone = "z";
    s.classes = {{"look", 400 * kMs, kSecond, 0, 1, Repeat::safe, RepeatScope::all, 0, false}};
    s.plans = {plan_};
    s.most_units = 4;
    s.peers = true;
    s.peer_messages_per_s = 40;
    s.cancel = true;
    s.max_attempts = 3;
    std::erase_if(out_, [&](const auto& item) { return item.second.gateway == g; });
    auto& decision_module = modules_[static_cast<std::size_t>(g)];
    decision_module = std::make_unique<DecisionModule>(s);
    ServerList list{ListScope::stored, {}};
    for (const auto* name : {"a", "b", "c", "d"})
      list.servers.push_back({name, "z", 0, ServerState::running, 1, 0});
    feed(g, {list});
  }

  void ask(int g, double units) {
    Request request{std::to_string(++id_), "look", "plan", "customer", kSecond, units, 0, t_.gateways};
    units_[request.id] = units;
    feed(g, {request});
  }

  void tick() {
    now_ += kTick;
    store_ = std::min(plan_.ceiling_burst, store_ + plan_.ceiling_rate * kTick / kSecond);
    for (auto letters = std::exchange(mail_, {}); const auto& [to, from, bytes] : letters) {
      if (drawn() >= t_.loss) feed(to, {PeerMessage{from, bytes}});
    }
    auto over = out_;
    for (const auto& [id, attempt] : over) {
      if (attempt.ends > now_) continue;
      out_.erase(id);
      Outcome outcome;
      outcome.request = id.first;
      outcome.attempt = id.second;
      outcome.result = drawn() < 0.1 ? Result::reset : Result::ok;
      outcome.finished = outcome.result == Result::ok;
      outcome.took = attempt.ends - attempt.begun;
      feed(attempt.gateway, {outcome});
    }
    for (int g = 0; g < t_.gateways; ++g) feed(g, {Timer{1}});
  }

  int any(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }
  double lowest() const { return lowest_; }
  int most_out() const { return most_out_; }
  std::size_t sent() const { return sent_; }
  const PlanSettings& plan() const { return plan_; }

 private:
  struct Out {
    int gateway;
    Nanos begun, ends;
  };

  double drawn() { return static_cast<double>(random_() >> 11U) * 0x1p-53; }

  void feed(int g, const std::vector<Event>& events) {
    std::vector<Action> actions;
    modules_[static_cast<std::size_t>(g)]->step(now_, events, actions);
    for (const auto& action : actions) {
      if (const auto* tell = std::get_if<SendToPeer>(&action)) mail_.push_back({tell->to, g, tell->bytes});
      const auto* send = std::get_if<Send>(&action);
      if (!send) continue;
      const int attempt = attempts_[send->request]++;
      if (attempt == 0) {
        ++sent_;
        store_ -= units_.at(send->request);
        lowest_ = std::min(lowest_, store_);
      }
      const auto took = static_cast<Nanos>(static_cast<double>(20 * kMs) * (1 + 9 * drawn()));
      out_[{send->request, attempt}] = {g, now_, now_ + took};
      most_out_ = std::max(most_out_, static_cast<int>(out_.size()));
    }
  }

  struct Letter {
    int to, from;
    std::string bytes;
  };
  const Traits t_;
  std::mt19937_64 random_;
  PlanSettings plan_;
  Nanos now_ = 100 * kSecond;
  std::vector<std::unique_ptr<DecisionModule>> modules_;
  std::vector<Letter> mail_;
  std::map<std::pair<std::string, int>, Out> out_;
  std::map<std::string, double> units_;
  std::map<std::string, int> attempts_;
  double store_ = 0, lowest_ = 1e9;
  int most_out_ = 0;
  std::size_t sent_ = 0;
  std::uint64_t id_ = 0;
};

RC_GTEST_PROP(Limits, CeilingsAndAttemptsOutHoldOverAllGateways, ()) {
  const Traits traits;
  Tier tier(traits);
  const int pace =
      *rc::gen::inRange(1, 6);  // requests a tick: from within the quota to far beyond the ceiling
  const int life = *rc::gen::inRange(20, 200);  // ticks from restart to restart, in the mean
  for (int i = 0; i < 400; ++i) {
    for (int j = 0; j < pace; ++j) tier.ask(tier.any(traits.gateways), 1 + tier.any(4));
    if (tier.any(life) == 0) tier.restart(tier.any(traits.gateways));
    tier.tick();
  }
  RC_ASSERT(tier.lowest() >= -tier.plan().ceiling_slack);
  if (traits.open_limit > 0) RC_ASSERT(tier.most_out() <= std::max(traits.open_limit, traits.gateways));
  RC_ASSERT(tier.sent() > 0U);
}

// Each further attempt goes where, and while, the class allows it; what ends a request says no more than is
// true.
RC_GTEST_PROP(Limits, RepeatsKeepToEffectGroupAndWindow, ()) {
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
  struct Where {
    std::string zone;
    int cell;
  };
  std::map<std::string, Where> where;
  ServerList list{ListScope::stored, {}};
  for (int i = 0; i < 8; ++i) {
    const auto name = "s" + std::to_string(i);
    where[name] = {"z" + std::to_string(i % 2), i % 4};
    list.servers.push_back({name, where[name].zone, where[name].cell, ServerState::running, 1, 0});
  }
  struct Attempt {
    std::string server;
    Nanos sent;
    bool out = true, may_have_run = true;
  };
  std::map<std::string, std::vector<Attempt>> attempts;
  std::set<std::string> over;
  Nanos now = 100 * kSecond;
  const auto feed = [&](const std::vector<Event>& events) {
    std::vector<Action> actions;
    decision_module.step(now, events, actions);
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        RC_ASSERT(!over.contains(send->request));
        auto& earlier = attempts[send->request];
        for (const auto& attempt : earlier) {
          if (attempt.out) RC_ASSERT(s.second_copies);
          if (!attempt.may_have_run) continue;
          RC_ASSERT(repeat != Repeat::unsafe);
          if (repeat == Repeat::safe) continue;
          RC_ASSERT(now < attempt.sent + window);
          RC_ASSERT(send->send_deadline > now && send->send_deadline <= attempt.sent + window);
          const auto &a = where.at(attempt.server), &b = where.at(send->server);
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
      RC_ASSERT(over.insert(id).second);
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
        if (!all[n].out || *rc::gen::inRange(0, 3) > 0) continue;
        Outcome outcome;
        outcome.request = id;
        outcome.attempt = static_cast<int>(n);
        outcome.took = now - all[n].sent;
        outcome.result = *rc::gen::element(Result::ok, Result::reset, Result::error, Result::full,
                                           Result::timeout, Result::connect_failed, Result::not_sent);
        all[n].out = false;
        all[n].may_have_run = outcome.result != Result::full && outcome.result != Result::connect_failed &&
                              outcome.result != Result::not_sent;
        outcome.finished = outcome.result == Result::ok || over.contains(id);
        if (outcome.result == Result::ok) over.insert(id);
        feed({outcome});
        break;
      }
    }
  }
}

}  // namespace
}  // namespace cranemux
