#include "ledger/report.h"

#include <algorithm>
#include <sstream>

namespace cranemux::ledger {
namespace {

double seconds(Time span) { return std::chrono::duration<double>(span).count(); }

const char* describe(membership::TierCondition trouble) {
  switch (trouble) {
    case membership::TierCondition::some_failed:
      return "some gatekeepers have failed; their customers' quotas restart empty at other leaders";
    case membership::TierCondition::isolated:
      return "this gatekeeper hears none of the others: it is isolated, and uses its own fallback share only";
    case membership::TierCondition::split:
      return "the tier seems split: the larger side grants its share, the smaller uses its fallback shares";
    case membership::TierCondition::all_restarted:
      return "all gatekeepers have begun within seconds: quotas fill from nothing";
    case membership::TierCondition::healthy:
      break;
  }
  return "all gatekeepers are heard";
}

}  // namespace

std::string tier_report(const Transport& transport, const Ledgers& ledgers, std::size_t on_fallback,
                        Time now) {
  std::ostringstream out;
  out.precision(1);
  out << std::fixed;
  const auto& members = *transport.members();
  const auto& election = *transport.leader_election();
  for (int m = 0; m < members.size(); ++m) {
    const auto& member = members.member(m);
    out << "member " << m;
    if (m == members.self()) {
      out << " this one, for " << seconds(now - members.started_at()) << " s"
          << (election.settled(now) ? "" : ", does not vote yet") << '\n';
      continue;
    }
    out << ' ' << membership::kStateNames[static_cast<std::size_t>(member.state)] << " for "
        << seconds(now - member.state_since) << " s, in " << member.generations_seen << " generations"
        << (election.failed(m) ? ", not heard: others lead its ledgers" : "") << '\n';
  }
  out << "tier: " << describe(members.tier_condition(now)) << '\n';
  const auto& all = ledgers.all();
  const auto led = std::count_if(all.begin(), all.end(),
                                 [&](const auto& item) { return ledgers.has_leadership(item.first, now); });
  out << "ledgers " << all.size() << ", with leadership " << led << ", transfers started "
      << ledgers.transfers_started() << ", transfers received " << ledgers.transfers_received() << '\n';
  out << "customers on this gatekeeper's fallback share " << on_fallback << '\n';
  return out.str();
}

}  // namespace cranemux::ledger
