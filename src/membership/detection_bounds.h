// What the membership can promise, from the message budget, the loss and the size, in advance. After "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (A. Das, I. Gupta, A.
// Motivala, DSN 2002), sections 3 and 4; docs/quota-bound.md says where each stands.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "membership/member.h"

namespace cranemux::membership {

struct DetectionSettings {
  int members = 2;
  double messages_per_s = 10;  // that one gatekeeper may send for this
  double loss = 0;             // of one message, 0 to 1
  int indirect_probers = 3;    // asked to reach a member that does not answer
  int suspicion_periods = 3;   // a suspect has so many, times log10 of the size, to refute it
};

inline int indirect_probers_of(const DetectionSettings& t) {
  return std::max(0, std::min(t.indirect_probers, t.members - 2));
}

// One probe fails: question or answer is lost.
inline double probe_loss(double loss) { return 1 - (1 - loss) * (1 - loss); }

// A live member is suspected in one period of one prober: its probe fails, and all paths by helpers, of four
// messages each.
inline double false_suspicion_probability(const DetectionSettings& t) {
  const double path = 1 - std::pow(1 - t.loss, 4);
  return probe_loss(t.loss) * std::pow(path, indirect_probers_of(t));
}

// Messages that one gatekeeper sends in a period on average: its probe, the answer to another's, and by loss
// the questions to helpers, what helpers send on, and their answers.
inline double messages_per_period(const DetectionSettings& t) {
  return 2 + 4.0 * indirect_probers_of(t) * probe_loss(t.loss);
}

// The shortest period within the budget.
inline Time protocol_period(const DetectionSettings& t) {
  const double seconds = messages_per_period(t) / std::max(t.messages_per_s, 1e-3);
  return Time(static_cast<std::int64_t>(std::clamp(seconds, 0.05, 60.0) * 1e9));
}

// Mean time from a member's end until somebody probes it: e/(e-1) periods (SWIM, 3.1).
inline Time mean_time_to_first_probe(const DetectionSettings& t) {
  return Time(static_cast<std::int64_t>(static_cast<double>(protocol_period(t).count()) * M_E / (M_E - 1)));
}
// The longest until a given member probes it: probes go round by turns (SWIM, 4.3).
inline Time max_time_to_probe(const DetectionSettings& t) {
  return protocol_period(t) * (2 * std::max(1, t.members - 1) - 1 + 1);
}

inline Time suspicion_timeout(const DetectionSettings& t) {
  const double periods = t.suspicion_periods * std::max(1.0, std::log10(t.members + 1.0));
  return Time(static_cast<std::int64_t>(static_cast<double>(protocol_period(t).count()) * periods));
}

// Mean time from a member's end until it is held gone by whoever found out first.
inline Time mean_detection_time(const DetectionSettings& t) {
  return mean_time_to_first_probe(t) + suspicion_timeout(t);
}

// Piggybacked news is told so many times by each before it is dropped: 3 log2 of the size (SWIM, 4.1: λ log
// n).
inline int transmissions(int members) { return static_cast<int>(std::ceil(3 * std::log2(members + 1.0))); }

}  // namespace cranemux::membership
