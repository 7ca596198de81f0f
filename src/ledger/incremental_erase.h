// Erases finished items of a map in steps, so that no call takes long however large the map is: a call covers
// all of a small map, and a part of a large one, from where the last call ended. Free of I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace cranemux::ledger {

constexpr std::size_t kSmallMapItems = 64;  // a map of up to so many items is covered by each call
constexpr std::size_t kCallsPerPass = 20;   // over a larger map; more if many items are erased ...
constexpr std::size_t kLargeMapItems =
    1024;  // ... and over one of more than so many items, which has to shrink
constexpr std::size_t kCallsPerQuickPass = 2;

// Erases items for which `finished(item)` holds; it may change the item's value. `cursor`: kept by the
// caller, the key from which the next call continues.
template <typename Map, typename Finished>
void erase_some(Map& map, typename Map::key_type& cursor, const Finished& finished) {
  const auto calls = map.size() > kLargeMapItems ? kCallsPerQuickPass : kCallsPerPass;
  auto left = std::min(map.size(), std::max(kSmallMapItems, map.size() / calls + 1));
  auto at = map.size() <= kSmallMapItems ? map.begin() : map.lower_bound(cursor);
  for (; left > 0 && !map.empty(); --left) {
    if (at == map.end()) at = map.begin();
    at = finished(*at) ? map.erase(at) : std::next(at);
  }
  cursor = at == map.end() ? typename Map::key_type{} : at->first;
}

}  // namespace cranemux::ledger
