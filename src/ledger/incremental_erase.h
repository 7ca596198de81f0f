// Takes out of a map what is gone, a part of the map at each call, so that no call is long however large the
// map is: all of a small one, of a large one a twentieth, from where the last call ended. Free of I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace cranemux::ledger {

constexpr std::size_t kSweepWhole = 64;  // items: up to so many are looked at in one call
constexpr std::size_t kSweepCalls = 20;  // a larger map is gone through in so many, in more where much goes

// `from`: where the next call goes on; the caller keeps it. `gone(item)` may change the item's value.
template <typename Map, typename Gone>
void erase_some(Map& map, typename Map::key_type& from, const Gone& gone) {
  auto left = std::min(map.size(), std::max(kSweepWhole, map.size() / kSweepCalls + 1));
  auto at = map.size() <= kSweepWhole ? map.begin() : map.lower_bound(from);
  for (; left > 0 && !map.empty(); --left) {
    if (at == map.end()) at = map.begin();
    at = gone(*at) ? map.erase(at) : std::next(at);
  }
  from = at == map.end() ? typename Map::key_type{} : at->first;
}

}  // namespace cranemux::ledger
