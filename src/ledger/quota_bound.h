// An upper bound, known in advance, on the units that a customer can use beyond its quota: term by term where
// quotas are guarded, and an estimate of the risk where they are trusting. docs/quota-bound.md derives each
// term. Free of I/O.
#pragma once

#include <string>
#include <vector>

#include "ledger/leader_election.h"

namespace cranemux::ledger {

// What the bound assumes of a tier.
struct Tier {
  int gatekeepers = 1;
  double messages_per_s = 40;                 // that one gatekeeper receives
  Time delay{std::chrono::milliseconds(15)};  // that most messages do not exceed
  double loss = 0.05;                         // share of messages lost
  double restarts_per_minute = 0;             // of single gatekeepers
  double splits_per_minute = 0;
  bool guarded = false;
};
// The quota of a plan: units a second, units, and units of the largest request.
struct Plan {
  std::string name;
  double rate = 0, burst = 0, most_units = 1;
};
// One cause of overuse or of loss, as an operator reads it.
struct Term {
  std::string name, formula;
  double units = 0;
};
struct Bound {
  std::vector<Term> terms;  // units beyond rate × time + burst, in any window
  double units = 0;         // the sum of the terms
  // Returns `units` as a share of what the quota allows in a window of that length.
  double share(const Plan& plan, Time window) const;
  // Units that one failure takes from a customer, so that it may be refused within its quota. Only a customer
  // near its quota notices.
  std::vector<Term> lost;
};

Bound compute_bound(const Tier& tier, const Plan& plan);

// A grant of a guarded quota expires this long after the request that it answers was sent.
constexpr Time kGuardedLeaseTime = std::chrono::milliseconds(250);
// For this long a gatekeeper relies on a leader's answer that it has no leadership.
constexpr Time kRefusalTime = std::chrono::milliseconds(500);

}  // namespace cranemux::ledger
