// How many messages a gatekeeper lets go, so that none is sent more than it takes in. Free of I/O.
#pragma once

#include <algorithm>

namespace cranemux::ledger {

constexpr double kMailShare = 0.6;  // a gatekeeper sends this share of the messages that one takes in ...
constexpr double kMailPeers = 4;    // ... and more where its mail goes to more peers than these
constexpr double kMailShareAside =
    0.9;                          // the same, where all its mail goes to members set aside to take it in
constexpr double kMailBurst = 5;  // messages that may go at once after a quiet spell

// A second. `taken_in`: by one gatekeeper; `aside`: members set aside to keep ledgers, the last of `members`.
inline double messages_of(double taken_in, int self, int members, int aside) {
  if (aside > 0 && self < members - aside) return kMailShareAside * taken_in;
  // All of them together send each gatekeeper no more than it takes in.
  if (aside > 0) return kMailShareAside * taken_in * (members - aside) / aside;
  return kMailShare * taken_in * std::max(1.0, (members - 1) / kMailPeers);
}

}  // namespace cranemux::ledger
