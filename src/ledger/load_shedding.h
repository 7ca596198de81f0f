// Throttling of customers that press on their quotas, by lot: members set aside to keep ledgers tell all
// gatekeepers which share of such a customer's requests may go before it is asked for; the others are refused
// at once. Whoever is not named so goes first and is reported afterwards, also at its very first request. So
// mail grows with customers that press on their quotas, not with requests nor with pairs of customer and
// gatekeeper, and no request waits for it. What a word that is lost or late lets through, the next reports
// take from the store, and the share follows the store. Free of I/O.
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

constexpr int kWholeShare = 100;  // shares travel in hundredths; all of them: its store is far from empty

// At the keeper, for one ledger: which share of what is asked for fills at the plan's rate, and a little more
// or less as the store is above or below its aim.
class LoadShedder {
 public:
  // So many units were asked for, whether they were let through or refused.
  void record_demand(double units, Time now) {
    pass(now);
    demand_ += units / kMemory;
  }
  // As a keeper that has just begun to keep it: a gatekeeper goes by `share`, which another keeper has told.
  void adopt(int share, Time now) {
    if (active() || share >= kWholeShare) return;
    say(share, now);
    on_until_ = now + holds_;
  }
  // The share that all are to be told, where it is news.
  std::optional<int> update(double level, double rate, double burst, Time now) {
    pass(now);
    const double known =
        1 - std::exp(-seconds(now - began_) / kMemory);  // of the memory, since the first word
    const double demand = known > 0 ? demand_ / known : 0;
    const double want = rate * std::max(0.0, 1 + kGain * (level / std::max(burst, 1e-9) - kAim));
    const int share = demand > want
                          ? std::clamp(static_cast<int>(kWholeShare * want / demand), 1, kWholeShare)
                          : kWholeShare;
    if (!active()) {
      if (level >= kTight * burst || share > kLeastNews) return std::nullopt;
      holds_ = now - said_at_ < 2 * holds_ ? std::min<Time>(2 * holds_, kLongest) : kShortest;
      on_until_ = now + holds_;
      return say(share, now);
    }
    if (share <= kLeastNews) on_until_ = now + holds_;
    if (now >= on_until_ && level >= kRelaxed * burst) return say(kWholeShare, now);
    // What a few requests of one to four units move by themselves is no news.
    const double noise = kNoise / std::sqrt(std::max(1.0, std::min(demand * kMemory, burst / 2)));
    const bool other = std::abs(share - said_) > std::max(1.0, (kNews + noise) * std::min(share, said_));
    const auto since = now - said_at_;
    if (since < kAgain && !(other && since >= spacing(rate))) return std::nullopt;
    return say(std::min(share, kWholeShare - 1), now);
  }
  bool active() const { return said_ < kWholeShare; }
  int announced_share() const { return said_; }

 private:
  static constexpr double kTight = 0.4, kRelaxed = 0.6, kAim = 0.25;  // of the store
  static constexpr int kLeastNews = 90;  // hundredths: no fewer need be told to begin with, nor keep it up
  static constexpr Time kShortest = std::chrono::seconds(2), kLongest = std::chrono::seconds(60);
  static constexpr double kGain = 1;
  static constexpr double kMemory = 5;  // seconds
  static constexpr double kNews = 0.4;  // of the share that was said, and beyond what is noise ...
  static constexpr double kNoise = 1;   // ... of units that come by one to four
  static constexpr Time kLeast = std::chrono::milliseconds(750), kMost = std::chrono::seconds(5);
  static constexpr double kFills = 8;                       // units
  static constexpr Time kAgain = std::chrono::seconds(25);  // twice while ShedTable keeps a word

  static double seconds(Time span) { return static_cast<double>(span.count()) / 1e9; }
  void pass(Time now) {
    if (began_ < Time(0)) began_ = at_ = now;
    if (now > at_) demand_ *= std::exp(-seconds(now - std::exchange(at_, now)) / kMemory);
  }
  // Sooner no word has had its effect, and a slow store has not filled by two requests.
  static Time spacing(double rate) {
    const double fills = kFills / std::max(rate, 1e-9);
    return std::max(kLeast, std::min(kMost, Time(static_cast<std::int64_t>(std::min(fills, 100.0) * 1e9))));
  }
  std::optional<int> say(int share, Time now) {
    said_at_ = now;
    return said_ = share;
  }

  double demand_ = 0;  // units a second, by the memory
  Time began_{-1}, at_{-1}, said_at_{-1}, on_until_{-1}, holds_{kShortest};
  int said_ = kWholeShare;
};

struct ShedNotice {
  std::uint32_t plan = 0;  // its number in the settings
  std::uint32_t customer = 0;
  int share = kWholeShare;
};

// At a member set aside: one log for all, and how far each gatekeeper has heard it.
class ShedNoticeLog {
 public:
  static constexpr std::size_t kCapacity = 8192;  // words; a gatekeeper further behind misses the oldest

  explicit ShedNoticeLog(int gatekeepers = 0) : next_(static_cast<std::size_t>(gatekeepers), 0) {}

  void add(const ShedNotice& word) {
    words_.push_back(word);
    if (words_.size() <= kCapacity) return;
    words_.pop_front();
    ++first_;
  }
  bool has_unsent(int to) const { return next_[static_cast<std::size_t>(to)] < first_ + words_.size(); }
  // What that gatekeeper has not heard, the oldest first, as far as `room` goes for words of `size`.
  template <typename Write>
  void piggyback(int to, std::size_t room, std::size_t size, const Write& write) {
    auto& next = next_[static_cast<std::size_t>(to)];
    missed_ += first_ - std::min(first_, next);
    next = std::max(first_, next);
    for (; has_unsent(to) && room >= size; room -= size, ++next) write(words_[next - first_]);
  }
  std::uint64_t missed() const { return missed_; }  // words, over all gatekeepers

 private:
  std::deque<ShedNotice> words_;
  std::uint64_t first_ = 0;  // the number of the oldest kept
  std::vector<std::uint64_t> next_;
  std::uint64_t missed_ = 0;
};

// At a gatekeeper: what it has been told lately, also of customers that it has not met.
class ShedTable {
 public:
  static constexpr Time kEntryLifetime = std::chrono::seconds(60);  // said again sooner, while it holds
  static constexpr std::size_t kMaxCustomers = 32768;  // customers; past it the next ones are not noted

  void update(std::uint32_t customer, int share, Time now) {
    if (share >= kWholeShare) {
      told_.erase(customer);
    } else if (told_.size() < kMaxCustomers || told_.contains(customer)) {
      told_[customer] = {share, now + kEntryLifetime};
    } else {
      ++dropped_;
    }
  }
  // Nothing: all may go.
  std::optional<int> share(std::uint32_t customer, Time now) const {
    const auto at = told_.find(customer);
    return at != told_.end() && now < at->second.until ? std::optional(at->second.share) : std::nullopt;
  }
  // A part of them at each call.
  void erase_expired(Time now) {
    erase_some(told_, swept_, [&](const auto& item) { return now >= item.second.until; });
  }
  std::size_t size() const { return told_.size(); }
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Told {
    int share = kWholeShare;
    Time until{0};
  };
  std::map<std::uint32_t, Told> told_;
  std::uint32_t swept_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace cranemux::ledger
