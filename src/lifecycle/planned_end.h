// How long a process that was told to end (SIGTERM) stays. Knows no clock and no socket: whoever calls brings
// the time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "lifecycle/lifecycle.h"

namespace cranemux::lifecycle {

class PlannedEnd {
 public:
  // `drain_limit`: requests that have no answer by then are answered by the gatekeeper itself.
  PlannedEnd(Time start, std::chrono::nanoseconds drain_limit)
      : answers_by_(start + drain_limit), stays_until_(answers_by_ + kLastAnswers) {}

  // Nothing is accepted any more, and what has no answer gets one at once.
  bool gives_up(Time now) const { return now >= answers_by_; }
  // Returns whether the process ends. `under_way`: answers that are not written whole yet. They may take
  // longer than any request's time, and would be cut off: each has bounds of its own.
  bool over(Time now, std::size_t under_way) {
    if (under_way > 0) stays_until_ = std::max(stays_until_, now + kLastAnswers);
    return now >= stays_until_;
  }

 private:
  // A process that ends over bytes that are not read resets their connection, and the last answer goes with
  // it.
  static constexpr std::chrono::milliseconds kLastAnswers{100};

  const Time answers_by_;
  Time stays_until_;
};

}  // namespace cranemux::lifecycle
