// The quota state of a gatekeeper: accounts of the customers that it serves, ledgers that it leads, and the
// messages to other gatekeepers. Free of I/O.
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

// Of one DecisionModule, or of several in a process that share quotas.
struct QuotaState {
  std::vector<PlanSettings> plans;
  std::uint32_t generation = 0;               // drawn at the start; peers tell restarts by it
  std::map<std::uint32_t, Account> accounts;  // by hash of the customer's name
  DueQueue due_queue;                         // accounts with something to request or report
  Nanos started_at = -1;                      // ns of the steady clock
  Nanos next_split = 0;                  // of the ledgers, made by the first module whose clock reaches it
  std::unique_ptr<Transport> transport;  // null before the first step
  std::unique_ptr<Ledgers> ledgers;
  std::unique_ptr<LeaderSelection> leader_selection;  // null before the first step
  ShedTable shed_table;  // customers whose requests are shed, where there are dedicated leaders
  // The highest leader epoch of an account that was erased. Leaders may still have its claim, so an account
  // of that customer begins above it: as one that has changed its leader.
  std::uint32_t erased_epoch = 0;
  std::uint32_t erase_cursor = 0;  // where the next pass over the accounts goes on

  // Prepares the account of a customer's first request here, where dedicated leaders notify all gatekeepers
  // of shedding: without such a notice the account starts with an optimistic lease, `share` units of which
  // may be spent even if the leader does not answer.
  void on_first_request(Account& account, double share, Time now) const {
    if (account.plan->rate <= 0) return;
    account.borrowable = share;
    account.optimistic_lease.update(true, share, now);
    if (const auto admitted = shed_table.share(account.hash, now))
      account.optimistic_lease.shed(to_fraction(*admitted), now);
  }
  // Applies a leader's notice of which share of the customer's requests to admit.
  void apply_shed_notice(const ShedNotice& notice, Time now) {
    shed_table.update(notice.customer, notice.share, now);
    const auto account = accounts.find(notice.customer);
    if (account != accounts.end()) account->second.optimistic_lease.shed(to_fraction(notice.share), now);
  }
  // Converts hundredths to a fraction from 0 to 1.
  static double to_fraction(int share) { return static_cast<double>(share) / kWholeShare; }
};

}  // namespace cranemux::ledger
