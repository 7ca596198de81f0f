// What one gatekeeper holds true of another.
#pragma once

#include <chrono>
#include <cstdint>

namespace cranemux::membership {

using Time = std::chrono::nanoseconds;  // of the holder's steady clock
constexpr Time kNever{-1};

enum class State : std::uint8_t { unknown, alive, suspect, failed };
constexpr const char* kStateNames[] = {"unheard", "alive", "suspect", "gone"};

// A start of a gatekeeper. Numbers are drawn at random, so one may come again: lives are told apart by when
// they began, too, as far as messages that come late let that be known.
struct Generation {
  std::uint16_t number = 0;
  Time started_at{0};  // by the holder's clock, as the message that told it had it
  bool operator==(const Generation&) const = default;
};

constexpr Time kGenerationTolerance = std::chrono::milliseconds(1500);  // messages come late

// True if `other` began after `known`: a new start, or the same number drawn again.
inline bool is_later_generation(const Generation& known, const Generation& other) {
  if (known.number == other.number) return other.started_at > known.started_at + kGenerationTolerance;
  return other.started_at > known.started_at;
}
// The same start, told again: its estimate may only get earlier, since lateness makes it later.
inline bool is_same_generation(const Generation& known, const Generation& other) {
  return known.number == other.number && !is_later_generation(known, other) &&
         !is_later_generation(other, known);
}

struct Member {
  State state = State::unknown;
  Generation generation;
  std::uint8_t incarnation = 0;        // raised by the member itself, to refute a suspicion
  Time last_heard = kNever;            // directly
  Time last_vouched_for = kNever;      // by another's word that it is alive
  Time state_since{0};                 // when the state began
  std::uint32_t generations_seen = 0;  // starts seen here
};

}  // namespace cranemux::membership
