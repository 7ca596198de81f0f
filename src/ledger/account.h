// What a gatekeeper knows of a customer whose requests come through it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "cranemux/decision_module.h"
#include "ledger/ledger.h"
#include "ledger/optimistic_lease.h"
#include "ledger/split.h"

namespace cranemux::ledger {

struct Account {                       // one customer, as each of its gateways sees it
  const PlanSettings* plan = nullptr;  // unknown until its first request here
  std::uint32_t hash = 0;
  int first = 0, spread = 1;       // its set
  int shards = 1, shard = 0;       // of its ledger, and whose keeper is asked
  int last_answered_shard = -1;    // whose level was told last
  int leader = -1;                 // asked last ...
  std::uint32_t leader_epoch = 0;  // ... after so many changes
  double tokens = 0;               // D: units left, as last told, filled and less own use
  double confirmed_tokens = 0;     // D by the last word of it, less own use since
  double borrowable = 0;           // what may be borrowed of the own next share until there is word again
  double reported_allowance =
      0;                      // D as told, with what is granted here: for those who ask what they may yet use
  double ceiling_tokens = 0;  // own part of the hard ceiling
  Nanos refilled_at = 0;
  std::int64_t used_units = 0;  // own units sent in this life
  std::int64_t limit = 0;       // credits: units in all (or attempts out at once) that may be used
  Nanos requested_at = -1, answered_at = 0;  // the last question to a keeper, and its answer
  Nanos request_pause = 0;                   // how long to ask no more, by that answer
  int unanswered_requests = 0;               // questions since then that nobody answered
  int held_requests = 0, open_attempts = 0;
  double held_weight = 0, held_units = 0, requested_units = 0;
  Nanos hold_until = 0;   // until when what is held is held, once a keeper has told that it has none
  bool isolated = false;  // `level` is its even share, since no other gatekeeper is heard
  bool changed = false;   // what its keeper assumes of it has changed
  OptimisticLease optimistic_lease;  // what may be spent before it is asked for
  GuardedQuota guarded_quota;        // where quotas are guarded: what stands in for `limit`
};

// Its requests name another plan from here on. Nothing is won by it: what is left stays, up to the new store,
// and what was granted by the plan before is gone. `a.plan` is the new one.
inline void go_by_plan(Account& a) {
  for (double* const left : {&a.tokens, &a.confirmed_tokens, &a.reported_allowance, &a.borrowable})
    *left = std::min(*left, a.plan->burst);
  a.limit = a.plan->rate > 0 ? a.used_units : 0;
  a.answered_at = std::min(a.answered_at, a.requested_at);  // an even share comes with the next answer
  a.optimistic_lease = {};
  ++a.leader_epoch;
}

// Is there a place for one more of its attempts at gatekeeper `self` of `members`? Only where its plan bounds
// both its rate and its attempts: by even parts.
inline bool has_place(const Account& a, int self, int members) {
  if (a.plan->open_limit <= 0 || a.plan->rate <= 0) return true;
  const int place = std::min((self - a.first + members) % members, a.spread - 1);
  return a.open_attempts < even_share(a.plan->open_limit, place, a.spread);
}

// What its customer may yet use, as far as is known here; nothing where its plan has no rate.
inline std::optional<Allowance> allowance_of(const Account& a, Nanos now) {
  if (!a.plan || a.plan->rate <= 0) return std::nullopt;
  const double since = a.plan->rate * static_cast<double>(now - a.refilled_at) / 1e9;
  return Allowance{std::min(a.plan->burst, a.reported_allowance + since), a.plan->burst, a.plan->rate};
}

}  // namespace cranemux::ledger
