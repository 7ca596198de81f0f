#include "testing/rules.h"

#include <algorithm>
#include <set>

namespace cranemux::testing {
namespace {

constexpr std::chrono::seconds kDrainGrace{1};
constexpr std::chrono::milliseconds kLeaveGrace{100};  // an attempt may begin so long after its client left

}  // namespace

void Rules::asked(const std::string& id, bool safe, const std::string& customer, double units, Time at,
                  Span deadline) {
  auto& ask = asks_[id];
  ask.safe = safe;
  ask.customer = customer;
  ask.units = units;
  ask.at = at;
  ask.deadline = deadline;
}

void Rules::answered(const std::string& id, int status, Time at) {
  asks_[id].answers.emplace_back(status, at);
}

// Stand-in nodes end a good body with the request's id.
void Rules::served(const std::string& id, const std::string& body) {
  const auto other = body.substr(body.rfind(' ') + 1);
  if (other != id && asks_.contains(other)) asks_[id].answer_of = other;
}

void Rules::left(const std::string& id, Time at) { asks_[id].left = at; }

void Rules::lost_with_process(const std::string& id) { asks_[id].lost_with_process = true; }

void Rules::begun(const std::string& id, const std::string& node, Time at) {
  for (const auto& look : looks_) look(id);
  auto& ask = asks_[id];
  ask.most_out = std::max(ask.most_out, ++ask.out);
  begins_.push_back({id, node, at});
}

void Rules::ran(const std::string& id) { ++asks_[id].runs; }

void Rules::cut(const std::string& id) { ++asks_[id].cuts; }

void Rules::over(const std::string& id, Time) { --asks_[id].out; }

void Rules::drained(const std::string& node, Time at) { drains_[node].push_back({at, Time::max()}); }

void Rules::serves(const std::string& node, Time at) {
  auto& drains = drains_[node];
  if (!drains.empty()) drains.back().until = at;
}

std::size_t Rules::answers(int status) const {
  return static_cast<std::size_t>(std::count_if(asks_.begin(), asks_.end(), [&](const auto& item) {
    return !item.second.answers.empty() && item.second.answers.front().first == status;
  }));
}

std::size_t Rules::runs(const std::string& id) const {
  const auto at = asks_.find(id);
  return at == asks_.end() ? 0 : at->second.runs;
}

std::vector<std::string> Rules::broken(Span slack) const {
  std::vector<std::string> out;
  for (const auto& [id, ask] : asks_) {
    if (!untold_.empty() && id.starts_with(untold_)) continue;
    const bool excused = ask.left || ask.lost_with_process;
    if (ask.answers.empty() && !excused) out.push_back(id + " has no final answer");
    if (ask.answers.size() > 1) out.push_back(id + " has " + std::to_string(ask.answers.size()) + " answers");
    if (!ask.answers.empty() && ask.answers.front().second > ask.at + ask.deadline + slack) {
      out.push_back(id + " was answered past its deadline");
    }
    if (!ask.answer_of.empty()) out.push_back(id + " got the answer to " + ask.answer_of);
    if (ask.most_out > 1) out.push_back(id + " had two call attempts out at once");
    if (ask.cuts > 0 && !excused) out.push_back(id + " was cut off while its node wrote the answer");
    if (!ask.safe && ask.runs > 1)
      out.push_back(id + " may not be repeated and ran " + std::to_string(ask.runs) + " times");
    for (const auto& [status, at] : ask.answers) {
      if (status == 200 && ask.runs == 0) out.push_back(id + " was served and never ran");
      if (!ask.safe && ask.runs > 0 && (status == 429 || status == 503)) {
        out.push_back(id + " ran and was called harmless to repeat");
      }
    }
  }
  for (const auto& begin : begins_) {
    const auto& left = asks_.at(begin.id).left;
    if (left && begin.at > *left + kLeaveGrace + slack)
      out.push_back(begin.id + " was sent on after its client had left");
    const auto drains = drains_.find(begin.node);
    if (drains == drains_.end()) continue;
    for (const auto& drain : drains->second) {
      if (begin.at > drain.from + kDrainGrace + slack && begin.at < drain.until) {
        out.push_back(begin.id + " was sent to " + begin.node + " past its drain's grace");
      }
    }
  }
  return out;
}

double Rules::units_begun(const std::string& customer) const {
  std::set<std::string> counted;
  double units = 0;
  for (const auto& begin : begins_) {
    const auto& ask = asks_.at(begin.id);
    if (!customer.empty() && ask.customer != customer) continue;
    if (counted.insert(begin.id).second) units += ask.units;
  }
  return units;
}

double Rules::beyond_quota(const std::string& customer, double rate, double burst) const {
  std::set<std::string> counted;  // a try counts once, when it is first sent on
  std::optional<Time> before;
  double store = burst, beyond = 0;
  for (const auto& begin : begins_) {
    const auto& ask = asks_.at(begin.id);
    if (ask.customer != customer || !counted.insert(begin.id).second) continue;
    if (before)
      store = std::min(burst, store + rate * std::chrono::duration<double>(begin.at - *before).count());
    before = begin.at;
    if (store >= ask.units) {
      store -= ask.units;
    } else {
      beyond += ask.units;
    }
  }
  return beyond;
}

std::vector<Rules::Spent> Rules::spent_by(const std::string& customer) const {
  std::set<std::string> counted;
  std::vector<Spent> out;
  for (const auto& begin : begins_) {
    const auto& ask = asks_.at(begin.id);
    if (ask.customer == customer && counted.insert(begin.id).second)
      out.push_back({begin.id, begin.at, ask.units});
  }
  return out;
}

namespace {
double seconds_between(Rules::Time from, Rules::Time until) {
  return std::chrono::duration<double>(until - from).count();
}
}  // namespace

double Rules::worst_window(const std::string& customer, double rate, double burst, Span least) const {
  const auto spent = spent_by(customer);
  const double shortest = std::chrono::duration<double>(least).count();
  double worst = 0;
  for (std::size_t i = 0; i < spent.size(); ++i) {
    double units = 0;
    for (std::size_t j = i; j < spent.size(); ++j) {
      units += spent[j].units;
      const double time = std::max(shortest, seconds_between(spent[i].at, spent[j].at));
      worst = std::max(worst, units / (rate * time + burst));
    }
  }
  return worst;
}

Rules::Excess Rules::worst_excess(const std::string& customer, double rate, double burst) const {
  // Of all windows that end here, the one that is furthest beyond (J. Kadane's running sum).
  Excess worst;
  double running = 0;
  std::optional<Time> before;
  Time from;
  for (const auto& one : spent_by(customer)) {
    if (before) running -= rate * seconds_between(*before, one.at);
    if (!before || running <= 0) {
      running = 0;
      from = one.at;
    }
    before = one.at;
    running += one.units;
    if (running - burst > worst.units) worst = {running - burst, from, one.at};
  }
  return worst;
}

std::pair<std::size_t, std::size_t> Rules::refused_with_room(const std::string& customer, double rate,
                                                             double burst) const {
  const auto spent = spent_by(customer);
  std::size_t refused = 0, tries = 0;
  for (const auto& [id, ask] : asks_) {
    if (ask.customer != customer) continue;
    ++tries;
    if (ask.answers.empty() || (ask.answers.front().first != 429 && ask.answers.front().first != 503))
      continue;
    double store = burst;
    std::optional<Time> before;
    const auto fill = [&](Time until) {
      if (before) store = std::min(burst, store + rate * seconds_between(*before, until));
      before = until;
    };
    for (const auto& one : spent) {
      if (one.at > ask.at) break;
      fill(one.at);
      store = std::max(0.0, store - one.units);
    }
    if (before) fill(ask.at);
    refused += store >= std::max(ask.units, burst / 2);
  }
  return {refused, tries};
}

}  // namespace cranemux::testing
