#include "ledger/leader_election.h"

#include <algorithm>

#include "ledger/rendezvous_hash.h"

namespace cranemux::ledger {
namespace {

using std::chrono::milliseconds;

constexpr Time kMinInterval = milliseconds(100), kMaxInterval = milliseconds(1000);
// In heartbeat intervals. At a loss of 0.3 all heartbeats of a lease are lost once in 400 times, and all of a
// failure timeout once in 1,400.
constexpr int kLeaseIntervals = 5, kFailureTimeoutIntervals = 6;
constexpr Stamp kMaxReorderingMs = 10'000;  // a message that is older by more is of another generation
// Stamps are whole milliseconds, and the rates of clocks differ by far less over a lease.
constexpr Time kClockMargin = milliseconds(20);

bool holds_failed(View view, int member) { return (view >> static_cast<unsigned>(member) & 1U) != 0; }

// Returns the first member in the customer's order that `view`, which is the voter's, does not hold failed. A
// voter never holds itself failed.
int vote_of(std::uint32_t customer, int members, View view, int voter) {
  return highest_ranked(customer, members, [&](int m) { return m == voter || !holds_failed(view, m); });
}

}  // namespace

HeartbeatTimings heartbeat_timings(int members, double messages_per_s) {
  const double seconds = 2.0 * std::max(1, members - 1) / std::max(messages_per_s, 1e-3);
  const auto interval =
      std::clamp(Time(static_cast<std::int64_t>(std::min(seconds, 10.0) * 1e9)), kMinInterval, kMaxInterval);
  const auto lease = kLeaseIntervals * interval;
  return {interval, lease, kFailureTimeoutIntervals * interval, lease + kClockMargin};
}

LeaderElection::LeaderElection(int members, int self, std::uint16_t generation,
                               const HeartbeatTimings& timings, Time now)
    : members_(members),
      self_(self),
      generation_(generation),
      timings_(timings),
      started_at_(now),
      others_(static_cast<std::size_t>(members)),
      settled_at_(now + timings.vote_pause) {     // an earlier generation may have just voted
  for (auto& other : others_) other.heard = now;  // each has a failure timeout to be heard first
}

Stamp LeaderElection::stamp(Time now) const {
  return static_cast<Stamp>((now - started_at_) / milliseconds(1)) & kStampMask;
}

bool LeaderElection::receive(int from, std::uint16_t generation, const Heartbeat& heartbeat, Time now) {
  auto& other = others_[static_cast<std::size_t>(from)];
  const bool known = other.generations_seen > 0 && other.generation == generation;
  // A stamp a little behind the last one is of a message that was overtaken. One far behind is of another
  // start that drew the same generation.
  const auto behind = (other.stamp - heartbeat.stamp) & kStampMask;
  if (known && behind > 0 && behind <= kMaxReorderingMs) return false;
  if (!known || (behind > 0 && behind <= kStampMask / 2)) ++other.generations_seen;
  other.heard = now;
  other.generation = generation;
  other.stamp = heartbeat.stamp;
  other.view = heartbeat.view;
  const bool echo_is_mine = heartbeat.has_echo && heartbeat.echo_generation == generation_;
  const auto age = milliseconds((stamp(now) - heartbeat.echo) & kStampMask);
  other.vote_ends = echo_is_mine ? now - age + timings_.lease : Time{-1};
  return true;
}

Heartbeat LeaderElection::heartbeat_for(int to, Time now) const {
  const auto& other = others_[static_cast<std::size_t>(to)];
  Heartbeat out;
  out.stamp = stamp(now);
  out.has_echo = other.generations_seen > 0;
  out.echo_generation = other.generation;
  out.echo = other.stamp;
  if (settled(now)) out.view = view_;
  return out;
}

bool LeaderElection::update_view(Time now) {
  View view = 0;
  for (int m = 0; m < members_; ++m) {
    const auto& other = others_[static_cast<std::size_t>(m)];
    if (m != self_ && now - other.heard > timings_.failure_timeout)
      view |= View{1} << static_cast<unsigned>(m);
  }
  if (view == view_) return false;
  view_ = view;
  settled_at_ = now + timings_.vote_pause;
  return true;
}

int LeaderElection::leader(std::uint32_t customer) const { return vote_of(customer, members_, view_, self_); }

int LeaderElection::successor(std::uint32_t customer, int without) const {
  return highest_ranked(customer, members_, [&](int m) { return m != without && !failed(m); });
}

bool LeaderElection::votes_for_me(const Other& other, std::uint32_t customer, Time now) const {
  if (!other.view || now >= other.vote_ends) return false;
  const auto voter = static_cast<int>(&other - others_.data());
  return vote_of(customer, members_, *other.view, voter) == self_;
}

int LeaderElection::missing_votes(std::uint32_t customer, Time now) const {
  int out = 0;
  for (int m = 0; m < members_; ++m) {
    out += m != self_ && !votes_for_me(others_[static_cast<std::size_t>(m)], customer, now);
  }
  return out;
}

bool LeaderElection::has_leadership(std::uint32_t customer, Time now) const {
  if (!settled(now) || leader(customer) != self_) return false;
  return 2 * (members_ - missing_votes(customer, now)) > members_;
}

std::vector<std::int64_t> LeaderElection::state_snapshot(Time now) const {
  const auto remaining = [&](Time at) { return std::max<std::int64_t>(0, (at - now).count()); };
  std::vector<std::int64_t> out{static_cast<std::int64_t>(view_), remaining(settled_at_)};
  for (const auto& other : others_) {
    const bool votes = other.view && now < other.vote_ends;
    out.push_back(remaining(other.heard + timings_.failure_timeout + Time(1)));
    out.push_back(votes ? static_cast<std::int64_t>(*other.view) : -1);
    out.push_back(votes ? remaining(other.vote_ends) : 0);
    out.push_back(other.generation);
  }
  return out;
}

}  // namespace cranemux::ledger
