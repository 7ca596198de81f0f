// Decides when a gatekeeper calls discovery; free of I/O. Discovery is one service for the whole tier, and a
// release or its own failure makes all gatekeepers call it at once. So the call rate is bounded for the tier
// rather than for each gatekeeper: one that starts, or loses its watch, waits for a random part of the time
// that the whole tier needs at that rate, and backs off from there while its calls fail. The stored list of
// nodes stays in use meanwhile.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "cranemux/decision_module.h"

namespace cranemux::resolver {

class CallPacing {
 public:
  using Time = std::chrono::nanoseconds;
  // Calls of the whole tier; a larger tier exceeds it so that all its calls fit within kMaxSpread.
  static constexpr double kTierCallsPerSecond = 20;
  static constexpr std::chrono::milliseconds kMaxSpread{4000};
  static constexpr std::chrono::milliseconds kMinWait{50},
      kMaxWait{1000};  // of the only gatekeeper of a tier
  // After a change of discovery's address, which is to take effect soon.
  static constexpr std::chrono::milliseconds kMaxMoveWait{2000};
  // Discovery sends an empty line every 2 s while nothing changes. A watch that misses one is closed: the
  // changes that it fails to deliver count as known kChangesKnownAfter after it fell silent, and the calls
  // that follow may fail, too.
  static constexpr std::chrono::milliseconds kSilenceTimeout{2500};
  static constexpr std::chrono::milliseconds kChangesKnownAfter{6000};  // by discovery's protocol
  static constexpr std::chrono::milliseconds kCallAllowance{300};  // of that, for a call and its response

  // When a watch is given up.
  struct Timeouts {
    // From the start of a call to the head of the response. A discovery that the tier shares also works on
    // calls whose callers have given up, so this is no shorter than the 2 s after which it fails a call
    // itself.
    Time response_head{std::chrono::milliseconds(2500)};
    Time silence{kSilenceTimeout};  // between two reads of an open watch
  };

  CallPacing(int gatekeepers, std::uint64_t seed) : CallPacing(gatekeepers, seed, kMaxWait, Timeouts()) {}
  // `gatekeepers`: size of the tier. `max_single_wait`: the longest wait where it is 1.
  CallPacing(int gatekeepers, std::uint64_t seed, Time max_single_wait, const Timeouts& timeouts);
  // Each returns the wait until the next call.
  Time initial_wait() { return random_part_of(spread_); }
  Time wait_after_move() { return random_part_of(std::min<Time>(spread_, kMaxMoveWait)); }
  // After a watch has ended. `good`: it lasted for some time and delivered a result.
  Time wait_after_watch(bool good);
  // After a watch was closed because it fell silent. The changes that it missed count as known
  // kChangesKnownAfter after the silence began, so the next call and its response have to be complete by
  // then, also for the last gatekeeper of a tier whose watches all fell silent at once. Compared with calls
  // that are spread over spread(), that is 1.3 times the rate for more than 64 gatekeepers, and the same rate
  // for fewer.
  Time wait_after_silence(bool good);
  Time max_wait() const;  // between two calls
  const Timeouts& timeouts() const { return timeouts_; }
  Time spread() const { return spread_; }  // time over which the tier spreads calls that start together

 private:
  Time random_part_of(Time max);  // uniformly distributed from 0 to `max`

  std::mt19937_64 random_;
  Time spread_;
  Time max_single_wait_;
  Timeouts timeouts_;
  int failures_ = 0;  // consecutive ones, up to kMaxDoublings
};

// Returns the pacing for a gatekeeper. Where discovery pushes changes by itself, its address is an agent on
// this machine, which serves no other gatekeeper, and what it knows counts as known at once, also right after
// it was silent or unreachable. There each gatekeeper calls as if it were the only one, and a call without a
// response is given up and repeated within the grace that a drain allows.
CallPacing call_pacing_for(const cranemux::Settings& settings);

}  // namespace cranemux::resolver
