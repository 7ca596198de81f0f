// Load shedding for customers that exceed their quotas. The dedicated quota leaders announce to all
// gatekeepers which share of such a customer's requests they may admit without a lease; the others are
// refused at once, at random. A customer without an announced share may spend first and be reported
// afterwards, from its very first request on. So the messages grow with the customers that exceed their
// quotas, not with requests nor with pairs of customer and gatekeeper, and no request waits for a message.
// What a lost or late notice lets through is taken from the bucket by the next reports, and the share follows
// the bucket. Free of I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "ledger/incremental_erase.h"
#include "ledger/leader_election.h"

namespace cranemux::ledger {

// Shares are in hundredths; at the whole share every request is admitted.
constexpr int kWholeShare = 100;

// At the leader, for one ledger: controls the admitted share so that the admitted demand equals the plan's
// rate, plus or minus a correction that drives the bucket towards its target.
class LoadShedder {
 public:
  // Records units that were requested, admitted or not.
  void record_demand(double units, Time now) {
    decay(now);
    demand_ += units / kMemorySeconds;
  }
  // For a leader that has just opened the ledger: takes over `share`, which a gatekeeper has from another
  // leader.
  void adopt(int share, Time now) {
    if (active() || share >= kWholeShare) return;
    announce(share, now);
    active_until_ = now + hold_time_;
  }
  // Updates the share from the bucket's state. Returns the share if it is to be announced to all gatekeepers.
  std::optional<int> update(double tokens, double rate, double burst, Time now) {
    decay(now);
    // The part of the memory that has passed since the first record.
    const double known = 1 - std::exp(-seconds(now - started_at_) / kMemorySeconds);
    const double demand = known > 0 ? demand_ / known : 0;
    const double target = rate * std::max(0.0, 1 + kGain * (tokens / std::max(burst, 1e-9) - kTargetLevel));
    const int share = demand > target
                          ? std::clamp(static_cast<int>(kWholeShare * target / demand), 1, kWholeShare)
                          : kWholeShare;
    if (!active()) {
      if (tokens >= kLowWatermark * burst || share > kMaxShedShare) return std::nullopt;
      hold_time_ =
          now - announced_at_ < 2 * hold_time_ ? std::min<Time>(2 * hold_time_, kMaxHoldTime) : kMinHoldTime;
      active_until_ = now + hold_time_;
      return announce(share, now);
    }
    if (share <= kMaxShedShare) active_until_ = now + hold_time_;
    if (now >= active_until_ && tokens >= kHighWatermark * burst) return announce(kWholeShare, now);
    // A change that a few requests of one to four units can cause by themselves is not announced.
    const double noise = kNoise / std::sqrt(std::max(1.0, std::min(demand * kMemorySeconds, burst / 2)));
    const bool changed = std::abs(share - announced_share_) >
                         std::max(1.0, (kMinChange + noise) * std::min(share, announced_share_));
    const auto since = now - announced_at_;
    if (since < kRepeatInterval && !(changed && since >= spacing(rate))) return std::nullopt;
    return announce(std::min(share, kWholeShare - 1), now);
  }
  bool active() const { return announced_share_ < kWholeShare; }
  int announced_share() const { return announced_share_; }  // hundredths

 private:
  // Shares of the bucket.
  static constexpr double kLowWatermark = 0.4, kHighWatermark = 0.6, kTargetLevel = 0.25;
  // Hundredths: shedding neither starts nor continues for a larger share.
  static constexpr int kMaxShedShare = 90;
  static constexpr Time kMinHoldTime = std::chrono::seconds(2), kMaxHoldTime = std::chrono::seconds(60);
  static constexpr double kGain = 1;
  static constexpr double kMemorySeconds = 5;  // of the demand's exponential average
  static constexpr double kMinChange = 0.4;    // of the announced share, in addition to noise
  static constexpr double kNoise = 1;          // of requests of one to four units
  static constexpr Time kMinSpacing = std::chrono::milliseconds(750), kMaxSpacing = std::chrono::seconds(5);
  static constexpr double kSpacingUnits = 8;
  static constexpr Time kRepeatInterval = std::chrono::seconds(25);  // twice within ShedTable::kEntryLifetime

