// How far beyond its quota a customer can get, in units and in advance, term by term, where quotas are
// guarded; and what trusting gatekeepers risk. docs/quota-bound.md derives each term. Free of I/O.
#pragma once

#include <string>
#include <vector>

#include "ledger/leader_election.h"

namespace cranemux::ledger {

struct Tier {
  int gatekeepers = 1;
  double messages_per_s = 40;                 // that one takes in
  Time delay{std::chrono::milliseconds(15)};  // of a message, mostly
  double loss = 0.05;
  double restarts_per_minute = 0;  // of single gatekeepers
  double splits_per_minute = 0;
  bool guarded = false;
};
struct Plan {
  std::string name;
  double rate = 0, burst = 0, most_units = 1;
};
struct Term {
  std::string name, formula;
  double units = 0;
};
struct Bound {
  std::vector<Term> terms;  // beyond rate × time + burst, in any window
  double units = 0;         // together
  // Of a window of that length: the terms as a share of what the quota allows in it.
  double share(const Plan& plan, Time window) const;
  // Units that are lost to a customer by one failure, and so may be refused with room: only for who is near
  // its quota.
  std::vector<Term> lost;
};

Bound compute_bound(const Tier& tier, const Plan& plan);

constexpr Time kGuardedLeaseTime =
    std::chrono::milliseconds(250);                            // of a grant, from the ask that it answers
constexpr Time kRefusalTime = std::chrono::milliseconds(500);  // a keeper's word that it has no right

}  // namespace cranemux::ledger
