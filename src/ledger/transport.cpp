#include "ledger/transport.h"

#include <algorithm>
#include <random>
#include <utility>

#include "ledger/checksum.h"
#include "ledger/guarded_header.h"
#include "ledger/replica_placement.h"

namespace cranemux::ledger {
namespace {

constexpr std::uint8_t kTrustingVersion = 8, kGuardedVersion = 6;
constexpr std::size_t kMinHeaderBytes = 3;  // version and generation
// Shed notices wait so long for others to share a datagram.
constexpr Time kNoticeBatchDelay = std::chrono::milliseconds(250);
// A dedicated quota leader sends each gatekeeper a datagram at least so often ...
constexpr Time kLeaderHeartbeatInterval = std::chrono::seconds(1);
// ... and after so long without one it has failed, or is cut off from here.
constexpr Time kLeaderFailureTimeout = std::chrono::seconds(3);
constexpr Time kNoticeCheckInterval = std::chrono::milliseconds(10);

membership::Settings membership_settings(const TransportSettings& settings) {
  membership::Settings out;
  out.members = settings.members;
  out.self = settings.self;
  out.generation = settings.generation;
  out.seed = settings.seed;
  out.detection.messages_per_s = settings.messages_per_s;
  out.probes = false;  // heartbeats to all members make probes unnecessary
  return out;
}

Entry make_entry(const ShedNotice& notice) {
  return {notice.plan, notice.customer, ShedShare{static_cast<std::uint64_t>(notice.share)}};
}

}  // namespace

Transport::Transport(const TransportSettings& settings, Time now)
    : settings_(settings),
      peers_(static_cast<std::size_t>(settings.members)),
      notified_count_(settings.guarded ? 0
                                       : notified_gatekeepers(settings.self, settings.members,
                                                              settings.dedicated_leaders)),
      notices_(notified_count_),
      refilled_at_(now) {
  for (auto& peer : peers_) peer.heard_at = now;
  // Spreads the heartbeats to the gatekeepers, also where all members have started together.
  std::mt19937_64 random(settings.seed);
  for (int to = 0; to < notified_count_; ++to)
    peers_[static_cast<std::size_t>(to)].sent_at =
        now - kLeaderHeartbeatInterval * static_cast<int>(random() % 1000) / 1000;
  if (!settings_.guarded) return;
  leader_election_ =
      std::make_unique<LeaderElection>(settings_.members, settings_.self, settings_.generation,
                                       heartbeat_timings(settings_.members, settings_.messages_per_s), now);
  membership_ = std::make_unique<membership::Membership>(membership_settings(settings_), now);
}

std::size_t Transport::max_header_bytes() const {
  return settings_.guarded ? kMaxGuardedHeaderBytes : kMinHeaderBytes;
}
std::size_t Transport::max_body_bytes() const {
  return settings_.max_datagram_bytes - std::min(settings_.max_datagram_bytes, kChecksumBytes);
}

void Transport::queue_datagram(int to) {
  if (!std::exchange(peers_[static_cast<std::size_t>(to)].queued, true)) send_queue_.push_back(to);
}

void Transport::enqueue(int to, const Entry& entry) {
  if (!settings_.enabled || to == settings_.self) return;
  std::string out;
  append_entry(out, entry, settings_.guarded);
  auto& entries = peers_[static_cast<std::size_t>(to)].entries;
  queue_datagram(to);
  if (max_header_bytes() + entries.size() + out.size() <= max_body_bytes()) entries += out;
}

void Transport::notify(int to, const ShedNotice& notice) { enqueue(to, make_entry(notice)); }

std::string Transport::make_datagram(int to, Time now) {
  auto out = make_body(to, now);
  append_checksum(out);
  return out;
}

std::string Transport::make_body(int to, Time now) {
  auto& peer = peers_[static_cast<std::size_t>(to)];
  peer.sent_at = now;
  peer.queued = false;
  auto entries = std::exchange(peer.entries, {});
  std::string out;
  if (!settings_.guarded) {
    out += static_cast<char>(kTrustingVersion);
    put_fixed(out, settings_.generation, 2);
    out += entries;
    if (to < notified_count_) {
      notices_.piggyback(
          to, max_body_bytes() - std::min(max_body_bytes(), out.size()), kShedShareEntryBytes,
          [&](const ShedNotice& notice) { append_entry(out, make_entry(notice), settings_.guarded); });
    }
    return out;
  }
  out = encode_header(kGuardedVersion, settings_.generation, leader_election_->heartbeat_for(to, now)) +
        entries;
  if (out.size() + 1 >= max_body_bytes()) return out;
  const auto updates = membership_->piggyback(max_body_bytes() - out.size() - 1, now);
  if (!updates.empty()) out += static_cast<char>(kMembershipUpdatesCode) + updates;
  return out;
}

bool Transport::dedicated_leader_failed(int member, Time now) const {
  return !settings_.guarded && is_dedicated_leader(member, settings_.members, settings_.dedicated_leaders) &&
         member != settings_.self &&
         now - peers_[static_cast<std::size_t>(member)].heard_at > kLeaderFailureTimeout;
}

void Transport::queue_notices(Time now) {
  if (notified_count_ == 0 || !settings_.enabled || now - notices_checked_at_ < kNoticeCheckInterval) return;
  notices_checked_at_ = now;
  for (int to = 0; to < notified_count_; ++to) {
    const auto since_sent = now - peers_[static_cast<std::size_t>(to)].sent_at;
    if (since_sent >= kLeaderHeartbeatInterval ||
        (since_sent >= kNoticeBatchDelay && notices_.has_unsent(to)))
      queue_datagram(to);
  }
}

void Transport::send_due(Time now, const std::function<void(int to, std::string bytes)>& send) {
  queue_notices(now);
  const auto elapsed_ns = static_cast<double>((now - refilled_at_).count());
  send_tokens_ = std::min(settings_.burst, send_tokens_ + settings_.messages_per_s * elapsed_ns / 1e9);
  refilled_at_ = now;
  while (!send_queue_.empty() && send_tokens_ >= 1) {
    const int to = send_queue_.front();
    send_queue_.pop_front();
    send(to, make_datagram(to, now));
    send_tokens_ -= 1;
  }
}

std::optional<Transport::ReceivedMessage> Transport::receive(int from, std::string_view in, Time now) {
  if (from < 0 || from >= settings_.members || from == settings_.self) return std::nullopt;
  // A damaged datagram counts as lost; the sender's next request replaces it.
  if (!strip_checksum(in) || in.size() < kMinHeaderBytes) return std::nullopt;
  if (static_cast<std::uint8_t>(in[0]) != (settings_.guarded ? kGuardedVersion : kTrustingVersion))
    return std::nullopt;
  peers_[static_cast<std::size_t>(from)].heard_at = now;
  ReceivedMessage out;
  out.generation = static_cast<std::uint32_t>(get_fixed(in, 1, 2));
  std::size_t at = kMinHeaderBytes;
  if (settings_.guarded) {
    std::uint16_t generation = 0;
    Heartbeat heartbeat;
    if (!decode_header(in, settings_.members, generation, heartbeat, at) ||
        !leader_election_->receive(from, generation, heartbeat, now))
      return std::nullopt;
    // Tells apart two starts that drew the same generation.
    out.generation |= leader_election_->generations_seen(from) << 16U;
    membership_->record_message(from, now);
  }
  while (at < in.size()) {
    if (entry_code(in, at) == kMembershipUpdatesCode && settings_.guarded) {
      membership_->receive(from, in.substr(at + 1), now);
      break;
    }
    const auto entry = read_entry(in, at, settings_.guarded);
    if (!entry) break;
    const bool is_shed_share = std::holds_alternative<ShedShare>(entry->message);
    if (is_shed_share && !is_dedicated_leader(from, settings_.members, settings_.dedicated_leaders)) break;
    out.entries.push_back(*entry);
  }
  return out;
}

bool Transport::update_heartbeats(Time now) {
  if (!settings_.guarded) return false;
  membership_->take_due_messages(now);
  if (settings_.enabled) {
    for (int to = 0; to < settings_.members; ++to) {
      if (to != settings_.self &&
          now - peers_[static_cast<std::size_t>(to)].sent_at >= leader_election_->timings().interval)
        queue_datagram(to);
    }
  }
  return leader_election_->update_view(now);
}

Time Transport::heartbeat_check_interval() const { return leader_election_->timings().interval / 4; }

}  // namespace cranemux::ledger
