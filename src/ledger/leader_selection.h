// Which member leads a customer's quota, as one gatekeeper sees it, when that one is asked again, and what a
// question without an answer says about it. Quotas that trust; where they are guarded, LeaderElection decides
// who leads. Free of I/O.
//
// An unanswered question is asked again, each time after twice the wait. Several in a row make the member
// that was asked a suspect, and a replica is asked. That holds only while others are heard. Where nobody is,
// it may be the way that is cut: then one question leaves at a time, to each that may lead in turn, and
// nobody is blamed. When the trouble is over, whatever waits is asked anew at once: no back-off outlasts it.
#pragma once

#include <algorithm>
#include <vector>

#include "ledger/account.h"
#include "ledger/replica_placement.h"
#include "ledger/request_timing.h"
#include "tier/isolation.h"
#include "tier/suspicion.h"

namespace cranemux::ledger {

struct LeaderSelectionSettings {
  int members = 1, self = 0;
  int dedicated_leaders = 0;  // of them, the last ones: dedicated quota leaders
  bool guarded = false;
  Time subperiod{0};  // between questions where nothing new is held
};

class LeaderSelection {
 public:
  LeaderSelection(const LeaderSelectionSettings& terms, Time now)
      : terms_(terms), isolation_(now), suspicion_(terms.members), heard_(suspicion_.until()) {}

  // At the beginning of each turn, before anything else.
  void tick(Time now) { isolation_.tick(now); }
  void record_request(int member) { isolation_.record_request(member); }
  // Anything good from that member has come.
  void record_message(int member, Time now) {
    isolation_.record_message(now);
    suspicion_.record_message(member, now);
    heard_[static_cast<std::size_t>(member)] = now;
  }
  // It hears nobody, and goes by its even shares.
  bool isolated(Time now) const { return !terms_.guarded && terms_.members > 1 && isolation_.isolated(now); }
  tier::Suspicion& suspicion() { return suspicion_; }

  // Who is to be asked about the customer; -1: nobody is there. `silent(member)`: is it known to be gone?
  template <typename Silent>
  int leader_for(const Account& a, const Silent& silent, Time now) const {
    const int count =
        std::min(kLeaderReplicas, terms_.dedicated_leaders > 0 ? terms_.dedicated_leaders : a.spread);
    if (unheard(a, now) && at(a, 0) != terms_.self) {
      for (int i = 0; i < count; ++i) {
        const int member = at(a, (probes_ + i) % count);
        if (member != terms_.self) return member;
      }
    }
    for (int rank = 0; rank < count; ++rank) {
      const int member = at(a, rank);
      if (!suspicion_.suspected(member, now) && !silent(member)) return member;
    }
    return -1;
  }

  // When the account's next question may leave. `leader`: of(a) now; `pause`: for so long its leader, which
  // has none left, wants not to be asked.
  Time next_request_at(const Account& a, int leader, Time pause, Time now) const {
    if (unheard(a, now)) return next_probe_;
    if (proves_nothing(a, leader) || asked_in_silence(a)) return now;
    return Time(a.requested_at) +
           delay_to_next_request(a, pause, terms_.subperiod,
                                 there(a) ? kMaxBackoffDoublingsIfHeard : kMaxBackoffDoublings);
  }
  // A question leaves now: counts the one before, if that was not answered. True: who was asked is suspected
  // from now on. `drawn()`: even from 0 to 1.
  template <typename Drawn>
  bool start_request(Account& a, int leader, const Drawn& drawn, Time now) {
    if (unheard(a, now)) {
      const double wait =
          (kLeastProbe + kProbeJitter * drawn()) * static_cast<double>(terms_.subperiod.count());
      next_probe_ = now + Time(static_cast<std::int64_t>(wait));
      ++probes_;
      return false;
    }
    if (!awaits_answer(a) || proves_nothing(a, leader)) {
      a.unanswered_requests = 0;
      return false;
    }
    if (asked_in_silence(a)) {
      a.unanswered_requests = std::min(a.unanswered_requests, kUnansweredToSuspect - 1);
      return false;
    }
    // It counts against the member that was asked: `leader` may be another by now.
    if (++a.unanswered_requests < kUnansweredToSuspect || a.leader < 0 || a.leader == terms_.self ||
        terms_.guarded)
      return false;
    suspicion_.suspect(a.leader, now);
    return true;
  }
  // Is this the answer of a replica that was asked while nobody was heard, although `leader` can be asked
  // now?
  bool is_stale_answer(const Account& a, int from, int leader) const {
    return !terms_.guarded && from != leader && (proves_nothing(a, leader) || asked_in_silence(a));
  }

 private:
  // Between two probes, in subperiods.
  static constexpr double kLeastProbe = 1.4, kProbeJitter = 0.4;

  int at(const Account& a, int rank) const {
    return leader_at(a.hash, a.shard, rank, a.first, a.spread, terms_.members, terms_.dedicated_leaders);
  }
  // The account's question waits, and nobody at all is heard.
  bool unheard(const Account& a, Time now) const {
    return !terms_.guarded && awaits_answer(a) && (isolated(now) || isolation_.silent(now));
  }
  // Does it say nothing about who was asked that the account's question was not answered?
  bool proves_nothing(const Account& a, int leader) const {
    if (!awaits_answer(a)) return false;
    if (a.leader < 0) return leader >= 0;  // nobody was asked
    return Time(a.requested_at) < std::max(isolation_.evidence_valid_from(), suspicion_.recovered(a.leader));
  }
  // Has the guarded keeper that was asked been heard since its answer was due? Its votes come all the time,
  // so a question or an answer is lost, or it had no right to keep: it can be asked again soon.
  bool there(const Account& a) const {
    return terms_.guarded && a.leader >= 0 && a.leader != terms_.self &&
           heard_[static_cast<std::size_t>(a.leader)] > Time(a.requested_at) + kAnswerTimeout;
  }
  bool asked_in_silence(const Account& a) const {
    return awaits_answer(a) && Time(a.requested_at) < isolation_.silent_until();
  }

  const LeaderSelectionSettings terms_;
  tier::Isolation isolation_;
  tier::Suspicion suspicion_;
  std::vector<Time> heard_;  // by member
  int probes_ = 0;
  Time next_probe_{0};
};

}  // namespace cranemux::ledger
