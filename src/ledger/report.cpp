#include "ledger/report.h"

#include <algorithm>
#include <sstream>

namespace cranemux::ledger {
namespace {

double seconds(Time span) { return std::chrono::duration<double>(span).count(); }

const char* words_of(membership::TierCondition trouble) {
  switch (trouble) {
    case membership::TierCondition::some_failed:
      return "some gatekeepers are gone; their customers' quotas begin empty at other keepers";
    case membership::TierCondition::isolated:
      return "this gatekeeper hears none of the others: it is cut off, and gives out its own part only";
    case membership::TierCondition::split:
      return "the tier seems split: the larger side gives out its share, the smaller its parts";
    case membership::TierCondition::all_restarted:
      return "all gatekeepers have begun within seconds: quotas fill from nothing";
    case membership::TierCondition::healthy:
      break;
  }
  return "all gatekeepers are heard";
}

}  // namespace

std::string tier_report(const Transport& mail, const Ledgers& ledgers, std::size_t on_parts, Time now) {
  std::ostringstream out;
  out.precision(1);
  out << std::fixed;
  const auto& members = *mail.members();
  const auto& rights = *mail.leader_election();
  for (int m = 0; m < members.size(); ++m) {
    const auto& member = members.member(m);
    out << "member " << m;
    if (m == members.self()) {
      out << " this one, for " << seconds(now - members.started_at()) << " s"
          << (rights.settled(now) ? "" : ", votes for nobody yet") << '\n';
      continue;
    }
    out << ' ' << membership::kStateNames[static_cast<std::size_t>(member.state)] << " for "
        << seconds(now - member.state_since) << " s, in " << member.generations_seen << " lives"
        << (rights.failed(m) ? ", not heard: its ledgers are kept by others" : "") << '\n';
  }
  out << "tier: " << words_of(members.tier_condition(now)) << '\n';
  const auto& all = ledgers.all();
  const auto held = std::count_if(all.begin(), all.end(),
                                  [&](const auto& item) { return ledgers.has_leadership(item.first, now); });
  out << "ledgers " << all.size() << ", with the right to keep " << held << ", handed over "
      << ledgers.transfers_started() << ", taken over " << ledgers.transfers_received() << '\n';
  out << "customers on this gatekeeper's part " << on_parts << '\n';
  return out.str();
}

}  // namespace cranemux::ledger
