// Is this gatekeeper cut off from all others of its tier? Said by evidence, not by a fixed wait: in a large
// tier mail comes many times a second, so questions to several members, none answered, and not a word from
// anyone else either, tell it sooner than silence alone. Who has been stalled accuses nobody (after
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", A. Dadgar, J. Phillips, J. Currey,
// 2017). Free of I/O.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>

namespace cranemux::tier {

using Time = std::chrono::nanoseconds;  // of the holder's steady clock

class Isolation {
 public:
  explicit Isolation(Time now) : heard_(now), ticked_(now) {}

  // A question has left for a member, after the last tick.
  void record_request(int member) {
    if (questions_ == 0) {
      members_ = 0;
      asked_since_ = ticked_;
    }
    ++questions_;
    const auto end = asked_.begin() + members_;
    if (std::find(asked_.begin(), end, member) == end && members_ < kMembers)
      asked_[static_cast<std::size_t>(members_++)] = member;
  }
  // Anything good from anyone.
  void record_message(Time now) {
    if (silent(now)) silent_until_ = now;
    if (isolated(now)) evidence_from_ = now;
    heard_ = now;
    questions_ = 0;
  }
  // Call it before anything else of each turn. A gap is a stall of its own: what it has missed meanwhile
  // proves nothing.
  void tick(Time now) {
    if (now - ticked_ > kStall) {
      heard_ = std::max(heard_, now - kLeastSilence / 2);
      questions_ = 0;
      evidence_from_ = now;
    }
    ticked_ = now;
  }
  // Nobody has said a word since the first of some questions left, a while ago. That may be the one who was
  // asked, or the way to all: worth a question to others, and nobody is suspected for it.
  bool silent(Time now) const { return questions_ > 0 && now - asked_since_ > kLeastSilence; }
  // When the last silence ended.
  Time silent_until() const { return silent_until_; }
  // Questions that left before this were asked while it was cut off or stalled: that nobody answered them
  // says nothing about who was asked.
  Time evidence_valid_from() const { return evidence_from_; }
  bool isolated(Time now) const {
    const auto silence = now - heard_;
    return silence > kSilence ||
           (silence > kLeastSilence && questions_ >= kQuestions && members_ >= kMembers);
  }

 private:
  static constexpr Time kSilence = std::chrono::seconds(3);  // longer than stalls: enough by itself
  static constexpr Time kLeastSilence = std::chrono::milliseconds(400);
  static constexpr Time kStall = std::chrono::milliseconds(300);  // past a subperiod, when a quiet one ticks
  // At a loss of a third of all messages, no answer to so many comes once in 300 times; and others'
  // questions, of which none came either, make that rarer.
  static constexpr int kQuestions = 8, kMembers = 4;

  Time heard_, ticked_, asked_since_{0}, silent_until_{0}, evidence_from_{0};
  int questions_ = 0, members_ = 0;
  std::array<int, kMembers> asked_{};
};

}  // namespace cranemux::tier
