// Members that have not answered requests about quotas lately, and are passed over as quota leaders. A
// suspicion ends when it times out, or with any message from its member. Free of I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

namespace cranemux::tier {

class Suspicion {
 public:
  using Time = std::chrono::nanoseconds;  // on the local steady clock

  explicit Suspicion(int members)
      : until_(static_cast<std::size_t>(members), kNever), recovered_(until_.size(), kNever) {}

  // Starts a suspicion of a member that left several requests unanswered.
  void suspect(int member, Time now) { until_of(member) = now + kDuration; }
  // Records a valid message from a member, which ends a suspicion of it.
  void record_message(int member, Time now) {
    if (std::exchange(until_of(member), kNever) != kNever) recovered_[static_cast<std::size_t>(member)] = now;
  }
  bool suspected(int member, Time now) const { return now < until_[static_cast<std::size_t>(member)]; }

  // Returns when the first message after the member's last suspicion arrived, also where that suspicion had
  // timed out before; 0 if there was none.
  Time recovered(int member) const { return recovered_[static_cast<std::size_t>(member)]; }

  // The end of each member's suspicion, for the process that takes over from this one.
  const std::vector<Time>& until() const { return until_; }
  void restore(std::vector<Time> until) { until_ = std::move(until); }

 private:
  static constexpr Time kDuration = std::chrono::seconds(2), kNever{0};
  Time& until_of(int member) { return until_[static_cast<std::size_t>(member)]; }
  std::vector<Time> until_, recovered_;
};

}  // namespace cranemux::tier
