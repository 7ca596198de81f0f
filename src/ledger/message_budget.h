// The rate at which a gatekeeper may send messages, so that none is sent more than it can receive. Free of
// I/O.
#pragma once

#include <algorithm>

namespace cranemux::ledger {

// The share of the messages that one gatekeeper can receive that each may send, without dedicated leaders.
constexpr double kMessageShare = 0.6;
constexpr double kMessageSharePeers = 4;  // with more peers than these a gatekeeper may send more
// The same with dedicated quota leaders: all messages go to or come from these, whose task is to receive
// them.
constexpr double kDedicatedMessageShare = 0.9;
constexpr double kMessageBurst = 5;  // messages that may leave at once after a pause

// Returns the messages a second that gatekeeper `self` of `members` may send. `received_per_s`: that one
// gatekeeper can receive; `dedicated_leaders`: number of dedicated quota leaders, the last of `members`.
inline double message_rate(double received_per_s, int self, int members, int dedicated_leaders) {
  if (dedicated_leaders > 0 && self < members - dedicated_leaders)
    return kDedicatedMessageShare * received_per_s;
  // All dedicated leaders together send each gatekeeper no more than it can receive.
  if (dedicated_leaders > 0)
    return kDedicatedMessageShare * received_per_s * (members - dedicated_leaders) / dedicated_leaders;
  return kMessageShare * received_per_s * std::max(1.0, (members - 1) / kMessageSharePeers);
}

}  // namespace cranemux::ledger
