#include "ledger/leader_election.h"

#include <algorithm>

#include "ledger/rendezvous_hash.h"

namespace cranemux::ledger {
namespace {

using std::chrono::milliseconds;

constexpr Time kLeastBeat = milliseconds(100), kMostBeat = milliseconds(1000);
constexpr int kLease = 5, kSilence = 6;         // beats: at a loss of 0.3 all are lost once in 400 and 1,400
constexpr Stamp kOvertaken = 10'000;            // ms
constexpr Time kClockSlack = milliseconds(20);  // stamps are whole ms, and clocks differ in rate by far less

bool holds_gone(View view, int member) { return (view >> static_cast<unsigned>(member) & 1U) != 0; }

// The first in the customer's order that is in the view of a member, which is always in its own.
int first_of(std::uint32_t customer, int members, View view, int voter) {
  return highest_ranked(customer, members, [&](int m) { return m == voter || !holds_gone(view, m); });
}

}  // namespace

HeartbeatTimings heartbeat_timings(int members, double messages_per_s) {
  const double seconds = 2.0 * std::max(1, members - 1) / std::max(messages_per_s, 1e-3);
  const auto beat =
      std::clamp(Time(static_cast<std::int64_t>(std::min(seconds, 10.0) * 1e9)), kLeastBeat, kMostBeat);
  const auto lease = kLease * beat;
  return {beat, lease, kSilence * beat, lease + kClockSlack};
}

LeaderElection::LeaderElection(int members, int self, std::uint16_t life, const HeartbeatTimings& beats,
                               Time now)
    : members_(members),
      self_(self),
      life_(life),
      beats_(beats),
      began_(now),
      others_(static_cast<std::size_t>(members)),
      settled_at_(now + beats.vote_pause) {       // an earlier life may have voted just now
  for (auto& other : others_) other.heard = now;  // given the time of a silence to say something
}

Stamp LeaderElection::stamp(Time now) const {
  return static_cast<Stamp>((now - began_) / milliseconds(1)) & kStampMask;
}

bool LeaderElection::receive(int from, std::uint16_t life, const Heartbeat& word, Time now) {
  auto& other = others_[static_cast<std::size_t>(from)];
  const bool known = other.generations_seen > 0 && other.life == life;
  // A stamp that lies a little behind is of a message that was overtaken; far behind, the number was drawn
  // again.
  const auto behind = (other.stamp - word.stamp) & kStampMask;
  if (known && behind > 0 && behind <= kOvertaken) return false;
  if (!known || (behind > 0 && behind <= kStampMask / 2)) ++other.generations_seen;
  other.heard = now;
  other.life = life;
  other.stamp = word.stamp;
  other.view = word.view;
  const bool answers = word.has_echo && word.echo_generation == life_;
  const auto age = milliseconds((stamp(now) - word.echo) & kStampMask);
  other.vote_ends = answers ? now - age + beats_.lease : Time{-1};
  return true;
}

Heartbeat LeaderElection::heartbeat_for(int to, Time now) const {
  const auto& other = others_[static_cast<std::size_t>(to)];
  Heartbeat out;
  out.stamp = stamp(now);
  out.has_echo = other.generations_seen > 0;
  out.echo_generation = other.life;
  out.echo = other.stamp;
  if (settled(now)) out.view = view_;
  return out;
}

bool LeaderElection::update_view(Time now) {
  View view = 0;
  for (int m = 0; m < members_; ++m) {
    const auto& other = others_[static_cast<std::size_t>(m)];
    if (m != self_ && now - other.heard > beats_.failure_timeout) view |= View{1} << static_cast<unsigned>(m);
  }
  if (view == view_) return false;
  view_ = view;
  settled_at_ = now + beats_.vote_pause;
  return true;
}

int LeaderElection::leader(std::uint32_t customer) const {
  return first_of(customer, members_, view_, self_);
}

int LeaderElection::successor(std::uint32_t customer, int without) const {
  return highest_ranked(customer, members_, [&](int m) { return m != without && !failed(m); });
}

bool LeaderElection::votes_for_me(const Other& other, std::uint32_t customer, Time now) const {
  if (!other.view || now >= other.vote_ends) return false;
  const auto voter = static_cast<int>(&other - others_.data());
  return first_of(customer, members_, *other.view, voter) == self_;
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
  const auto left = [&](Time at) { return std::max<std::int64_t>(0, (at - now).count()); };
  std::vector<std::int64_t> out{static_cast<std::int64_t>(view_), left(settled_at_)};
  for (const auto& other : others_) {
    const bool votes = other.view && now < other.vote_ends;
    out.push_back(left(other.heard + beats_.failure_timeout + Time(1)));
    out.push_back(votes ? static_cast<std::int64_t>(*other.view) : -1);
    out.push_back(votes ? left(other.vote_ends) : 0);
    out.push_back(other.life);
  }
  return out;
}

}  // namespace cranemux::ledger
