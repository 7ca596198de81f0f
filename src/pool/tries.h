// Which tries of a client are later ones, by the time they come with; free of I/O. Clients give every first
// try the same time, and a last one what is left of their patience. So a budget that is neither the class's
// commonest nor the one that this customer came with before tells a later try. Clients may send any budget,
// at any rate and under any name: what they can bring about is that a customer's first try here counts as a
// later one.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <map>

#include "cranemux/decision_module.h"

namespace cranemux::pool {

using BudgetsSeen = std::map<Nanos, int>;  // of one class: tries that came with so many ms

constexpr int kBudgetsSeen = 3;           // tries with one budget, to the ms, before it tells anything
constexpr std::size_t kBudgetsKept = 64;  // different ones that are counted
constexpr Nanos kSameBudgetMs = 10;       // budgets no further apart than this are one

inline bool same_budget(Nanos a_ms, Nanos b_ms) { return std::abs(a_ms - b_ms) <= kSameBudgetMs; }

inline bool is_uncommon(const BudgetsSeen& seen, Nanos budget_ms) {
  const auto first = std::max_element(seen.begin(), seen.end(),
                                      [](const auto& a, const auto& b) { return a.second < b.second; });
  return first != seen.end() && first->second >= kBudgetsSeen && !same_budget(budget_ms, first->first);
}

// Of tries that were not refused at once: being refused costs a client nothing, so it may come at any rate.
inline void count_try(BudgetsSeen& seen, Nanos budget_ms) {
  if (seen.size() > kBudgetsKept) {  // clients may send any: the common ones outlast the others
    for (auto& [budget, tries] : seen) tries /= 2;
    std::erase_if(seen, [](const auto& budget) { return budget.second == 0; });
  }
  ++seen[budget_ms];
}

// The budget that each of the last customers came with, by class. Bounded: one may displace another.
class LastBudgets {
 public:
  // Is it the one that the customer came with before? Remembers it. `customer`: the hash of its name.
  bool as_before(std::uint32_t customer, std::size_t class_index, Nanos budget_ms) {
    auto& last = tries_[(customer + class_index) % kTries];
    const bool same = last.customer == customer && last.class_index == class_index &&
                      same_budget(last.budget_ms, budget_ms);
    last = {customer, class_index, budget_ms};
    return same;
  }

 private:
  struct Try {
    std::uint32_t customer = 0;
    std::size_t class_index = 0;
    Nanos budget_ms = -1 - kSameBudgetMs;  // none
  };
  static constexpr std::size_t kTries = 1024;
  std::array<Try, kTries> tries_{};
};

}  // namespace cranemux::pool
