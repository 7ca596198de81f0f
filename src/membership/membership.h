// The members of the tier and their states: SWIM's failure detection (detection_bounds.h), with suspicions
// that a live member refutes and updates that are piggybacked on other messages. Any message from a member
// proves that it is alive, so a member that is heard regularly is not probed. Free of I/O: the caller passes
// in times and received messages, and sends what is returned.
//
// Wire format of a trailer, which takes the rest of its datagram. Fixed-size numbers are little endian; a
// varint is base 128, the lowest seven bits first (ledger/wire_encoding.h).
//
//   2 bytes   checksum: the low 16 bits of ledger::hash_of over all bytes that follow
//   2 bytes   generation number of the sender
//   varint    time since the sender's start, in ms, rounded up
//   1 byte    incarnation of the sender, 0 to 63
//   1 byte    Kind
//   varint    probed member + 1; 0: none
//   varint    member that requested the probe + 1; 0: none
//   varint    number of the probe
// Then any number of updates, until the end of the trailer:
//   varint    member
//   1 byte    its State in bits 0 and 1, its incarnation in bits 2 to 7
//   2 bytes   its generation number
//   varint    time since its start, in ms, rounded up
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "membership/detection_bounds.h"
#include "membership/member.h"

namespace cranemux::membership {

struct Settings {
  int members = 1, self = 0;     // size of the tier, and the index of this gatekeeper in it
  std::uint16_t generation = 0;  // number of this start, drawn at random
  std::uint64_t seed = 0;
  DetectionSettings detection;  // its `members` is ignored
  bool probes = true;           // false: sends no messages, and learns only from those that are received
};

// What a trailer asks for or answers, besides its updates.
enum class Kind : std::uint8_t { none, probe, answer, indirect_probe };

struct Message {
  int to = 0;  // index of a member
  std::string bytes;
};

// The most likely condition of the tier, by what is known at this member.
enum class TierCondition : std::uint8_t {
  healthy,
  some_failed,   // single members have failed or are suspected
  isolated,      // no other member is alive, as seen from here
  split,         // several members were lost at about the same time
  all_restarted  // all members have started within seconds of each other
};

class Membership {
 public:
  Membership(const Settings& settings, Time now);

  // Returns a trailer for any message to a member, of at most `max_bytes`; empty where even its fixed fields
  // do not fit. Counts a transmission of each update that it includes.
  std::string piggyback(std::size_t max_bytes, Time now);
  // Processes a trailer from member `from`. Returns false, with nothing changed but the counts, if `from` is
  // no other member, or the trailer is damaged or of an earlier generation of its sender.
  bool receive(int from, std::string_view trailer, Time now);
  // Records a message without a trailer, which proves that its sender is alive.
  void record_message(int from, Time now);

  // Ends suspicions that have timed out, and returns the messages to send now: probes, answers, and probes on
  // behalf of others, each of at most `max_bytes`. To be called no later than next_due_at().
  std::vector<Message> take_due_messages(Time now, std::size_t max_bytes = 256);
  Time next_due_at() const;

  const Member& member(int index) const { return members_[static_cast<std::size_t>(index)]; }
  int size() const { return settings_.members; }
  int self() const { return settings_.self; }
  Time started_at() const { return started_at_; }
  // Returns true for this gatekeeper and for members that are alive or suspected.
  bool reachable(int index) const {
    return index == settings_.self || member(index).state == State::alive ||
           member(index).state == State::suspect;
  }
  int count(State state) const;  // of the other members, those in `state`
  TierCondition tier_condition(Time now) const;
  Time period() const { return period_; }
  Time suspicion_timeout() const { return suspicion_timeout_; }

  struct Counts {
    std::uint64_t probes = 0, answers = 0, indirect_probes = 0, suspicions = 0, refutations = 0, failures = 0,
                  new_generations = 0;
    std::uint64_t damaged = 0, stale_generations = 0;  // trailers that were refused
  };
  const Counts& counts() const { return counts_; }

 private:
  struct PendingUpdate {
    int transmissions_left = 0;
  };
  struct Probe {
    int member = -1;
    std::uint32_t number = 0;
    Time sent{0};
    bool indirect_sent = false;  // other members have been asked to probe, too
  };
  struct RelayedProbe {  // on behalf of `requester`
    int member, requester;
    std::uint32_t number;
    Time expires_at;
  };

  std::string trailer(std::size_t max_bytes, Kind kind, int member, int requester, std::uint32_t number,
                      Time now);
  void record_sender(int from, const Generation& generation, std::uint8_t incarnation, Time now);
  void receive_update(int index, State state, std::uint8_t incarnation, const Generation& generation,
                      Time now);
  void apply_update(int index, State state, std::uint8_t incarnation, const Generation& generation, Time now);
  void handle_kind(int from, Kind kind, int member, int requester, std::uint32_t number, Time now);
  void set_state(int index, State state, Time now);
  void queue_update(int index);
  void start_next_probe(Time now, std::vector<Message>& out, std::size_t max_bytes);
  void send_indirect_probes(Time now, std::vector<Message>& out, std::size_t max_bytes);
  int draw_probe_target();
  std::uint64_t age_ms(Time started_at, Time now) const;
  Time indirect_probe_delay() const { return period_ / 3; }

  const Settings settings_;
  const Time started_at_;
  Time period_, suspicion_timeout_;
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::uint8_t incarnation_ = 0;
  std::map<int, PendingUpdate> updates_;  // by member
  std::vector<int> probe_order_;          // members still to probe in this round, the last one first
  std::optional<Probe> probe_;            // the one that is not answered yet
  std::deque<RelayedProbe> relayed_;
  std::deque<Message> pending_messages_;  // answers and relayed probes, to be sent
  Time next_period_;
  std::uint32_t last_probe_number_ = 0;
  Counts counts_;
};

}  // namespace cranemux::membership
