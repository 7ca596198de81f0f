// Accounts with something to ask or tell, by when they are to be looked at, so that a look costs by what is
// due and not by all that waits: where mail drowns, thousands do. Free of I/O.
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

class DueQueue {
 public:
  // Looked at by then, or sooner where that was said already.
  void schedule(std::uint32_t customer, Time when) {
    const auto [at, fresh] = when_.try_emplace(customer, when);
    if (!fresh && at->second <= when) return;
    if (!fresh) order_.erase({at->second, customer});
    at->second = when;
    order_.insert({when, customer});
  }
  bool contains(std::uint32_t customer) const { return when_.contains(customer); }
  // When the next one is due, or nothing.
  std::optional<Time> next_due() const {
    return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
  }
  // `look(customer)` says when to look again, or nothing where there is no more to say; in the order of
  // customers.
  template <typename Look>
  void process_due(Time now, const Look& look) {
    std::vector<std::uint32_t> due;
    for (auto at = order_.begin(); at != order_.end() && at->first <= now; at = order_.erase(at)) {
      due.push_back(at->second);
      when_.erase(at->second);
    }
    std::sort(due.begin(), due.end());
    for (const auto customer : due) {
      if (const std::optional<Time> again = look(customer)) schedule(customer, *again);
    }
  }

 private:
  std::map<std::uint32_t, Time> when_;
  std::set<std::pair<Time, std::uint32_t>> order_;
};

}  // namespace cranemux::ledger
