// Sharding of a busy customer's ledger into equal shards, each with its own leader: one gatekeeper receives
// too few messages to be asked about each request of a large plan by hundreds of others. A gatekeeper whose
// shard has no tokens left asks the next one, so the shards are used up together. Free of I/O.
#pragma once

#include <algorithm>
#include <cmath>

namespace cranemux::ledger {

// Of the messages that a gatekeeper receives: share for requests about one shard of one customer.
constexpr double kShardMessageShare = 0.125;
constexpr double kMinGatekeepersPerShard = 16;  // fewer do not overload one leader

// Returns the number of shards, at least 1. `rate` and `burst`: of the plan, units a second and units; at
// worst each unit is a lease request. `most_units`: of one request; a shard's burst is at least two such.
// `messages_per_s`: that one gatekeeper receives. `spread`: gatekeepers that the customer uses.
inline int shard_count(double rate, double burst, double most_units, double messages_per_s, int spread) {
  const double requests_per_shard = std::max(1.0, kShardMessageShare * messages_per_s);
  const double most = std::min(spread / kMinGatekeepersPerShard, burst / (2 * most_units));
  return std::max(1, static_cast<int>(std::min(std::ceil(rate / requests_per_shard), std::floor(most))));
}

}  // namespace cranemux::ledger
