// What one gatekeeper knows about another member of its tier.
#pragma once

#include <chrono>
#include <cstdint>

namespace cranemux::membership {

using Time = std::chrono::nanoseconds;  // on the local steady clock
constexpr Time kNever{-1};              // the event has not happened

// The values travel in two bits of an update, and their order matters: of two updates about the same
// incarnation the one with the larger state wins (SWIM, 4.2).
enum class State : std::uint8_t { unknown, alive, suspect, failed };
// Names of the states as operators see them, indexed by State.
constexpr const char* kStateNames[] = {"unheard", "alive", "suspect", "gone"};

// One start of a gatekeeper process. Numbers are drawn at random, so two starts may get the same one; their
// start times distinguish them then, as far as delayed messages allow (kGenerationTolerance).
struct Generation {
  std::uint16_t number = 0;
  Time started_at{0};  // arrival of the message that reported it, less the age that the message stated
  bool operator==(const Generation&) const = default;
};

// Estimates of one start time differ by the delay of the messages that carried them.
constexpr Time kGenerationTolerance = std::chrono::milliseconds(1500);

// Returns true if `other` started after `known`: another number, or the same number drawn again.
inline bool is_later_generation(const Generation& known, const Generation& other) {
  if (known.number == other.number) return other.started_at > known.started_at + kGenerationTolerance;
  return other.started_at > known.started_at;
}
// Returns true if both are estimates of the same start. Delay makes an estimate later, never earlier, so the
// earliest estimate is the one to keep.
inline bool is_same_generation(const Generation& known, const Generation& other) {
  return known.number == other.number && !is_later_generation(known, other) &&
         !is_later_generation(other, known);
}

struct Member {
  State state = State::unknown;
  Generation generation;
  std::uint8_t incarnation = 0;        // raised by the member itself to refute a suspicion
  Time last_heard = kNever;            // last message received from the member itself
  Time last_vouched_for = kNever;      // last report by another member that it is alive
  Time state_since{0};                 // when `state` last changed
  std::uint32_t generations_seen = 0;  // starts of the member that were observed here
};

}  // namespace cranemux::membership
