// Which tries of a client are later ones, by the time they come with; free of I/O. Clients give every first
// try the same time, and a last one what is left of their patience. So a budget that is not the class's
// commonest tells a later try.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>

#include "cranemux/decision_module.h"

namespace cranemux::pool {

using BudgetsSeen = std::map<Nanos, int>;  // of one class: tries that came with so many ms

constexpr int kBudgetsSeen = 3;           // tries with one budget, to the ms, before it tells anything
constexpr std::size_t kBudgetsKept = 64;  // different ones that are counted
constexpr Nanos kSameBudgetMs = 10;       // budgets no further apart than this are one

// Counts the try, too.
inline bool later_try(BudgetsSeen& seen, Nanos budget_ms) {
  if (seen.size() > kBudgetsKept) {  // clients may send any: the common ones outlast the others
    for (auto& [budget, tries] : seen) tries /= 2;
    std::erase_if(seen, [](const auto& budget) { return budget.second == 0; });
  }
  ++seen[budget_ms];
  const auto first = std::max_element(seen.begin(), seen.end(),
                                      [](const auto& a, const auto& b) { return a.second < b.second; });
  return first->second >= kBudgetsSeen && std::abs(budget_ms - first->first) > kSameBudgetMs;
}

}  // namespace cranemux::pool
