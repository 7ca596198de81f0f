// Which members have not answered questions about quotas lately, and are passed over as quota leaders. A
// suspicion ends by itself, or with any word of its member. Free of I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

namespace cranemux::tier {

class Suspicion {
 public:
  using Time = std::chrono::nanoseconds;  // of the holder's steady clock

  explicit Suspicion(int members)
      : until_(static_cast<std::size_t>(members), kNever), recovered_(until_.size(), kNever) {}

  // It was asked several times, and has not answered.
  void suspect(int member, Time now) { at(member) = now + kSuspected; }
  // Anything good from that member.
  void record_message(int member, Time now) {
    if (std::exchange(at(member), kNever) != kNever) recovered_[static_cast<std::size_t>(member)] = now;
  }
  bool suspected(int member, Time now) const { return now < until_[static_cast<std::size_t>(member)]; }

  // When it was last heard again after a suspicion, also after one that had ended by itself.
  Time recovered(int member) const { return recovered_[static_cast<std::size_t>(member)]; }

  // Until when each member is suspected: for the process that takes over from this one.
  const std::vector<Time>& until() const { return until_; }
  void restore(std::vector<Time> until) { until_ = std::move(until); }

 private:
  static constexpr Time kSuspected = std::chrono::seconds(2), kNever{0};
  Time& at(int member) { return until_[static_cast<std::size_t>(member)]; }
  std::vector<Time> until_, recovered_;
};

}  // namespace cranemux::tier
