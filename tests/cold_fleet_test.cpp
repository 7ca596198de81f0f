// What cold servers get from a whole fleet of gateways in virtual time: never more, in any window of the
// settings, than the settings allow plus chance, by the sum of all; and still their part of the work.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "cranemux/decision_module.h"

namespace cranemux {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;
constexpr Nanos kBegin = 100 * kSecond;

struct Case {
  int gateways = 3;
  double load = 0.65;     // of what all servers can do when they are warm
  int replaced = 6;       // of ten, all at once
  double multiple = 2;    // of the settings
  bool restarts = false;  // a third of the gateways start anew while the new servers are cold
  bool told = true;       // the settings say that servers start cold
  std::uint64_t seed = 1;
};

std::ostream& operator<<(std::ostream& out, const Case& c) {
  return out << c.gateways << " gateways, load " << c.load << ", " << c.replaced
             << " of ten replaced, multiple " << c.multiple << (c.restarts ? ", restarts" : "");
}

// Ten servers that each do 30 requests a second when warm, first come, first served.
class Fleet {
 public:
  explicit Fleet(const Case& c) : case_(c), random_(c.seed) {
    for (int i = 0; i < 10; ++i) add("old" + std::to_string(i), 0);
    for (int g = 0; g < c.gateways; ++g) start(g);
  }

  void run() {
    play(8 * kSecond);
    std::vector<ServerEntry> changes;
    for (int i = 0; i < case_.replaced; ++i) {
      auto old = entry("old" + std::to_string(i));
      old.state = ServerState::removed;
      changes.push_back(old);
      servers_.erase(old.id);
      changes.push_back(add("new" + std::to_string(i), now_));
    }
    for (int g = 0; g < case_.gateways; ++g) feed(g, {ServerList{ListScope::changes, changes}});
    play(1500 * kMs);
    for (int g = 0; case_.restarts && g < case_.gateways; g += 3) start(g);
    play(14 * kSecond);
  }

  // The worst window: how many more were sent than the settings allow, in roots of that, less two; and all
  // that the new servers got.
  std::pair<double, std::size_t> worst() const {
    double worst = -1e9;
    std::size_t got = 0;
    for (const auto& [id, server] : servers_) {
      if (server.started == 0) continue;
      got += server.sent.size();
      for (std::size_t a = 0; a < server.sent.size(); ++a) {
        const auto end = std::upper_bound(server.sent.begin(), server.sent.end(), server.sent[a] + kSecond);
        const auto allowed = case_.multiple * warmth(server.started, server.sent[a]) * kPerSecond;
        const auto sent = static_cast<double>(end - server.sent.begin()) - static_cast<double>(a);
        worst = std::max(worst, (sent - 2 - allowed) / std::sqrt(allowed));
      }
    }
    return {worst, got};
  }

 private:
  static constexpr double kPerSecond = 30, kColdFrom = 0.2;
  static constexpr Nanos kWarmUp = 10 * kSecond;
  struct Server {
    Nanos started = 0, free = 0;
    std::deque<Nanos> sent;
  };

  Settings settings(int g) {
    Settings s;
    s.seed = random_();
    s.gateways = case_.gateways;
    s.index = g;
    s.zone = "here";
    s.classes = {{"look", 800 * kMs, 2 * kSecond, 0, 1, Repeat::safe, RepeatScope::all, 0, false}};
    s.plans = {{"any", 100, 1000, 0, 0, 0, 0, 1, 0, 0}};
    s.peers = true;
    s.peer_messages_per_s = 40;
    s.cancel = true;
    s.max_attempts = 4;
    s.cold_from = kColdFrom;
    s.warm_up = case_.told ? kWarmUp : 0;
    s.fall_multiple = case_.multiple;
    s.fall_window = kSecond;
    return s;
  }
  static double warmth(Nanos started, Nanos now) {
    if (started == 0) return 1;
    const auto part = static_cast<double>(now - started) / static_cast<double>(kWarmUp);
    return std::min(1.0, kColdFrom + (1 - kColdFrom) * part);
  }
  ServerEntry entry(const std::string& id) const {
    return {id, "here", 0, ServerState::running, 1, servers_.at(id).started};
  }
  ServerEntry add(const std::string& id, Nanos started) {
    servers_[id].started = started;
    return entry(id);
  }

  void start(int g) {
    const auto at = static_cast<std::size_t>(g);
    if (modules_.size() <= at) modules_.resize(at + 1), lives_.resize(at + 1), timers_.resize(at + 1);
    modules_[at] = std::make_unique<DecisionModule>(settings(g));
    ++lives_[at];
    timers_[at] = 0;
    ServerList list{ListScope::stored, {}};
    for (const auto& [id, server] : servers_) list.servers.push_back(entry(id));
    feed(g, {list});
  }