  static double seconds(Time span) { return static_cast<double>(span.count()) / 1e9; }
  void decay(Time now) {
    if (started_at_ < Time(0)) started_at_ = decayed_at_ = now;
    if (now > decayed_at_)
      demand_ *= std::exp(-seconds(now - std::exchange(decayed_at_, now)) / kMemorySeconds);
  }
  // Returns the least time between two announcements: before it the last one has had no effect, and a slow
  // bucket has not refilled by two requests.
  static Time spacing(double rate) {
    const double refill_seconds = kSpacingUnits / std::max(rate, 1e-9);
    return std::max(
        kMinSpacing,
        std::min(kMaxSpacing, Time(static_cast<std::int64_t>(std::min(refill_seconds, 100.0) * 1e9))));
  }
  std::optional<int> announce(int share, Time now) {
    announced_at_ = now;
    return announced_share_ = share;
  }

  double demand_ = 0;  // units a second
  Time started_at_{-1}, decayed_at_{-1}, announced_at_{-1}, active_until_{-1}, hold_time_{kMinHoldTime};
  int announced_share_ = kWholeShare;
};

// An announcement: gatekeepers admit `share` hundredths of the customer's requests.
struct ShedNotice {
  std::uint32_t plan = 0;  // its index in the settings
  std::uint32_t customer = 0;
  int share = kWholeShare;
};

// At a dedicated quota leader: the notices for all gatekeepers in one log, and each gatekeeper's position in
// it.
class ShedNoticeLog {
 public:
  static constexpr std::size_t kCapacity = 8192;  // notices; a gatekeeper further behind misses the oldest

  explicit ShedNoticeLog(int gatekeepers = 0) : next_(static_cast<std::size_t>(gatekeepers), 0) {}

  void add(const ShedNotice& notice) {
    notices_.push_back(notice);
    if (notices_.size() <= kCapacity) return;
    notices_.pop_front();
    ++first_;
  }
  bool has_unsent(int to) const { return next_[static_cast<std::size_t>(to)] < first_ + notices_.size(); }
  // Calls `write` for the notices that gatekeeper `to` has not been sent, oldest first, as far as `room`
  // bytes suffice for notices of `size` bytes.
  template <typename Write>
  void piggyback(int to, std::size_t room, std::size_t size, const Write& write) {
    auto& next = next_[static_cast<std::size_t>(to)];
    missed_ += first_ - std::min(first_, next);
    next = std::max(first_, next);
    for (; has_unsent(to) && room >= size; room -= size, ++next) write(notices_[next - first_]);
  }
  std::uint64_t missed() const { return missed_; }  // notices, over all gatekeepers

 private:
  std::deque<ShedNotice> notices_;
  std::uint64_t first_ = 0;          // number of the oldest notice in the log
  std::vector<std::uint64_t> next_;  // by gatekeeper: number of its next notice
  std::uint64_t missed_ = 0;
};

// At a gatekeeper: the shares that were announced recently, also of customers that it has no account of.
class ShedTable {
 public:
  static constexpr Time kEntryLifetime = std::chrono::seconds(60);  // the leader repeats a notice sooner
  static constexpr std::size_t kMaxCustomers = 32768;               // further ones are dropped

  // Applies a notice. `share`: in hundredths.
  void update(std::uint32_t customer, int share, Time now) {
    if (share >= kWholeShare) {
      entries_.erase(customer);
    } else if (entries_.size() < kMaxCustomers || entries_.contains(customer)) {
      entries_[customer] = {share, now + kEntryLifetime};
    } else {
      ++dropped_;
    }
  }
  // Returns the share in hundredths; nothing if all requests may be admitted.
  std::optional<int> share(std::uint32_t customer, Time now) const {
    const auto at = entries_.find(customer);
    return at != entries_.end() && now < at->second.until ? std::optional(at->second.share) : std::nullopt;
  }
  // Each call covers some of the entries.
  void erase_expired(Time now) {
    erase_some(entries_, erase_cursor_, [&](const auto& item) { return now >= item.second.until; });
  }
  std::size_t size() const { return entries_.size(); }
  std::uint64_t dropped() const { return dropped_; }  // notices

 private:
  struct Announced {
    int share = kWholeShare;
    Time until{0};
  };
  std::map<std::uint32_t, Announced> entries_;
  std::uint32_t erase_cursor_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace cranemux::ledger
