// Places the leaders of ledgers in a tier of trusting quotas: on dedicated quota leaders, or else on the
// customer's own set of gatekeepers, so that the leader's own share of the requests needs no messages. Free
// of I/O.
#pragma once

#include <cstdint>

namespace cranemux::ledger {

constexpr int kLeaderReplicas = 3;  // members that may lead a shard: the leader and its replicas

// Returns whether `member` is one of the last `dedicated_leaders` members, which only lead quotas and serve
// no requests.
inline bool is_dedicated_leader(int member, int members, int dedicated_leaders) {
  return dedicated_leaders > 0 && member >= members - dedicated_leaders;
}

// Returns the number of members, counted from the first, that `member` sends shed notices to: all that are no
// dedicated quota leaders if it is one itself, else 0.
inline int notified_gatekeepers(int member, int members, int dedicated_leaders) {
  return is_dedicated_leader(member, members, dedicated_leaders) ? members - dedicated_leaders : 0;
}

// Returns the member with that rank for a shard of the customer's ledger: 0 is the leader, 1 its first
// replica, and so on. The customer's set are `spread` members from `first` on, modulo `members`; with
// dedicated quota leaders these alone lead, and all shards are led alike.
inline int leader_at(std::uint32_t customer, int shard, int rank, int first, int spread, int members,
                     int dedicated_leaders) {
  if (dedicated_leaders > 0)
    return members - dedicated_leaders +
           static_cast<int>((customer + static_cast<unsigned>(rank)) %
                            static_cast<unsigned>(dedicated_leaders));
  const auto place =
      (customer + static_cast<unsigned>(shard * kLeaderReplicas + rank)) % static_cast<unsigned>(spread);
  return static_cast<int>((static_cast<unsigned>(first) + place) % static_cast<unsigned>(members));
}

}  // namespace cranemux::ledger
