// Elects the leader of each customer's ledger where quotas are guarded, so that no two members fill one
// customer's token bucket at once: whatever message is lost, late, repeated or reordered, and whichever
// member stops, starts or is cut off. Free of I/O.
//
// Each member has a view: the members that it has not heard for `failure_timeout`. It sends its view in
// every message and so votes, for each customer, for the first member in the customer's order
// (rendezvous_hash.h) that its view does not hold failed. A member leads a ledger while more than half of the
// tier vote for it. A vote counts for `lease` from the moment when the leader sent the message that the voter
// had received last when it voted. So the leader's own clock ends the vote, however late it came. A member
// that has changed its view, or has just started, sends no view for `vote_pause`, which is longer than a
// lease, so its old vote has ended before its new one counts. Any two majorities have a member in common,
// and that member has one vote at a time.
//
// After "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (C. Gray,
// D. Cheriton, SOSP 1989), section 5 on clocks, with majorities in place of one server.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace cranemux::ledger {

using Time = std::chrono::nanoseconds;  // of the owner's steady clock
using View = std::uint64_t;             // a bit for each member that is held failed
constexpr int kMaxGuardedMembers = 63;  // members of a tier with guarded quotas: a View travels in 63 bits

// Durations of the election, the same at all members of a tier.
struct HeartbeatTimings {
  Time interval{};         // a message goes to every member at least this often
  Time lease{};            // how long a vote counts
  Time failure_timeout{};  // a member that was not heard for so long is held failed
  Time vote_pause{};       // no vote for so long after a start or a change of view
};
// Returns the timings for a tier of `members`. `messages_per_s`: that one gatekeeper may send; if it sends
// nothing else, half of them are heartbeats.
HeartbeatTimings heartbeat_timings(int members, double messages_per_s);

// Milliseconds since the sender's start, modulo 2^24 as on the wire.
using Stamp = std::uint32_t;
constexpr Stamp kStampMask = 0xffffffU;

// The fields of the election in a message's header (guarded_header.h).
struct Heartbeat {
  Stamp stamp = 0;                    // when the message was sent
  std::uint16_t echo_generation = 0;  // generation of the receiver in its last message to the sender ...
  Stamp echo = 0;                     // ... and the stamp of that message
  bool has_echo = false;              // false: the sender has received nothing from the receiver
  std::optional<View> view;           // the sender's vote; none during its vote pause
};

// One member's part in the election.
class LeaderElection {
 public:
  // `generation`: number of this start of the gatekeeper; two starts may have the same.
  LeaderElection(int members, int self, std::uint16_t generation, const HeartbeatTimings& timings, Time now);

  // Records a heartbeat. Returns false if a later one of the same sender has overtaken it.
  bool receive(int from, std::uint16_t generation, const Heartbeat& heartbeat, Time now);
  // Returns the heartbeat to send to that member now.
  Heartbeat heartbeat_for(int to, Time now) const;
  // Recomputes the view from when each member was last heard. Returns whether it has changed.
  bool update_view(Time now);

  // Whether the own view holds that member failed.
  bool failed(int member) const { return (view_ >> static_cast<unsigned>(member) & 1U) != 0; }
  // Whether the vote pause is over.
  bool settled(Time now) const { return now >= settled_at_; }
  // Returns the customer's leader by the own view: the first in its order; itself if all others failed.
  int leader(std::uint32_t customer) const;
  // Returns who should lead the customer's ledger after member `without`; -1: no other member is heard.
  int successor(std::uint32_t customer, int without) const;
  // Returns whether this member leads the customer's ledger now, by a majority of votes.
  bool has_leadership(std::uint32_t customer, Time now) const;
  // Returns the number of other members that do not vote for this one as the customer's leader now. Their
  // shares of the quota are not the leader's to grant.
  int missing_votes(std::uint32_t customer, Time now) const;
  const HeartbeatTimings& timings() const { return timings_; }
  int members() const { return members_; }
  // Returns the number of starts of that member that were heard here, counting two that drew the same
  // generation.
  std::uint32_t generations_seen(int member) const {
    return others_[static_cast<std::size_t>(member)].generations_seen;
  }
  View view() const { return view_; }
  // Returns all state that later behaviour depends on, with times relative to `now` and none in the past.
  // Two elections with equal snapshots behave alike, so a search over states can merge them.
  std::vector<std::int64_t> state_snapshot(Time now) const;

 private:
  struct Other {
    Time heard{-1};
    std::uint16_t generation = 0;
    std::uint32_t generations_seen = 0;
    Stamp stamp = 0;           // of its last message
    std::optional<View> view;  // its vote, which counts ...
    Time vote_ends{-1};        // ... until then
  };
  bool votes_for_me(const Other& other, std::uint32_t customer, Time now) const;
  Stamp stamp(Time now) const;

  const int members_, self_;
  const std::uint16_t generation_;
  const HeartbeatTimings timings_;
  const Time started_at_;
  std::vector<Other> others_;  // by member
  View view_ = 0;
  Time settled_at_;  // end of the vote pause
};

}  // namespace cranemux::ledger
