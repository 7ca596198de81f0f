// The bound on what goes beyond quotas, from the settings alone.
#include "ledger/quota_bound.h"

#include <iomanip>
#include <iostream>
#include <sstream>

#include "cli/commands.h"
#include "config/services.h"
#include "json/json.h"

namespace cranemux::cli {
namespace {

using std::chrono::nanoseconds;

json::Value text(const std::string& value) {
  json::Value out;
  out.data = value;
  return out;
}
json::Value number(double value) {
  std::ostringstream out;
  out << value;
  json::Value made;
  made.data = json::Number{out.str()};
  return made;
}
json::Value object(json::Object members) {
  json::Value out;
  out.data = std::move(members);
  return out;
}

json::Value as_json(const std::vector<ledger::Term>& terms) {
  json::Array out;
  for (const auto& term : terms) {
    out.push_back(
        object({{"term", text(term.name)}, {"formula", text(term.formula)}, {"units", number(term.units)}}));
  }
  json::Value made;
  made.data = std::move(out);
  return made;
}

void print(const std::vector<ledger::Term>& terms) {
  for (const auto& term : terms) {
    std::cout << "    " << std::setw(10) << term.units << "  " << term.name << ": " << term.formula << '\n';
  }
}

}  // namespace

int quota_bound(const QuotaBoundCommand& command) {
  const auto services = config::load_services(command.file, environment);
  if (services.pools.empty())
    throw config::Error(command.file + ": pools: there is none, so there is no quota");
  const auto& settings = services.pools.begin()->second.settings;
  ledger::Tier tier;
  tier.gatekeepers = command.gatekeepers > 0 ? command.gatekeepers : settings.gateways;
  tier.messages_per_s = settings.peer_messages_per_s;
  tier.delay = nanoseconds(static_cast<std::int64_t>(command.delay_ms * 1e6));
  tier.loss = command.loss;
  tier.restarts_per_minute = command.restarts;
  tier.splits_per_minute = command.splits;
  tier.guarded = settings.guarded;
  const nanoseconds window(static_cast<std::int64_t>(command.window_s * 1e9));
  json::Array plans;
  if (!command.as_json) {
    std::cout << "quotas are " << (tier.guarded ? "guarded" : "trusting") << ", " << tier.gatekeepers
              << " gatekeepers; in units, for each customer of a plan\n"
              << std::fixed << std::setprecision(2);
  }
  for (const auto& p : settings.plans) {
    if (p.rate <= 0) continue;
    const ledger::Plan plan{p.name, p.rate, p.burst, settings.most_units};
    const auto bound = ledger::compute_bound(tier, plan);
    if (command.as_json) {
      plans.push_back(object({{"plan", text(p.name)},
                              {"beyond", number(bound.units)},
                              {"share", number(bound.share(plan, window))},
                              {"terms", as_json(bound.terms)},
                              {"lost", as_json(bound.lost)}}));
      continue;
    }
    std::cout << p.name << ": at most " << bound.units << " beyond " << p.rate << " x seconds + " << p.burst
              << " (" << 100 * bound.share(plan, window) << "% of " << command.window_s << " s)\n";
    print(bound.terms);
    if (!bound.lost.empty()) std::cout << "  what a failure may cost the customer, refused with room:\n";
    print(bound.lost);
  }
  if (command.as_json) {
    json::Value list;
    list.data = std::move(plans);
    std::string out;
    json::write(out, object({{"guarded",
                              [&] {
                                json::Value v;
                                v.data = tier.guarded;
                                return v;
                              }()},
                             {"gatekeepers", number(tier.gatekeepers)},
                             {"window_s", number(command.window_s)},
                             {"plans", std::move(list)}}));
    std::cout << out << '\n';
  }
  return 0;
}

}  // namespace cranemux::cli
