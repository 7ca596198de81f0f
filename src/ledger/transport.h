// Sends and receives the messages between gatekeepers about quotas. Entries are collected into one datagram
// for each peer, and datagrams leave within a budget, so that no gatekeeper is sent more than it can receive.
// Nothing is retransmitted here: a lost entry is replaced by the sender's next request. Free of I/O.
//
// A datagram, with integers of fixed size in little endian:
//
//   bytes   content
//   1       version: 8 for trusting quotas, 6 for guarded quotas
//   2       generation of the sender
//   9-19    guarded only: the rest of the header (guarded_header.h)
//   ...     any number of entries (messages.h)
//   ...     guarded only, optional: a byte with kMembershipUpdatesCode, then membership updates
//           (membership.h) up to the checksum
//   4       checksum of all bytes before it (checksum.h)
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/leader_election.h"
#include "ledger/load_shedding.h"
#include "ledger/messages.h"
#include "membership/membership.h"

namespace cranemux::ledger {

struct TransportSettings {
  int members = 1, self = 0;
  std::uint16_t generation = 0;          // of this start of the gatekeeper
  std::size_t max_datagram_bytes = 256;  // including the checksum
  double messages_per_s = 0;             // datagrams that may leave, on average
  double burst = 5;                      // datagrams that may leave at once after a pause
  bool enabled = true;                   // false: nothing is sent
  bool guarded = false;
  std::uint64_t seed = 0;
  int dedicated_leaders = 0;  // trusting only: the last so many members only lead quotas
};

// One gatekeeper's end of the messages to and from all other members.
class Transport {
 public:
  Transport(const TransportSettings& settings, Time now);

  // Adds the entry to the next datagram for `to`. Drops it if it does not fit, if `to` is this gatekeeper, or
  // if sending is disabled.
  void enqueue(int to, const Entry& entry);
  // At a dedicated quota leader: sends the notice to all gatekeepers, in the next datagram to each or, if
  // there is none, in one of its own soon.
  void notify_all(const ShedNotice& notice) { notices_.add(notice); }
  // Sends the notice to one gatekeeper, in its next datagram.
  void notify(int to, const ShedNotice& notice);
  // Passes datagrams to `send` as far as the budget allows, the peer that waits longest first.
  void send_due(Time now, const std::function<void(int to, std::string bytes)>& send);
  // Whether any datagram is queued.
  bool has_pending() const { return !send_queue_.empty(); }
  // Whether `member` is a dedicated quota leader that was not heard for so long that it has failed or is cut
  // off from here: it sends something to each gatekeeper every second.
  bool dedicated_leader_failed(int member, Time now) const;

  struct ReceivedMessage {
    // The sender's generation. Where quotas are guarded the upper 16 bits count the sender's starts that were
    // seen, since two may have drawn the same generation.
    std::uint32_t generation = 0;
    std::vector<Entry> entries;
  };
  // Decodes a datagram. Returns nothing if it is damaged, of another version, or overtaken by a later one.
  // Entries from the first one that cannot be read on are left out.
  std::optional<ReceivedMessage> receive(int from, std::string_view bytes, Time now);

  // Where quotas are guarded: queues a heartbeat for each member to which nothing else was sent in time, and
  // updates the view. Returns whether the view has changed. Call it at least every
  // `heartbeat_check_interval`.
  bool update_heartbeats(Time now);
  // Guarded only.
  Time heartbeat_check_interval() const;
  // Both null where quotas are not guarded.
  const LeaderElection* leader_election() const { return leader_election_.get(); }
  const membership::Membership* members() const { return membership_.get(); }

 private:
  struct Peer {
    std::string entries;  // encoded, for the next datagram
    Time sent_at{-1}, heard_at{0};
    bool queued = false;  // in `send_queue_`
  };
  void queue_datagram(int to);
  void queue_notices(Time now);
  std::string make_datagram(int to, Time now);
  std::string make_body(int to, Time now);  // a datagram without its checksum
  std::size_t max_header_bytes() const, max_body_bytes() const;

  const TransportSettings settings_;
  std::vector<Peer> peers_;
  const int notified_count_;  // this member sends shed notices to the first so many members
  std::deque<int> send_queue_;
  ShedNoticeLog notices_;
  Time notices_checked_at_{0};
  double send_tokens_ = 1;  // datagrams that may leave now
  Time refilled_at_;
  std::unique_ptr<LeaderElection> leader_election_;
  std::unique_ptr<membership::Membership> membership_;
};

}  // namespace cranemux::ledger
