// How many messages a gatekeeper lets go, so that none is sent more than it takes in. Free of I/O.
#pragma once

#include <algorithm>

namespace cranemux::ledger {

constexpr double kMessageShare = 0.6;  // a gatekeeper sends this share of the messages that one takes in ...
constexpr double kMessageSharePeers = 4;  // ... and more where its mail goes to more peers than these
constexpr double kDedicatedMessageShare =
    0.9;                             // the same, where all its mail goes to members set aside to take it in
constexpr double kMessageBurst = 5;  // messages that may go at once after a quiet spell

// A second. `taken_in`: by one gatekeeper; `aside`: members set aside to keep ledgers, the last of `members`.
inline double message_rate(double taken_in, int self, int members, int aside) {
  if (aside > 0 && self < members - aside) return kDedicatedMessageShare * taken_in;
  // All of them together send each gatekeeper no more than it takes in.
  if (aside > 0) return kDedicatedMessageShare * taken_in * (members - aside) / aside;
  return kMessageShare * taken_in * std::max(1.0, (members - 1) / kMessageSharePeers);
}

}  // namespace cranemux::ledger
