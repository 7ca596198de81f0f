// Detects that this gatekeeper is isolated from all other members of its tier. Decides by evidence rather
// than by a fixed wait: in a large tier messages arrive many times a second, so requests to several members
// that all stay unanswered, with no other message from anyone meanwhile, show it sooner than silence alone. A
// gatekeeper that has been stalled itself draws no conclusion from it (after "Lifeguard: Local Health
// Awareness for More Accurate Failure Detection", A. Dadgar, J. Phillips, J. Currey, 2017). Free of I/O.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>

namespace cranemux::tier {

using Time = std::chrono::nanoseconds;  // on the local steady clock

class Isolation {
 public:
  explicit Isolation(Time now) : last_message_(now), last_tick_(now) {}

  // Records that a request was sent to a member, at the time of the last tick.
  void record_request(int member) {
    if (unanswered_ == 0) {
      members_ = 0;
      unanswered_since_ = last_tick_;
    }
    ++unanswered_;
    const auto end = requested_.begin() + members_;
    if (std::find(requested_.begin(), end, member) == end && members_ < kMinMembers)
      requested_[static_cast<std::size_t>(members_++)] = member;
  }
  // Records a valid message from any member.
  void record_message(Time now) {
    if (silent(now)) silent_until_ = now;
    if (isolated(now)) evidence_valid_from_ = now;
    last_message_ = now;
    unanswered_ = 0;
  }
  // To be called before anything else in each iteration of the event loop. A gap between two ticks means that
  // this process was stalled: what it missed meanwhile proves nothing about the others.
  void tick(Time now) {
    if (now - last_tick_ > kStall) {
      last_message_ = std::max(last_message_, now - kMinSilence / 2);
      unanswered_ = 0;
      evidence_valid_from_ = now;
    }
    last_tick_ = now;
  }
  // Returns true if no message at all has arrived for kMinSilence since the first unanswered request. Either
  // the requested member has failed or this gatekeeper is isolated: a reason to ask other members, but not
  // yet to suspect anyone.
  bool silent(Time now) const { return unanswered_ > 0 && now - unanswered_since_ > kMinSilence; }
  // Returns when the last silence ended.
  Time silent_until() const { return silent_until_; }
  // Requests that were sent before this time were sent while this gatekeeper was isolated or stalled: that
  // they were not answered is no evidence against the requested members.
  Time evidence_valid_from() const { return evidence_valid_from_; }
  bool isolated(Time now) const {
    const auto silence = now - last_message_;
    return silence > kMaxSilence ||
           (silence > kMinSilence && unanswered_ >= kMinRequests && members_ >= kMinMembers);
  }

 private:
  static constexpr Time kMaxSilence = std::chrono::seconds(3);  // longer than stalls: sufficient by itself
  static constexpr Time kMinSilence = std::chrono::milliseconds(400);
  // Longer than the subperiod at which an idle gatekeeper ticks.
  static constexpr Time kStall = std::chrono::milliseconds(300);
  // Unanswered requests, and different members among their receivers, that show isolation. With a third of
  // all messages lost, that many requests stay unanswered by chance once in 300 times; that no request from
  // other members arrives meanwhile either makes it rarer still.
  static constexpr int kMinRequests = 8, kMinMembers = 4;

  Time last_message_, last_tick_, unanswered_since_{0}, silent_until_{0}, evidence_valid_from_{0};
  int unanswered_ = 0, members_ = 0;  // requests without an answer, and their different receivers
  std::array<int, kMinMembers> requested_{};
};

}  // namespace cranemux::tier
