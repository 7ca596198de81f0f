// Who is in the tier: in which life, suspected, gone or back. After SWIM (see detection_bounds.h), with
// suspicion that a live member refutes, and news that rides on the mail that flows anyway. Free of I/O: times
// come in, messages go out; whoever hosts it decides when they leave. Any message of a member proves that it
// is there, so where mail flows no probe is sent.
//
// On the wire, all in one message's trailer:
//   a sum over what follows (2), sender's life (2, both little endian), its age in ms (varint), its
//   incarnation (1), a kind (1), the probed member + 1 (varint), who asked + 1 (varint), a number (varint);
//   then news until the end, each: member (varint), state and incarnation (1: two bits and six), life (2),
//   age in ms (varint).
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
  int members = 1, self = 0;
  std::uint16_t generation = 0;  // of this start, drawn at random
  std::uint64_t seed = 0;
  DetectionSettings detection;  // the budget; `members` there is not read
  bool probes = true;           // false: learns from the mail that flows, and costs no message
};

enum class Kind : std::uint8_t { none, probe, answer, indirect_probe };

struct Message {
  int to = 0;
  std::string bytes;
};

// What seems to be the matter, by all that is known here.
enum class TierCondition : std::uint8_t { healthy, some_failed, isolated, split, all_restarted };

class Membership {
 public:
  Membership(const Settings& settings, Time now);

  // A trailer to ride on any message to a member: at most `room` bytes, or empty where it does not fit.
  std::string piggyback(std::size_t room, Time now);
  // A trailer that has come. False: it is damaged, or says what cannot be, and nothing has changed.
  bool receive(int from, std::string_view trailer, Time now);
  // A message with no trailer: it proves that its sender is there.
  void record_message(int from, Time now);

  // Messages that are due: probes, answers, and what was asked for others. Call it at `next` at the latest.
  std::vector<Message> take_due_messages(Time now, std::size_t most_bytes = 256);
  Time next_due_at() const;

  const Member& member(int index) const { return members_[static_cast<std::size_t>(index)]; }
  int size() const { return settings_.members; }
  int self() const { return settings_.self; }
  Time started_at() const { return began_; }
  bool reachable(int index) const {
    return index == settings_.self || member(index).state == State::alive ||
           member(index).state == State::suspect;
  }
  int count(State state) const;  // the others only
  TierCondition tier_condition(Time now) const;
  Time period() const { return period_; }
  Time suspicion_timeout() const { return suspicion_; }

  struct Counts {
    std::uint64_t probes = 0, answers = 0, indirect_probes = 0, suspicions = 0, refutations = 0, failures = 0,
                  new_generations = 0;
    std::uint64_t damaged = 0, stale_generations = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct News {
    int tellings = 0;  // left
  };
  struct Probe {
    int member = -1;
    std::uint32_t number = 0;
    Time sent{0};
    bool helped = false;
  };
  struct Relayed {  // probed for another
    int member, asker;
    std::uint32_t number;
    Time until;
  };

  std::string trailer(std::size_t room, Kind kind, int member, int asker, std::uint32_t number, Time now);
  void proved(int from, const Generation& life, std::uint8_t incarnation, Time now);
  void news_of(int index, State state, std::uint8_t incarnation, const Generation& life, Time now);
  void apply(int index, State state, std::uint8_t incarnation, const Generation& life, Time now);
  void act_on(int from, Kind kind, int member, int asker, std::uint32_t number, Time now);
  void set(int index, State state, Time now);
  void spread(int index);
  void next_probe(Time now, std::vector<Message>& out, std::size_t most);
  void help(Time now, std::vector<Message>& out, std::size_t most);
  int draw_target();
  std::uint64_t age(Time began, Time now) const;
  Time helper_wait() const { return period_ / 3; }

  const Settings settings_;
  const Time began_;
  Time period_, suspicion_;
  std::mt19937_64 random_;
  std::vector<Member> members_;
  std::uint8_t incarnation_ = 0;
  std::map<int, News> news_;  // by member
  std::vector<int> round_;    // whom to probe, the last first
  std::optional<Probe> probe_;
  std::deque<Relayed> relayed_;
  std::deque<Message> owed_;  // answers
  Time next_period_;
  std::uint32_t number_ = 0;
  Counts counts_;
};

}  // namespace cranemux::membership