  void feed(int g, const std::vector<Event>& events) {
    const auto at = static_cast<std::size_t>(g);
    std::vector<Action> actions;
    modules_[at]->step(now_, events, actions);
    for (const auto& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_[at] = timer->at;
      if (const auto* send = std::get_if<Send>(&action)) sent(g, *send);
    }
  }

  void sent(int g, const Send& send) {
    const auto at = servers_.find(send.server);
    if (at == servers_.end()) return;
    auto& server = at->second;
    server.sent.push_back(now_);
    const auto work =
        std::exponential_distribution<double>(kPerSecond * warmth(server.started, now_))(random_);
    server.free = std::max(server.free, now_) + static_cast<Nanos>(work * kSecond);
    Outcome outcome;
    outcome.request = send.request;
    outcome.attempt = attempts_[{g, send.request}]++;
    const auto given_up = now_ + send.timeout;
    outcome.result = server.free <= given_up ? Result::ok : Result::timeout;
    outcome.finished = outcome.result == Result::ok;
    outcome.took = std::min(server.free, given_up) - now_;
    later_.push({now_ + outcome.took, lives_[static_cast<std::size_t>(g)], g, outcome});
  }

  void play(Nanos time) {
    for (const auto until = now_ + time; now_ < until; now_ += 10 * kMs) {
      while (!later_.empty() && later_.top().at <= now_) {
        const auto next = later_.top();
        later_.pop();
        if (next.life == lives_[static_cast<std::size_t>(next.gateway)]) feed(next.gateway, {next.outcome});
      }
      for (int g = 0; g < case_.gateways; ++g) {
        if (timers_[static_cast<std::size_t>(g)] <= now_) feed(g, {Timer{1}});
      }
      const auto arrivals = std::poisson_distribution<int>(case_.load * 10 * kPerSecond * 0.01)(random_);
      for (int i = 0; i < arrivals; ++i) {
        Request request;
        request.id = std::to_string(++id_);
        request.klass = "look";
        request.plan = "any";
        request.customer = request.id;
        request.budget = 2 * kSecond;
        request.first = static_cast<int>(random_() % static_cast<unsigned>(case_.gateways));
        feed(request.first, {request});
      }
    }
  }

  struct Later {
    Nanos at;
    int life, gateway;
    Outcome outcome;
    bool operator<(const Later& other) const { return at > other.at; }
  };

  const Case case_;
  std::mt19937_64 random_;
  Nanos now_ = kBegin;
  std::map<std::string, Server> servers_;
  std::vector<std::unique_ptr<DecisionModule>> modules_;
  std::vector<int> lives_;
  std::vector<Nanos> timers_;
  std::priority_queue<Later> later_;
  std::map<std::pair<int, std::string>, int> attempts_;
  std::uint64_t id_ = 0;
};

class Cold : public ::testing::TestWithParam<Case> {};

TEST_P(Cold, TheSumOfAllGatewaysStaysWithinTheBudgetAndChance) {
  Fleet fleet(GetParam());
  fleet.run();
  const auto [roots, got] = fleet.worst();
  RecordProperty("roots", std::to_string(roots));
  EXPECT_LE(roots, 2.0);
  EXPECT_GT(got, 100U * static_cast<unsigned>(std::min(GetParam().replaced, 3)));  // they are used, too
}

// The measure can fail: gateways that know of no cold start push them over.
TEST(ColdFleet, ServersThatAreNotKnownToBeColdGetTooMuch) {
  for (const int gateways : {30, 100}) {
    Case c{gateways, 0.95, 3, 1.5};
    c.told = false;
    Fleet fleet(c);
    fleet.run();
    EXPECT_GT(fleet.worst().first, 2.0) << gateways;
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, Cold,
                         ::testing::Values(Case{3}, Case{30}, Case{300}, Case{3, 0.65, 1}, Case{30, 0.65, 1},
                                           Case{3, 0.95, 6}, Case{30, 0.95, 6}, Case{3, 0.65, 8},
                                           Case{30, 0.65, 8}, Case{30, 0.65, 8, 2, true},
                                           Case{300, 0.65, 6, 2, true}, Case{3, 0.6, 6, 2.5, true},
                                           Case{20, 0.9, 4, 2.5, true}, Case{3, 0.95, 3, 1.5},
                                           Case{30, 0.95, 3, 1.5}));

}  // namespace
}  // namespace cranemux
