// All that a gatekeeper holds of its customers' quotas.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "ledger/account.h"
#include "ledger/due_queue.h"
#include "ledger/leader_selection.h"
#include "ledger/ledger.h"
#include "ledger/transport.h"

namespace cranemux::ledger {

// Quotas and the mail about them: of one DecisionModule, or of several in a process that hold them together.
struct QuotaState {
  std::vector<PlanSettings> plans;
  std::uint32_t generation = 0;
  std::map<std::uint32_t, Account> accounts;
  DueQueue due_queue;  // accounts with something to ask or tell
  Nanos started_at = -1;
  Nanos next_split = 0;                  // of ledgers, by whoever of several modules comes to it first
  std::unique_ptr<Transport> transport;  // from the start on
  std::unique_ptr<Ledgers> ledgers;
  std::unique_ptr<LeaderSelection> leader_selection;  // from the start on
  ShedTable throttled;                                // where members are set aside
  std::uint32_t swept = 0;                            // accounts, up to there

  // A customer's first request here, where all are told who is throttled: who is not may spend before it is
  // asked for, and `share` units whether its keeper is heard or not.
  void meet(Account& a, double share, Time now) const {
    if (a.plan->rate <= 0) return;
    a.borrowable = share;
    a.optimistic_lease.update(true, share, now);
    if (const auto part = throttled.share(a.hash, now)) a.optimistic_lease.shed(part_of(*part), now);
  }
  void throttle(const ShedNotice& word, Time now) {
    throttled.update(word.customer, word.share, now);
    const auto a = accounts.find(word.customer);
    if (a != accounts.end()) a->second.optimistic_lease.shed(part_of(word.share), now);
  }
  static double part_of(int share) { return static_cast<double>(share) / kWholeShare; }
};

}  // namespace cranemux::ledger
