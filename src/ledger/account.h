// The quota state of one customer at a gatekeeper that serves its requests: what the gatekeeper estimates of
// the customer's token bucket, what its quota leader granted, and the state of the lease requests. Free of
// I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "cranemux/decision_module.h"
#include "ledger/ledger.h"
#include "ledger/optimistic_lease.h"
#include "ledger/split.h"

namespace cranemux::ledger {

// Amounts are in units of the plan, times in ns of the gatekeeper's steady clock. Totals count from the start
// of the gatekeeper's generation.
struct Account {
  const PlanSettings* plan = nullptr;  // null until the customer's first request here
  std::uint32_t hash = 0;              // of the customer's name
  // The customer's set of gatekeepers: `spread` members in a row from `first`, modulo the tier's size.
  int first = 0, spread = 1;
  int shards = 1, shard = 0;     // of the customer's ledger; the shard that is asked next
  int last_answered_shard = -1;  // the shard whose leader answered last; -1: none
  int leader = -1;               // the member that the last request went to; -1: none
  // Counts changes of leader or plan, and units spent while isolated. Trusting quotas: answers to requests of
  // another epoch are ignored.
  std::uint32_t leader_epoch = 0;

  // Estimated tokens left in the customer's bucket at the whole tier: the level of the last answer, refilled
  // since then, less own use. While isolated: of the own even share only. May be below 0.
  double tokens = 0;
  // The part of `tokens` that does not rest on refill since the last answer: the level of the last answer,
  // less own use.
  double confirmed_tokens = 0;
  // Units that may be spent ahead of the own next share before the next answer comes.
  double borrowable = 0;
  // Tokens reported by allowance_of(): as `tokens`, and the part of the own lease that is not used yet, which
  // the leader has already taken off the level that it sends.
  double reported_allowance = 0;
  double ceiling_tokens = 0;    // units left in the own even share of the hard ceiling's bucket
  Nanos refilled_at = 0;        // when the amounts above were last refilled
  std::int64_t used_units = 0;  // total of units used here, with settled differences
  // The lease: the total of `used_units` up to which units may be used. Where the plan has no rate: attempts
  // out at once.
  std::int64_t limit = 0;

  Nanos requested_at = -1, answered_at = 0;  // the last lease request, and its answer
  Nanos request_pause = 0;                   // no request for so long where no tokens are left
  int unanswered_requests = 0;               // in a row, since the last answer
  int held_requests = 0, open_attempts = 0;  // open: sent to a server, without an outcome
  double held_weight = 0, held_units = 0;    // sums over the held requests
  double requested_units = 0;                // `held_units` of the last request; -1: ask again at once
  Nanos hold_until = 0;                      // if no tokens are left, all held requests are refused by then
  bool isolated = false;                     // no other gatekeeper was heard by the last refill
  bool changed = false;                      // there is something to report to the leader
  OptimisticLease optimistic_lease;          // what may be spent before it is requested
  GuardedQuota guarded_quota;  // of guarded quotas: leases and the fallback share, in place of `limit`
};

// Moves the account to another plan: `account.plan`, which the caller has set. The customer must gain nothing
// by it: the tokens left stay, up to the new burst, and the old plan's lease ends.
inline void change_plan(Account& account) {
  for (double* const amount :
       {&account.tokens, &account.confirmed_tokens, &account.reported_allowance, &account.borrowable})
    *amount = std::min(*amount, account.plan->burst);
  account.limit = account.plan->rate > 0 ? account.used_units : 0;
  account.answered_at =
      std::min(account.answered_at, account.requested_at);  // no even share before the next answer
  account.optimistic_lease = {};
  ++account.leader_epoch;
}

// Returns whether gatekeeper `self` of `members` may have one more of the customer's attempts out. Bounded
// here, by even shares of the plan's `open_limit`, only where the plan has a rate, too.
inline bool has_attempt_slot(const Account& account, int self, int members) {
  if (account.plan->open_limit <= 0 || account.plan->rate <= 0) return true;
  const int place = std::min((self - account.first + members) % members, account.spread - 1);
  return account.open_attempts < even_share(account.plan->open_limit, place, account.spread);
}

// Returns what the customer may still use, as far as this gatekeeper knows; none if its plan has no rate.
inline std::optional<Allowance> allowance_of(const Account& account, Nanos now) {
  if (!account.plan || account.plan->rate <= 0) return std::nullopt;
  const double refill = account.plan->rate * static_cast<double>(now - account.refilled_at) / 1e9;
  return Allowance{std::min(account.plan->burst, account.reported_allowance + refill), account.plan->burst,
                   account.plan->rate};
}

}  // namespace cranemux::ledger
