#include "config/settings.h"

#include "ledger/leader_election.h"

namespace cranemux::config {

const std::string* find(const Fields& fields, std::string_view name) {
  const auto found = fields.find(name);
  return found == fields.end() ? nullptr : &found->second;
}

std::string text_of(const Fields& fields, std::string_view name) {
  const auto* value = find(fields, name);
  return value ? *value : std::string();
}

bool flag_of(const Fields& fields, std::string_view name) {
  const auto value = text_of(fields, name);
  return value == "1" || value == "true";
}

std::string required(const Fields& fields, std::string_view name) {
  const auto* value = find(fields, name);
  if (!value || value->empty()) throw ParseError("no " + std::string(name));
  return *value;
}

Settings parse_settings(const Fields& info) {
  Settings s;
  s.seed = number_of<std::uint64_t>(info, "entropy");
  s.gateways = number_of<int>(info, "balancers", 1);
  s.index = number_of<int>(info, "index");
  s.zone = text_of(info, "zone");
  s.most_units = number_of<double>(info, "specifics.most-units", 1.0);
  s.settles = flag_of(info, "specifics.trued-up");
  s.peer_messages_per_s = number_of<double>(info, "specifics.mail-per-s");
  s.peers = flag_of(info, "caps.peers");
  s.probes = flag_of(info, "caps.probes");
  s.cancel = flag_of(info, "caps.cancel");
  s.second_copies = flag_of(info, "caps.second-copies");
  s.retry_after = flag_of(info, "caps.retry-after");
  s.list_on_request = text_of(info, "discovery") == "on_request";
  s.load_in_answers = text_of(info, "stats.source") == "piggyback";
  s.load_in_probes = s.load_in_answers || text_of(info, "stats.source") == "pull";
  s.max_attempts = number_of<int>(info, "caps.most-tries", 1);
  s.max_retry_after = number_of<Nanos>(info, "caps.max-retry-after-ns");
  s.connection_price = number_of<double>(info, "charges.handshake");
  s.connection_idle = number_of<Nanos>(info, "caps.conn-idle-ns", 30'000'000'000);
  s.quantum = number_of<Nanos>(info, "quantum-ns");
  s.ask_within = number_of<Nanos>(info, "invariants.ask-within-ns");
  s.drain_grace = number_of<Nanos>(info, "invariants.drain-grace-ns");
  s.cold_from = number_of<double>(info, "invariants.cold-from", 1.0);
  s.warm_up = number_of<Nanos>(info, "invariants.warm-up-ns");
  s.fall_multiple = number_of<double>(info, "invariants.fall-multiple");
  s.fall_window = number_of<Nanos>(info, "invariants.tip-after-ns");
  for (int i = 0; i < number_of<int>(info, "classes.count"); ++i) {
    const auto at = "classes." + std::to_string(i) + ".";
    ClassSettings c;
    c.name = text_of(info, at + "name");
    c.aim = number_of<Nanos>(info, at + "goal-time-ns");
    c.give_up = number_of<Nanos>(info, at + "give-up-ns");
    c.late_share = number_of<double>(info, at + "late-share");
    c.worth = number_of<double>(info, at + "points", 1.0);
    c.repeat =
        choose<Repeat>(required(info, at + "semantics"), "semantics",
                       {{"free", Repeat::safe}, {"guarded", Repeat::keyed}, {"single_shot", Repeat::unsafe}});
    if (find(info, at + "dedup-scope")) {
      c.scope = choose<RepeatScope>(
          text_of(info, at + "dedup-scope"), "dedup-scope",
          {{"all", RepeatScope::all}, {"zone", RepeatScope::zone}, {"cell", RepeatScope::cell}});
    }
    c.window = number_of<Nanos>(info, at + "memory-span-ns");
    c.stream = flag_of(info, at + "stream");
    s.classes.push_back(std::move(c));
  }
  for (int i = 0; i < number_of<int>(info, "contracts.count"); ++i) {
    const auto at = "contracts." + std::to_string(i) + ".";
    PlanSettings p;
    p.name = text_of(info, at + "name");
    p.rate = number_of<double>(info, at + "per-second");
    p.burst = number_of<double>(info, at + "peak-units");
    p.open_limit = number_of<int>(info, at + "at-once");
    p.ceiling_rate = number_of<double>(info, at + "ceiling-rate");
    p.ceiling_burst = number_of<double>(info, at + "cap-depth");
    p.ceiling_slack = number_of<double>(info, at + "tolerance");
    p.price = number_of<double>(info, at + "pays", 1.0);
    p.over_worth = number_of<double>(info, at + "over-worth");
    p.over_cost = number_of<double>(info, at + "excess-cost");
    s.plans.push_back(std::move(p));
  }
  return s;
}

namespace {

// Collects what is wrong, each with its key as the configuration names it and what may stand there.
class Faults {
 public:
  void need(bool good, const std::string& key, const char* what) {
    if (!good) list.push_back(key + ": " + what);
  }
  void least(double value, double least, const std::string& key, const char* what) {
    need(value >= least && value <= kMost, key, what);  // also where it is no number
  }

  std::vector<std::string> list;

 private:
  static constexpr double kMost = 1e18;
};

void check_class(const ClassSettings& c, const std::string& at, Faults& faults) {
  faults.need(!c.name.empty(), at + "name", "must not be empty");
  faults.need(c.aim > 0, at + "goal-time-ns", "must be above 0: the time within which an answer is wanted");
  faults.need(c.give_up >= 0, at + "give-up-ns", "must not be below 0");
  faults.need(c.late_share >= 0 && c.late_share <= 1, at + "late-share", "must lie within 0 and 1");
  faults.least(c.worth, 0, at + "points", "must not be below 0");
  faults.need(c.repeat != Repeat::keyed || c.window > 0, at + "memory-span-ns",
              "a guarded class needs the time for which repeats are dropped; one without is single_shot");
}

void check_plan(const PlanSettings& p, const std::string& at, Faults& faults) {
  faults.need(!p.name.empty(), at + "name", "must not be empty");
  faults.least(p.rate, 0, at + "per-second", "must not be below 0");
  faults.need(p.open_limit >= 0, at + "at-once", "must not be below 0");
  faults.need(p.rate <= 0 || (p.burst > 0 && p.burst <= 1e18), at + "peak-units",
              "must be above 0 where per-second is: nothing could ever be sent");
  faults.least(p.ceiling_rate, 0, at + "ceiling-rate", "must not be below 0");
  faults.need(p.ceiling_rate <= 0 || p.ceiling_rate >= p.rate, at + "ceiling-rate",
              "must not be below per-second: the quota could not be used");
  faults.need(p.ceiling_rate <= 0 || p.ceiling_burst > 0, at + "cap-depth",
              "must be above 0 where ceiling-rate is: nothing could ever be sent");
  faults.least(p.ceiling_slack, 0, at + "tolerance", "must not be below 0");
  faults.least(p.price, 0, at + "pays", "must not be below 0");
  faults.least(p.over_worth, 0, at + "over-worth", "must not be below 0");
  faults.least(p.over_cost, 0, at + "excess-cost", "must not be below 0");
}

template <typename Items>
void check_names(const Items& items, const std::string& key, Faults& faults) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      faults.need(items[i].name != items[j].name, key + "." + std::to_string(i) + ".name", "is there twice");
    }
  }
}

}  // namespace

