// Standing credit: a customer whose store is known to be far from empty needs no question before each
// request. Its keeper says so with every answer; until it says otherwise, or for as long as that word counts,
// its gatekeepers spend first and report afterwards, several requests in one report where they can. Once the
// store runs low the keeper tells all that it knows of, and questions come first again, longer each time that
// happens soon after the last. So mail follows customers that press on their quotas, not requests. Free of
// I/O.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "ledger/leader_election.h"
#include "ledger/load_shedding.h"

namespace cranemux::ledger {

// At the keeper: may it be spent before it is asked for?
class LowWatermark {
 public:
  // The level, of a store of `burst`, has changed. True: it has just become tight, which others must hear.
  bool update(double level, double burst, Time now) {
    if (level >= kTight * burst) return false;
    const bool news = !below(now);
    if (news) holds_ = now - until_ < 2 * holds_ ? std::min<Time>(2 * holds_, kLongest) : kShortest;
    until_ = now + holds_;
    return news;
  }
  bool below(Time now) const { return now < until_; }

 private:
  static constexpr double kTight = 0.4;  // of the store: the rest goes while the word is on its way
  static constexpr Time kShortest = std::chrono::seconds(2), kLongest = std::chrono::seconds(60);
  Time until_{-1}, holds_{kShortest};
};

// At a gatekeeper.
class OptimisticLease {
 public:
  static constexpr Time kValidity = std::chrono::seconds(300);  // a keeper's word, before it is asked again

  // The keeper's word; `share`: units of it that may be spent whether it is heard or not.
  void update(bool open, double share, Time now) {
    until_ = open ? now + kValidity : Time(-1);
    if (open) throttled_until_ = Time(-1);
    unsaid_ = false;
    half_ = share / 2;
  }
  bool active(Time now) const { return now < until_; }
  // A word to all (load_shedding.h): `part` of its requests, from 0 to 1, may go, the others not; 1: it is
  // open.
  void shed(double part, Time now) {
    part_ = part;
    throttled_until_ = part < 1 ? now + ShedTable::kEntryLifetime : Time(-1);
    until_ = part < 1 ? Time(-1) : now + kValidity;
  }
  bool shedding(Time now) const { return now < throttled_until_; }
  double admitted_share() const { return part_; }
  // `lot`: of a request, even from 0 to 1.
  bool admits(double lot) const { return lot < part_; }
  // Refused so: its keeper goes by what is asked for.
  void record_shed(double units, Time now) {
    turned_away_ += units;
    gather(now);
  }
  double units_shed() const { return turned_away_; }  // units since the last report
  // Is there nothing to ask, only to report when it is `due`?
  bool only_reports(Time now) const { return active(now) || shedding(now); }
  // `level`: of the store of `burst` as this gatekeeper knows it; `heard`: the keeper has left no question
  // unanswered; `share`: what is left of it.
  bool covers(double units, double share, double level, double burst, bool heard, Time now) const {
    return active(now) && level - units >= kLeast * burst && (heard || share >= units);
  }
  // It was spent so, and this is left of the share.
  void spend(double share, Time now) {
    gather(now);
    if (needs_renewal(share, now)) due_ = std::min(due_, now);
  }
  // Half of the share is used up: word is wanted, not only a report.
  bool needs_renewal(double share, Time now) const { return share < half_ && !shedding(now); }
  Time due() const { return due_; }  // the report, or the question
  void reported() {
    unsaid_ = false;
    turned_away_ = 0;
  }

 private:
  static constexpr double kLeast = 0.5;  // of the store is left alone
  static constexpr Time kGather = std::chrono::seconds(1);
  void gather(Time now) {
    if (!unsaid_) due_ = now + kGather;
    unsaid_ = true;
  }
  Time until_{-1}, due_{-1}, throttled_until_{-1};
  bool unsaid_ = false;
  double half_ = 0, part_ = 1, turned_away_ = 0;
};

}  // namespace cranemux::ledger
