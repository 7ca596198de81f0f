// When a gatekeeper sends lease requests to a quota leader, and repeats those that were not answered. Free of
// I/O.
#pragma once

#include <algorithm>
#include <chrono>

#include "ledger/account.h"
#include "ledger/leader_election.h"

namespace cranemux::ledger {

constexpr Time kAnswerTimeout = std::chrono::milliseconds(60);  // about two message delays and two ticks
constexpr Time kReportAnswerTimeout = std::chrono::seconds(1);  // if no held request waits for the answer
constexpr int kMaxBackoffDoublings = 6;         // the wait doubles with each unanswered request
constexpr int kMaxBackoffDoublingsIfHeard = 2;  // if the leader was heard since the answer was due
// Unanswered requests in a row after which the leader is suspected: so many are unlikely to be lost.
constexpr int kUnansweredToSuspect = 4;

inline bool awaits_answer(const Account& account) { return account.requested_at > account.answered_at; }

// Returns the time between the account's last request and its next one. `pause`: wait that the leader asked
// for when it had no tokens left; `subperiod`: between requests while nothing more is held.
inline Time delay_to_next_request(const Account& account, Time pause, Time subperiod, int max_doublings) {
  if (!awaits_answer(account))
    return account.held_units > account.requested_units ? pause : std::max(pause, subperiod);
  const int doublings = std::clamp(account.unanswered_requests, 0, max_doublings);
  return (account.held_requests > 0 ? std::max(kAnswerTimeout, pause / 2) : kReportAnswerTimeout) *
         (1 << doublings);
}

}  // namespace cranemux::ledger
