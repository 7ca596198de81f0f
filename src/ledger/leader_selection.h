// Selects the member that leads a customer's quota, as one gatekeeper sees it, when that member is asked
// again, and what an unanswered request says about it. For trusting quotas; where quotas are guarded,
// LeaderElection decides who leads, and only the timing here applies. Free of I/O.
//
// An unanswered request is repeated with exponential backoff. Several in a row make the member that was asked
// a suspect, and a replica is asked. This holds only while other members are heard. While none is, this
// gatekeeper may be the one that is cut off: then one request leaves at a time, to each member that may lead
// in turn, and none is suspected. When a member is heard again, all waiting requests are sent anew at once,
// so no backoff outlasts the outage.
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
  int dedicated_leaders = 0;  // the last so many members only lead quotas
  bool guarded = false;
  Time subperiod{0};  // between requests while nothing more is held
};

// One gatekeeper's knowledge of which members can be asked.
class LeaderSelection {
 public:
  LeaderSelection(const LeaderSelectionSettings& settings, Time now)
      : settings_(settings), isolation_(now), suspicion_(settings.members), heard_(suspicion_.until()) {}

  // Call it at the start of each step, before anything else.
  void tick(Time now) { isolation_.tick(now); }
  // A request has left for that member.
  void record_request(int member) { isolation_.record_request(member); }
  // A valid message of that member has arrived.
  void record_message(int member, Time now) {
    isolation_.record_message(now);
    suspicion_.record_message(member, now);
    heard_[static_cast<std::size_t>(member)] = now;
  }
  // Whether this gatekeeper hears no other member and spends even shares. Never where quotas are guarded.
  bool isolated(Time now) const {
    return !settings_.guarded && settings_.members > 1 && isolation_.isolated(now);
  }
  tier::Suspicion& suspicion() { return suspicion_; }

  // Returns the member to ask about the account's customer, or -1 if none is available. `failed(member)`:
  // whether that member is known to have failed.
  template <typename Failed>
  int leader_for(const Account& account, const Failed& failed, Time now) const {
    const int candidates = std::min(
        kLeaderReplicas, settings_.dedicated_leaders > 0 ? settings_.dedicated_leaders : account.spread);
    if (awaits_in_silence(account, now) && member_at(account, 0) != settings_.self) {
      for (int i = 0; i < candidates; ++i) {
        const int member = member_at(account, (probes_sent_ + i) % candidates);
        if (member != settings_.self) return member;
      }
    }
    for (int rank = 0; rank < candidates; ++rank) {
      const int member = member_at(account, rank);
      if (!suspicion_.suspected(member, now) && !failed(member)) return member;
    }
    return -1;
  }

  // Returns when the account's next request may leave. `leader`: leader_for(account) now; `pause`: wait that
  // the leader asked for when it had no tokens left.
  Time next_request_at(const Account& account, int leader, Time pause, Time now) const {
    if (awaits_in_silence(account, now)) return next_probe_at_;
    if (timeout_is_no_evidence(account, leader) || sent_in_silence(account)) return now;
    return Time(account.requested_at) + delay_to_next_request(account, pause, settings_.subperiod,
                                                              leader_heard_since(account)
                                                                  ? kMaxBackoffDoublingsIfHeard
                                                                  : kMaxBackoffDoublings);
  }
  // Call it before a request leaves: counts the previous one if that was not answered. Returns whether the
  // member that was asked is suspected from now on. `uniform()`: draws evenly from [0, 1).
  template <typename Uniform>
  bool start_request(Account& account, int leader, const Uniform& uniform, Time now) {
    if (awaits_in_silence(account, now)) {
      const double wait =
          (kMinProbeInterval + kProbeJitter * uniform()) * static_cast<double>(settings_.subperiod.count());
      next_probe_at_ = now + Time(static_cast<std::int64_t>(wait));
      ++probes_sent_;
      return false;
    }
    if (!awaits_answer(account) || timeout_is_no_evidence(account, leader)) {
      account.unanswered_requests = 0;
      return false;
    }
    if (sent_in_silence(account)) {
      account.unanswered_requests = std::min(account.unanswered_requests, kUnansweredToSuspect - 1);
      return false;
    }
    // Counts against the member that was asked; `leader` may be another one by now.
    if (++account.unanswered_requests < kUnansweredToSuspect || account.leader < 0 ||
        account.leader == settings_.self || settings_.guarded)
      return false;
    suspicion_.suspect(account.leader, now);
    return true;
  }
  // Returns whether an answer of `from` is one of a replica that was asked while no member was heard,
  // although `leader` can be asked now.
  bool is_stale_answer(const Account& account, int from, int leader) const {
    return !settings_.guarded && from != leader &&
           (timeout_is_no_evidence(account, leader) || sent_in_silence(account));
  }

 private:
  // Between two probes while no member is heard, in subperiods.
  static constexpr double kMinProbeInterval = 1.4, kProbeJitter = 0.4;

  int member_at(const Account& account, int rank) const {
    return leader_at(account.hash, account.shard, rank, account.first, account.spread, settings_.members,
                     settings_.dedicated_leaders);
  }
  // Whether the account awaits an answer while no member is heard.
  bool awaits_in_silence(const Account& account, Time now) const {
    return !settings_.guarded && awaits_answer(account) && (isolated(now) || isolation_.silent(now));
  }
  // Whether it says nothing about the member that was asked that the account's request was not answered.
  bool timeout_is_no_evidence(const Account& account, int leader) const {
    if (!awaits_answer(account)) return false;
    if (account.leader < 0) return leader >= 0;  // no member was asked
    return Time(account.requested_at) <
           std::max(isolation_.evidence_valid_from(), suspicion_.recovered(account.leader));
  }
  // Whether the guarded leader that was asked was heard after its answer was due. Its votes come all the
  // time, so the request or the answer was lost, or it had no leadership: it can be asked again soon.
  bool leader_heard_since(const Account& account) const {
    return settings_.guarded && account.leader >= 0 && account.leader != settings_.self &&
           heard_[static_cast<std::size_t>(account.leader)] > Time(account.requested_at) + kAnswerTimeout;
  }
  // Whether the account's unanswered request left before the last silence ended.
  bool sent_in_silence(const Account& account) const {
    return awaits_answer(account) && Time(account.requested_at) < isolation_.silent_until();
  }

  const LeaderSelectionSettings settings_;
  tier::Isolation isolation_;
  tier::Suspicion suspicion_;
  std::vector<Time> heard_;  // by member
  int probes_sent_ = 0;
  Time next_probe_at_{0};
};

}  // namespace cranemux::ledger
