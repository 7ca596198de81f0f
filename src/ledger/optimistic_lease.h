// Optimistic leases: while a customer's bucket is known to be far from empty, its gatekeepers need no lease
// for each request. The leader says with every answer whether that is so; until it says otherwise, or the
// lease expires, gatekeepers spend first and report later, several requests in one report where possible.
// When the bucket falls below the low watermark, the leader notifies all gatekeepers that it knows of, and
// they request leases first again, longer each time that this recurs soon. So the messages grow with the
// customers that come close to their quotas, not with requests. Free of I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "ledger/leader_election.h"
#include "ledger/load_shedding.h"

namespace cranemux::ledger {

// At the leader: whether a bucket is, or was recently, below the low watermark.
class LowWatermark {
 public:
  // The tokens in a bucket of `burst` have changed. Returns true if it has just fallen below the watermark,
  // which the gatekeepers must be notified of.
  bool update(double tokens, double burst, Time now) {
    if (tokens >= kWatermark * burst) return false;
    const bool crossed = !below(now);
    if (crossed)
      hold_time_ =
          now - until_ < 2 * hold_time_ ? std::min<Time>(2 * hold_time_, kMaxHoldTime) : kMinHoldTime;
    until_ = now + hold_time_;
    return crossed;
  }
  bool below(Time now) const { return now < until_; }

 private:
  static constexpr double kWatermark =
      0.4;  // of the bucket: the rest is spent while notifications are in flight
  static constexpr Time kMinHoldTime = std::chrono::seconds(2), kMaxHoldTime = std::chrono::seconds(60);
  Time until_{-1}, hold_time_{kMinHoldTime};
};

// At a gatekeeper, for one customer: permission to spend before a lease is requested, or to admit an
// announced share of the requests.
class OptimisticLease {
 public:
  static constexpr Time kValidity = std::chrono::seconds(300);  // after it the leader is asked again

  // Applies the leader's answer. `open`: the bucket is above the low watermark; `share`: units that may be
  // spent even if the leader does not answer any more.
  void update(bool open, double share, Time now) {
    until_ = open ? now + kValidity : Time(-1);
    if (open) shedding_until_ = Time(-1);
    has_unreported_ = false;
    half_share_ = share / 2;
  }
  bool active(Time now) const { return now < until_; }
  // Applies a ShedNotice. `admitted_share`: of its requests, from 0 to 1; the others are refused. 1 ends
  // shedding.
  void shed(double admitted_share, Time now) {
    admitted_share_ = admitted_share;
    shedding_until_ = admitted_share < 1 ? now + ShedTable::kEntryLifetime : Time(-1);
    until_ = admitted_share < 1 ? Time(-1) : now + kValidity;
  }
  bool shedding(Time now) const { return now < shedding_until_; }
  double admitted_share() const { return admitted_share_; }
  // `shed_draw`: of a request, evenly distributed from 0 to 1.
  bool admits(double shed_draw) const { return shed_draw < admitted_share_; }
  // Records units that were refused by the share: the leader needs the whole demand.
  void record_shed(double units, Time now) {
    units_shed_ += units;
    schedule_report(now);
  }
  double units_shed() const { return units_shed_; }  // since the last report
  // Returns whether no lease is needed, only a report when it is `due`.
  bool only_reports(Time now) const { return active(now) || shedding(now); }
  // Returns whether the units may be spent now. `tokens`: in the bucket of `burst`, as this gatekeeper knows
  // it; `heard`: the leader has left no request unanswered; `share`: what is left of it.
  bool covers(double units, double share, double tokens, double burst, bool heard, Time now) const {
    return active(now) && tokens - units >= kReserve * burst && (heard || share >= units);
  }
  // Records units that were spent so. `share`: what is left of it.
  void spend(double share, Time now) {
    schedule_report(now);
    if (needs_renewal(share, now)) due_ = std::min(due_, now);
  }
  // Returns whether half of the share is used up, so that a request is sent instead of a report.
  bool needs_renewal(double share, Time now) const { return share < half_share_ && !shedding(now); }
  Time due() const { return due_; }  // when the report or the request is to be sent
  void reported() {
    has_unreported_ = false;
    units_shed_ = 0;
  }

 private:
  static constexpr double kReserve = 0.5;  // of the bucket: not spent under an optimistic lease
  static constexpr Time kReportDelay = std::chrono::seconds(1);
  void schedule_report(Time now) {
    if (!has_unreported_) due_ = now + kReportDelay;
    has_unreported_ = true;
  }
  Time until_{-1}, due_{-1}, shedding_until_{-1};
  bool has_unreported_ = false;
  double half_share_ = 0, admitted_share_ = 1, units_shed_ = 0;
};

}  // namespace cranemux::ledger
