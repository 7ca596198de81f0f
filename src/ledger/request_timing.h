// When a gatekeeper asks a quota leader, and asks again what was not answered. Free of I/O.
#pragma once

#include <algorithm>
#include <chrono>

#include "ledger/account.h"
#include "ledger/leader_election.h"

namespace cranemux::ledger {

constexpr Time kAnswerTimeout = std::chrono::milliseconds(60);  // about two message times and two ticks
constexpr Time kReportAnswerTimeout = std::chrono::seconds(1);  // where no request waits for the answer
constexpr int kMaxBackoffDoublings = 6;                         // each next question waits twice as long
constexpr int kMaxBackoffDoublingsIfHeard = 2;                  // where the one asked is known to be there
constexpr int kUnansweredToSuspect = 4;  // by then loss is unlikely: the leader that was asked is suspected

inline bool awaits_answer(const Account& a) { return a.requested_at > a.answered_at; }

// From its last question to the next one. `pause`: for so long its leader, which has none left, wants not to
// be asked; `subperiod`: between questions where nothing new is held.
inline Time delay_to_next_request(const Account& a, Time pause, Time subperiod, int most_doublings) {
  if (!awaits_answer(a)) return a.held_units > a.requested_units ? pause : std::max(pause, subperiod);
  const int doublings = std::clamp(a.unanswered_requests, 0, most_doublings);
  return (a.held_requests > 0 ? std::max(kAnswerTimeout, pause / 2) : kReportAnswerTimeout) *
         (1 << doublings);
}

}  // namespace cranemux::ledger
