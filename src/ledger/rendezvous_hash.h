// Ranks the members of a tier for each customer by rendezvous hashing (D. Thaler, C. Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). All gatekeepers compute the same order, and when a
// member leaves only the ledgers that it led get another leader. Free of I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace cranemux::ledger {

// Returns the rank of `member` for the customer, the highest being first: SplitMix64's finaliser (S. Vigna)
// over both.
inline std::uint64_t rendezvous_rank(std::uint32_t customer, int member) {
  auto z = (static_cast<std::uint64_t>(customer) << 32U | static_cast<std::uint32_t>(member)) +
           0x9e3779b97f4a7c15ULL;
  z = (z ^ z >> 30U) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ z >> 27U) * 0x94d049bb133111ebULL;
  return z ^ z >> 31U;
}

// Returns the first `max_count` members in the customer's order, its quota leader first.
inline std::vector<int> ranked_members(std::uint32_t customer, int members, int max_count) {
  std::vector<std::pair<std::uint64_t, int>> all;
  for (int m = 0; m < members; ++m) all.emplace_back(rendezvous_rank(customer, m), m);
  const auto end = all.begin() + std::min(max_count, members);
  std::partial_sort(all.begin(), end, all.end(), std::greater<>());
  std::vector<int> out;
  for (auto at = all.begin(); at != end; ++at) out.push_back(at->second);
  return out;
}

// Returns the first member in the customer's order for which `usable(member)` is true, or -1.
template <typename Usable>
int highest_ranked(std::uint32_t customer, int members, const Usable& usable) {
  int best = -1;
  std::uint64_t highest = 0;
  for (int m = 0; m < members; ++m) {
    const auto rank = rendezvous_rank(customer, m);
    if (usable(m) && (best < 0 || rank > highest)) {
      best = m;
      highest = rank;
    }
  }
  return best;
}

}  // namespace cranemux::ledger
