// Who may keep ledgers, so that no two keepers fill one customer's store at once: whatever is lost, late,
// sent twice or out of order, whoever stops, starts or is cut off.
//
// Each gatekeeper has a view: whom it has not heard for `silence`. It tells its view in every message, and so
// votes, for each customer, for the first keeper in the customer's order that is in its view. A keeper holds
// the right while more than half of the tier vote for it. A vote counts for `lease` from the moment at which
// the keeper sent what the voter had heard last when it voted: so it is the keeper's own clock that ends it,
// however late the vote came. Whoever changes its view, or has just started, tells none for `quiet`, which is
// longer than a lease, so its old vote has ended before its new one counts. More than half have one member in
// common with any other more than half, and that member has one vote at a time.
//
// After "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (C. Gray,
// D. Cheriton, SOSP 1989), section 5 on clocks, with majorities in place of one server.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace cranemux::ledger {

using Time = std::chrono::nanoseconds;  // of the holder's steady clock
using View = std::uint64_t;             // a bit for each member held gone
constexpr int kMaxGuardedMembers = 63;  // members of a tier that guards its quotas

struct HeartbeatTimings {
  Time interval{};         // a message goes to every member at least this often
  Time lease{};            // a vote counts for so long
  Time failure_timeout{};  // who was not heard for so long is held gone
  Time vote_pause{};       // no vote for so long after a change of view
};
// `messages_per_s`: that one gatekeeper may send. Half of them carry votes where nothing else flows.
HeartbeatTimings heartbeat_timings(int members, double messages_per_s);

// Milliseconds of a life, in 24 bits on the wire.
using Stamp = std::uint32_t;
constexpr Stamp kStampMask = 0xffffffU;

// What a message says of this.
struct Heartbeat {
  Stamp stamp = 0;                    // when it left, by its sender's life
  std::uint16_t echo_generation = 0;  // of the receiver, as the sender last heard it ...
  Stamp echo = 0;                     // ... and its stamp then
  bool has_echo = false;              // false: has heard nothing of it
  std::optional<View> view;           // none: not settled
};

class LeaderElection {
 public:
  LeaderElection(int members, int self, std::uint16_t life, const HeartbeatTimings& beats, Time now);

  // False: the message was overtaken by a later one.
  bool receive(int from, std::uint16_t life, const Heartbeat& word, Time now);
  Heartbeat heartbeat_for(int to, Time now) const;
  // Takes a new look at whom it has heard. True: the view has changed.
  bool update_view(Time now);

  bool failed(int member) const { return (view_ >> static_cast<unsigned>(member) & 1U) != 0; }
  bool settled(Time now) const { return now >= settled_at_; }
  // Whom to ask about a customer, by the own view: the first in its order; itself where all others are gone.
  int leader(std::uint32_t customer) const;
  // Who should have this one's ledger of the customer, if it is not `without`; -1: nobody is there.
  int successor(std::uint32_t customer, int without) const;
  // May this one keep the customer's ledger, now?
  bool has_leadership(std::uint32_t customer, Time now) const;
  // Members that do not vote for this one as the customer's keeper: their part is not its to give.
  int missing_votes(std::uint32_t customer, Time now) const;
  const HeartbeatTimings& timings() const { return beats_; }
  int members() const { return members_; }
  // Starts of a member that have been heard here, also where two drew the same number.
  std::uint32_t generations_seen(int member) const {
    return others_[static_cast<std::size_t>(member)].generations_seen;
  }
  View view() const { return view_; }
  // All that later behaviour depends on, with times as far from now as still matters: two with equal pictures
  // behave alike. For searches over states.
  std::vector<std::int64_t> state_snapshot(Time now) const;

 private:
  struct Other {
    Time heard{-1};
    std::uint16_t life = 0;
    std::uint32_t generations_seen = 0;
    Stamp stamp = 0;           // its own, as last heard
    std::optional<View> view;  // its vote ...
    Time vote_ends{-1};        // ... counts until then
  };
  bool votes_for_me(const Other& other, std::uint32_t customer, Time now) const;
  Stamp stamp(Time now) const;

  const int members_, self_;
  const std::uint16_t life_;
  const HeartbeatTimings beats_;
  const Time began_;
  std::vector<Other> others_;
  View view_ = 0;
  Time settled_at_;
};

}  // namespace cranemux::ledger
