#include "config/settings.h"

#include "ledger/rights.h"

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

void check(const Settings& s) {
  const auto need = [](bool good, const char* what) {
    if (!good) throw std::invalid_argument(std::string("cranemux: ") + what);
  };
  need(!s.guarded || s.gateways <= ledger::kMostGuarded, "too many gateways for guarded quotas");
  need(s.gateways >= 1 && s.index >= 0 && s.index < s.gateways, "index must lie within gateways");
  need(!s.classes.empty() && s.max_attempts >= 1 && s.most_units > 0, "a class, an attempt and a unit");
  for (const auto& c : s.classes) need(c.aim > 0, "a class needs an aim above 0");
  for (const auto& p : s.plans) {
    need(p.rate >= 0 && p.burst >= 0 && p.open_limit >= 0 && p.ceiling_rate >= 0, "a plan is below 0");
  }
}

}  // namespace cranemux::config
