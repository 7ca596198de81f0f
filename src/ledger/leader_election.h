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
constexpr int kMostGuarded = 63;        // members of a tier that guards its quotas

struct Beats {
  Time beat{};     // a message goes to every member at least this often
  Time lease{};    // a vote counts for so long
  Time silence{};  // who was not heard for so long is held gone
  Time quiet{};    // no vote for so long after a change of view
};
// `messages_per_s`: that one gatekeeper may send. Half of them carry votes where nothing else flows.
Beats beats_of(int members, double messages_per_s);

// Milliseconds of a life, in 24 bits on the wire.
using Stamp = std::uint32_t;
constexpr Stamp kStampMask = 0xffffffU;

// What a message says of this.
struct Word {
  Stamp stamp = 0;              // when it left, by its sender's life
  std::uint16_t echo_life = 0;  // of the receiver, as the sender last heard it ...
  Stamp echo = 0;               // ... and its stamp then
  bool echoes = false;          // false: has heard nothing of it
  std::optional<View> view;     // none: not settled
};

class Rights {
 public:
  Rights(int members, int self, std::uint16_t life, const Beats& beats, Time now);

  // False: the message was overtaken by a later one.
  bool heard(int from, std::uint16_t life, const Word& word, Time now);
  Word say(int to, Time now) const;
  // Takes a new look at whom it has heard. True: the view has changed.
  bool look(Time now);

  bool gone(int member) const { return (view_ >> static_cast<unsigned>(member) & 1U) != 0; }
  bool settled(Time now) const { return now >= settled_at_; }
  // Whom to ask about a customer, by the own view: the first in its order; itself where all others are gone.
  int keeper(std::uint32_t customer) const;
  // Who should have this one's ledger of the customer, if it is not `without`; -1: nobody is there.
  int heir(std::uint32_t customer, int without) const;
  // May this one keep the customer's ledger, now?
  bool holds(std::uint32_t customer, Time now) const;
  // Members that do not vote for this one as the customer's keeper: their part is not its to give.
  int missing(std::uint32_t customer, Time now) const;
  const Beats& beats() const { return beats_; }
  int members() const { return members_; }
  // Starts of a member that have been heard here, also where two drew the same number.
  std::uint32_t epoch(int member) const { return others_[static_cast<std::size_t>(member)].epoch; }
  View view() const { return view_; }
  // All that later behaviour depends on, with times as far from now as still matters: two with equal pictures
  // behave alike. For searches over states.
  std::vector<std::int64_t> picture(Time now) const;

 private:
  struct Other {
    Time heard{-1};
    std::uint16_t life = 0;
    std::uint32_t epoch = 0;
    Stamp stamp = 0;           // its own, as last heard
    std::optional<View> view;  // its vote ...
    Time vote_ends{-1};        // ... counts until then
  };
  bool votes_for_me(const Other& other, std::uint32_t customer, Time now) const;
  Stamp stamp(Time now) const;

  const int members_, self_;
  const std::uint16_t life_;
  const Beats beats_;
  const Time began_;
  std::vector<Other> others_;
  View view_ = 0;
  Time settled_at_;
};

}  // namespace cranemux::ledger
