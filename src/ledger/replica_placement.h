// Who keeps a customer's ledger in a tier that trusts its members: one of the customer's own set, so that a
// part of its requests needs no mail. Free of I/O.
#pragma once

#include <cstdint>

namespace cranemux::ledger {

constexpr int kLeaderReplicas =
    3;  // of a part of a ledger: its keeper and those that stand in for it, in turn

// Is `member` one of the `aside` last ones, that keep ledgers and serve nobody?
inline bool is_dedicated_leader(int member, int members, int aside) {
  return aside > 0 && member >= members - aside;
}

// Members that hear from `member` who is throttled: all gatekeepers, where it is set aside.
inline int notified_gatekeepers(int member, int members, int aside) {
  return is_dedicated_leader(member, members, aside) ? members - aside : 0;
}

// `rank`: 0 the keeper, then those that stand in. `first`, `spread`: the customer's set, counted round.
// `aside`: so many of the members, the last ones, are set aside to keep ledgers; 0: none are.
inline int leader_at(std::uint32_t customer, int part, int rank, int first, int spread, int members,
                     int aside) {
  if (aside > 0)
    return members - aside +
           static_cast<int>((customer + static_cast<unsigned>(rank)) % static_cast<unsigned>(aside));
  const auto place =
      (customer + static_cast<unsigned>(part * kLeaderReplicas + rank)) % static_cast<unsigned>(spread);
  return static_cast<int>((static_cast<unsigned>(first) + place) % static_cast<unsigned>(members));
}

}  // namespace cranemux::ledger
