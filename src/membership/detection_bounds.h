// Bounds of the failure detection, computed in advance from the message budget, the loss rate and the size of
// the tier. After "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (A.
// Das, I. Gupta, A. Motivala, DSN 2002), sections 3 and 4; docs/quota-bound.md says where each bound is used.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "membership/member.h"

namespace cranemux::membership {

struct DetectionSettings {
  int members = 2;             // size of the tier, this gatekeeper included
  double messages_per_s = 10;  // budget of one gatekeeper for failure detection
  double loss = 0;             // probability that one message is lost, 0 to 1
  int indirect_probers = 3;    // members that are asked to probe a member that does not answer
  int suspicion_periods = 3;   // suspicion timeout in protocol periods, times log10 of the size
};

// Returns how many indirect probers there can be: all but the prober and its target.
inline int indirect_probers_of(const DetectionSettings& settings) {
  return std::max(0, std::min(settings.indirect_probers, settings.members - 2));
}

// Probability that a direct probe of a live member fails: the probe or its answer is lost.
inline double probe_loss(double loss) { return 1 - (1 - loss) * (1 - loss); }

// Probability that one prober suspects a live member in one period: the direct probe fails, and so does each
// indirect path, which takes four messages.
inline double false_suspicion_probability(const DetectionSettings& settings) {
  const double path = 1 - std::pow(1 - settings.loss, 4);
  return probe_loss(settings.loss) * std::pow(path, indirect_probers_of(settings));
}

// Mean number of messages that one gatekeeper sends in a period: its own probe, the answer to another
// member's probe, and after a lost probe the four messages of each indirect path.
inline double messages_per_period(const DetectionSettings& settings) {
  return 2 + 4.0 * indirect_probers_of(settings) * probe_loss(settings.loss);
}

// The shortest protocol period that stays within the message budget, at least 50 ms and at most 60 s.
inline Time protocol_period(const DetectionSettings& settings) {
  constexpr double kMinMessagesPerSecond = 1e-3, kMinSeconds = 0.05, kMaxSeconds = 60.0;
  const double seconds =
      messages_per_period(settings) / std::max(settings.messages_per_s, kMinMessagesPerSecond);
  return Time(static_cast<std::int64_t>(std::clamp(seconds, kMinSeconds, kMaxSeconds) * 1e9));
}

// Mean time from a member's failure until any member probes it: e/(e-1) periods (SWIM, 3.1).
inline Time mean_time_to_first_probe(const DetectionSettings& settings) {
  return Time(
      static_cast<std::int64_t>(static_cast<double>(protocol_period(settings).count()) * M_E / (M_E - 1)));
}
// Longest time from a member's failure until a given member has probed it without an answer. Probes go round
// robin in a new random order each round (SWIM, 4.3), so 2n-1 periods may pass between two probes of one of n
// members; one more period passes until the probe counts as unanswered.
inline Time max_time_to_probe(const DetectionSettings& settings) {
  return protocol_period(settings) * (2 * std::max(1, settings.members - 1) - 1 + 1);
}

// How long a suspected member has to refute the suspicion before it counts as failed.
inline Time suspicion_timeout(const DetectionSettings& settings) {
  const double periods = settings.suspicion_periods * std::max(1.0, std::log10(settings.members + 1.0));
  return Time(static_cast<std::int64_t>(static_cast<double>(protocol_period(settings).count()) * periods));
}

// Mean time from a member's failure until the member that first suspected it marks it as failed.
inline Time mean_detection_time(const DetectionSettings& settings) {
  return mean_time_to_first_probe(settings) + suspicion_timeout(settings);
}

// How often each member piggybacks an update before it drops it: 3 log2 of the size (SWIM, 4.1: λ log n).
inline int transmissions(int members) { return static_cast<int>(std::ceil(3 * std::log2(members + 1.0))); }

}  // namespace cranemux::membership