std::vector<std::string> faults_of(const Settings& s) {
  Faults faults;
  faults.need(s.gateways >= 1, "balancers", "must be 1 or more");
  faults.need(s.index >= 0 && s.index < s.gateways, "index", "must lie within balancers, from 0");
  faults.need(
      s.dedicated_leaders >= 0 && s.dedicated_leaders < s.gateways && !(s.guarded && s.dedicated_leaders > 0),
      "keepers", "must be fewer than the gatekeepers, and none where quotas are guarded");
  faults.need(!s.guarded || s.gateways <= ledger::kMaxGuardedMembers, "balancers",
              "too many for guarded quotas");
  faults.need(!s.classes.empty(), "classes", "must hold a class");
  faults.need(s.max_attempts >= 1, "caps.most-tries", "must be 1 or more");
  faults.need(s.max_retry_after >= 0, "caps.max-retry-after-ns", "must not be below 0");
  faults.need(s.connection_idle >= 0, "caps.conn-idle-ns", "must not be below 0");
  faults.need(s.most_units > 0 && s.most_units <= 1e9, "specifics.most-units", "must be above 0");
  faults.least(s.peer_messages_per_s, 0, "specifics.mail-per-s", "must not be below 0");
  faults.need(s.drain_grace >= 0, "invariants.drain-grace-ns", "must not be below 0");
  faults.need(s.cold_from >= 0 && s.cold_from <= 1, "invariants.cold-from", "must lie within 0 and 1");
  faults.need(s.warm_up >= 0, "invariants.warm-up-ns", "must not be below 0");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    check_class(s.classes[i], "classes." + std::to_string(i) + ".", faults);
  }
  for (std::size_t i = 0; i < s.plans.size(); ++i) {
    check_plan(s.plans[i], "contracts." + std::to_string(i) + ".", faults);
  }
  check_names(s.classes, "classes", faults);
  check_names(s.plans, "contracts", faults);
  return faults.list;
}

void check(const Settings& settings) {
  const auto faults = faults_of(settings);
  if (faults.empty()) return;
  std::string all = "cranemux:";
  for (const auto& fault : faults) all += " " + fault + ";";
  all.pop_back();
  throw std::invalid_argument(all);
}

}  // namespace cranemux::config
