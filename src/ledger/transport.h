// The mail between gatekeepers about quotas: entries wait for messages, messages for the budget, so that no
// gatekeeper is sent more than it takes in. Entries that are lost are asked again. Free of I/O.
//
// A datagram is a head, then entries (messages.h), then a checksum of both (checksum.h). Head: version (1),
// life of the sender (2, little endian); where quotas are guarded more follows (guarded_header.h). An entry:
// kind and plan (1: two bits and six), customer (4, little endian), and its message's fields. Where quotas
// are guarded, news of the members (membership.h) may follow, until the datagram's end.
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
  std::uint16_t generation = 0;
  std::size_t max_datagram_bytes = 256;  // at most, checksum and all
  double messages_per_s = 0;             // that may leave
  double burst = 5;                      // that may leave at once after a quiet spell
  bool enabled = true;                   // false: nothing leaves
  bool guarded = false;
  std::uint64_t seed = 0;
  int dedicated_leaders = 0;  // trusting: so many members, the last ones, are set aside to keep ledgers
};

class Transport {
 public:
  Transport(const TransportSettings& terms, Time now);

  void enqueue(int to, const Entry& entry);
  // Of a member set aside: all gatekeepers are to hear it, with whatever goes to them next, or soon.
  void notify_all(const ShedNotice& word) { words_.add(word); }
  void notify(int to, const ShedNotice& word);
  // Lets go what the budget allows, the longest waiting first.
  void send_due(Time now, const std::function<void(int to, std::string bytes)>& send);
  bool has_pending() const { return !posts_.empty(); }
  // A member set aside that says nothing, not even its signs: it keeps no ledger now.
  bool dedicated_leader_failed(int member, Time now) const;

  struct ReceivedMessage {
    std::uint32_t generation =
        0;  // of its sender; guarded: with how often that one has begun, in the upper bits
    std::vector<Entry> entries;
  };
  // None: it is no message of this form, or was overtaken by a later one. Entries from the first damaged one
  // on are left out.
  std::optional<ReceivedMessage> receive(int from, std::string_view bytes, Time now);

  // Where quotas are guarded: votes flow to every member, whether there is mail or not. True: this
  // gatekeeper's view of who is there has changed. Call it at least every `every`.
  bool update_heartbeats(Time now);
  Time heartbeat_check_interval() const;
  const LeaderElection* leader_election() const { return rights_.get(); }
  const membership::Membership* members() const { return members_.get(); }

 private:
  struct Peer {
    std::string entries;
    Time posted{-1}, heard{0};
    bool called = false;  // stands in `posts_`
  };
  void call(int to);
  void call_gatekeepers(Time now);
  std::string message(int to, Time now);
  std::string body(int to, Time now);                // of a message: all but its checksum
  std::size_t most_head() const, most_body() const;  // bytes

  const TransportSettings terms_;
  std::vector<Peer> peers_;
  const int tells_;  // the first so many members hear from it who is throttled
  std::deque<int> posts_;
  ShedNoticeLog words_;
  Time looked_{0};     // at who is to hear of them
  double stamps_ = 1;  // messages that may go now
  Time posted_;
  std::unique_ptr<LeaderElection> rights_;
  std::unique_ptr<membership::Membership> members_;
};

}  // namespace cranemux::ledger
