// What one run of the soak does, drawn from a seed: the same seed gives the same plan on every machine. What
// still differs from run to run is the scheduling of the processes.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cranemux::soak {

using std::chrono::milliseconds;

// After the last event a run is quiet for so long.
constexpr milliseconds kQuietEnd{8000};
// What has come by so long after SIGTERM is owed an answer. Deadlines are 3 s at most.
constexpr milliseconds kStillOwed{700}, kLongestDeadline{3000};

enum class Fault {
  planned_end,         // SIGTERM, SIGKILL at the earliest moment that is allowed, then a new start
  planned_end_twice,   // the same with SIGTERM twice, and SIGHUP between the two
  end_while_starting,  // SIGTERM in the first milliseconds of a start, then a new start
  killed,              // SIGKILL, then a new start
  leaders_killed,      // the quota leader of the busy customer, and the first replica, at once
  end_in_a_crowd,      // a planned end, while many idle clients leave at once
  reloads,             // SIGHUP five times in 100 ms, one of them with a faulty file, SIGUSR1 among them
  stopped,             // SIGSTOP, later SIGCONT
  cut_off,             // one hears nobody and is not heard
  cut_one_way,         // one is not heard, and hears
  all_cut_off,         // nobody hears anybody
  split,               // two halves
  loss,                // of datagrams, with delay and repeats
  nodes_stall,         // both nodes run what they get and say nothing
  node_resets,         // one node breaks connections
  node_declines,       // one node declines
  node_unlisted,       // one node is taken out of all files, and put back
  nodes_late,          // both nodes take a second
  nodes_write_slowly,  // both nodes write long answers of no told length, in lumps with pauses
  crowd,               // idle clients take most of the descriptors, and leave at once
  flood,               // clients send at full speed
  late_copies,         // nodes send answers once more, some milliseconds late
  small_share,         // other processes are busy on the gatekeeper's core
};
const char* name_of(Fault fault);

struct Event {
  Fault fault = Fault::loss;
  milliseconds at{0}, lasts{0};  // since the start of the run
  int gatekeeper = 0;            // the one that it is about
  std::string kind = {};         // of a flood, as testing/flood_play.h has them
  std::size_t count = 0;         // connections of a flood; busy processes of a small share
  milliseconds end() const { return at + lasts; }
};

struct SenderPlan {
  double rate = 1, burst = 1;  // of the quota: units a second, and units
  double asks = 1;             // units a second
  bool calm() const { return asks <= rate / 2; }
};

struct Plan {
  std::uint64_t seed = 0;
  milliseconds length{0};
  int gatekeepers = 1;
  bool guarded = false;  // quotas; else they trust
  bool graphql = false;  // the front; else the platform's form
  milliseconds safe_deadline{0}, unsafe_deadline{0};
  double leave = 0, in_pieces = 0;  // shares of the requests whose client leaves early, or sends slowly
  // From SIGTERM to SIGKILL, at the earliest moment that is allowed.
  milliseconds earliest_kill() const { return std::max(safe_deadline, unsafe_deadline) + kStillOwed; }
  std::vector<SenderPlan> senders;
  std::vector<Event> events;  // in the order of their beginnings

  int count(Fault fault) const;
  std::string text() const;  // a line an event
};

// `floods`: floods and small shares of a core come beside all else that the seed draws.
Plan draw(std::uint64_t seed, milliseconds length, bool floods = false);

}  // namespace cranemux::soak
