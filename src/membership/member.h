// What one gatekeeper holds true of another.
#pragma once

#include <chrono>
#include <cstdint>

namespace cranemux::membership {

using Time = std::chrono::nanoseconds;  // of the holder's steady clock
constexpr Time kNever{-1};

enum class State : std::uint8_t { unheard, alive, suspect, gone };
constexpr const char* kStateNames[] = {"unheard", "alive", "suspect", "gone"};

// A start of a gatekeeper. Numbers are drawn at random, so one may come again: lives are told apart by when
// they began, too, as far as messages that come late let that be known.
struct Life {
  std::uint16_t number = 0;
  Time began{0};  // by the holder's clock, as the message that told it had it
  bool operator==(const Life&) const = default;
};

constexpr Time kLifeSlack = std::chrono::milliseconds(1500);  // messages come late

// True if `other` began after `known`: a new start, or the same number drawn again.
inline bool later_life(const Life& known, const Life& other) {
  if (known.number == other.number) return other.began > known.began + kLifeSlack;
  return other.began > known.began;
}
// The same start, told again: its estimate may only get earlier, since lateness makes it later.
inline bool same_life(const Life& known, const Life& other) {
  return known.number == other.number && !later_life(known, other) && !later_life(other, known);
}

struct Member {
  State state = State::unheard;
  Life life;
  std::uint8_t incarnation = 0;  // raised by the member itself, to refute a suspicion
  Time heard = kNever;           // directly
  Time vouched = kNever;         // by another's word that it is alive
  Time since{0};                 // when the state began
  std::uint32_t lives = 0;       // starts seen here
};

}  // namespace cranemux::membership
