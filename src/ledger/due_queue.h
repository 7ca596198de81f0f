// A queue of accounts with a request or report to send, ordered by the time at which each is due. Processing
// costs time for the accounts that are due, not for all that wait: under message overload thousands wait.
// Free of I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "ledger/leader_election.h"

namespace cranemux::ledger {

// Customers by the time at which their accounts are due, each at most once.
class DueQueue {
 public:
  // Schedules the customer's account for `when`; an earlier time that is already set stays.
  void schedule(std::uint32_t customer, Time when) {
    const auto [at, inserted] = when_.try_emplace(customer, when);
    if (!inserted && at->second <= when) return;
    if (!inserted) order_.erase({at->second, customer});
    at->second = when;
    order_.insert({when, customer});
  }
  bool contains(std::uint32_t customer) const { return when_.contains(customer); }
  // Returns when the next account is due, or nothing if none is scheduled.
  std::optional<Time> next_due() const {
    return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
  }
  // Removes all accounts that are due and calls `process(customer)` for each, in the order of customers. It
  // returns when to schedule the account again, or nothing.
  template <typename Process>
  void process_due(Time now, const Process& process) {
    std::vector<std::uint32_t> due;
    for (auto at = order_.begin(); at != order_.end() && at->first <= now; at = order_.erase(at)) {
      due.push_back(at->second);
      when_.erase(at->second);
    }
    std::sort(due.begin(), due.end());
    for (const auto customer : due) {
      if (const std::optional<Time> again = process(customer)) schedule(customer, *again);
    }
  }

 private:
  std::map<std::uint32_t, Time> when_;              // by customer
  std::set<std::pair<Time, std::uint32_t>> order_;  // the same, by time
};

}  // namespace cranemux::ledger
