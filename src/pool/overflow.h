// When an RPC may go on to its route's overflow pool. Knows no wire.
#pragma once

#include <chrono>

namespace cranemux::pool {

struct Spill {
  bool safe = false;                // its class may be repeated
  bool first_usable = true;         // the first pool has a node that may be used
  bool second_usable = false;       // so has the overflow pool
  bool first_took = false;          // the first pool has had it, and gives it up now
  bool unavailable = false;         // ... with an unavailable status
  bool attempt_out = false;         // ... while its call attempt may still be at work: never two at once
  std::chrono::nanoseconds left{};  // of its time
};

// Only for want of nodes, only where a repeat does no harm, and only with time left. An unavailable status
// that has another reason (a quota above all) is final: another pool must not be a way round it.
bool may_overflow(const Spill& spill);

}  // namespace cranemux::pool
