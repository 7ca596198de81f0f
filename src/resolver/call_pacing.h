// When discovery is called; free of I/O. Discovery is one service for the whole tier, and a release or its
// own fault brings all gatekeepers to it at once. So the tier's calls, not one gatekeeper's, have a stated
// rate: who starts, or loses a watch, waits a random part of the time that all together need at that rate,
// and who fails backs off from there. The stored list serves meanwhile.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "cranemux/decision_module.h"

namespace cranemux::resolver {

class CallPacing {
 public:
  using Time = std::chrono::nanoseconds;
  static constexpr double kTierCallsPerSecond = 20;  // a second, of the whole tier, and more only where ...
  static constexpr std::chrono::milliseconds kMaxSpread{4000};  // ... all would not have called within this
  static constexpr std::chrono::milliseconds kMinWait{50}, kMaxWait{1000};  // waits of a gatekeeper alone
  static constexpr std::chrono::milliseconds kMaxMoveWait{
      2000};  // at most: a new address counts as known soon
  // An empty line comes every 2 s while nothing changes. A watch that misses one is left: what it would bring
  // counts as told 6 s after it fell silent, and the calls after it may fail, too.
  static constexpr std::chrono::milliseconds kSilenceTimeout{2500};
  static constexpr std::chrono::milliseconds kChangesKnownAfter{6000};  // by the protocol
  static constexpr std::chrono::milliseconds kCallAllowance{
      300};  // what a call and its answer may take of it

  // How long a watch is waited for.
  struct Timeouts {
    // Of the answer to a call, from its beginning. A discovery that all share works on calls that nobody
    // waits for any more, too: so no less than it takes to fail one by itself (2 s).
    Time response_head{std::chrono::milliseconds(2500)};
    Time silence{kSilenceTimeout};  // of a watch that is open
  };

  CallPacing(int gatekeepers, std::uint64_t seed) : CallPacing(gatekeepers, seed, kMaxWait, Timeouts()) {}
  // `longest`: wait of a gatekeeper alone.
  CallPacing(int gatekeepers, std::uint64_t seed, Time longest, const Timeouts& patience);
  Time initial_wait() { return part_of(spread_); }
  Time wait_after_move() { return part_of(std::min<Time>(spread_, kMaxMoveWait)); }
  // After a watch that has ended: a good one lasted, and brought something.
  Time wait_after_watch(bool good);
  // After one that has fallen silent and was left for it: what it misses counts as told kTold after it fell
  // silent, so the call and its answer have to come by then, also of the last of a tier whose watches all
  // fell silent at once. That is 1.3 times the calls a second that start or end together, where there are
  // more than 64 gatekeepers, and the same with fewer.
  Time wait_after_silence(bool good);
  Time max_wait() const;  // wait between two calls
  const Timeouts& timeouts() const { return patience_; }
  Time spread() const { return spread_; }

 private:
  Time part_of(Time most);  // any, each as likely

  std::mt19937_64 random_;
  Time spread_;  // of calls that begin together
  Time longest_alone_;
  Timeouts patience_;
  int failures_ = 0;
};

// Where changes come by themselves, discovery's address is an agent of this machine's own: nobody else waits
// for it, and what it has counts as told at once, also when it has been silent or unreachable until then.
// There each gatekeeper calls as if alone, and a call that is not answered is given up, and made again,
// within the grace that a drain leaves.
CallPacing call_pacing_for(const cranemux::Settings& settings);

}  // namespace cranemux::resolver
