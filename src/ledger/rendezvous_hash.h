// Who keeps a customer's ledger: rendezvous hashing (D. Thaler, C. Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", 1998). Every gatekeeper works it out alike; one that goes moves only what it kept.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace cranemux::ledger {

// SplitMix64's finaliser (S. Vigna) over both: the highest is first.
inline std::uint64_t rendezvous_rank(std::uint32_t customer, int member) {
  auto z = (static_cast<std::uint64_t>(customer) << 32U | static_cast<std::uint32_t>(member)) +
           0x9e3779b97f4a7c15ULL;
  z = (z ^ z >> 30U) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ z >> 27U) * 0x94d049bb133111ebULL;
  return z ^ z >> 31U;
}

// The first `most` of them in order, the keeper in front.
inline std::vector<int> ranked_members(std::uint32_t customer, int members, int most) {
  std::vector<std::pair<std::uint64_t, int>> all;
  for (int m = 0; m < members; ++m) all.emplace_back(rendezvous_rank(customer, m), m);
  const auto end = all.begin() + std::min(most, members);
  std::partial_sort(all.begin(), end, all.end(), std::greater<>());
  std::vector<int> out;
  for (auto at = all.begin(); at != end; ++at) out.push_back(at->second);
  return out;
}

// The first that `usable` lets be, or -1.
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
