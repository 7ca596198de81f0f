// When discovery is called; free of I/O. Discovery is one service for the whole tier, and a release or its
// own fault brings all gatekeepers to it at once. So the tier's calls, not one gatekeeper's, have a stated
// rate: who starts, or loses a watch, waits a random part of the time that all together need at that rate,
// and who fails backs off from there. The stored list serves meanwhile.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "cranemux/brain.h"

namespace cranemux::resolver {

class Pacing {
 public:
  using Time = std::chrono::nanoseconds;
  static constexpr double kCalls = 20;  // a second, of the whole tier, and more only where ...
  static constexpr std::chrono::milliseconds kKnown{4000};  // ... all would not have called within this
  static constexpr std::chrono::milliseconds kFirst{50}, kLongest{1000};  // waits of a gatekeeper alone
  static constexpr std::chrono::milliseconds kMoved{2000};  // at most: a new address counts as known soon

  Pacing(int gatekeepers, std::uint64_t seed);
  Time first() { return part_of(spread_); }
  Time moved() { return part_of(std::min<Time>(spread_, kMoved)); }
  // After a watch that has ended: a good one lasted, and brought something.
  Time again(bool good);
  Time longest() const;  // wait between two calls
  Time spread() const { return spread_; }

 private:
  Time part_of(Time most);  // any, each as likely

  std::mt19937_64 random_;
  Time spread_;  // of calls that begin together
  int failures_ = 0;
};

// Where changes come by themselves, discovery's address is an agent of this machine's own: nobody else waits
// for it, and what it has counts as told at once. There each gatekeeper calls as if alone.
Pacing pacing_of(const cranemux::Settings& settings);

}  // namespace cranemux::resolver
