// Forty usual requests a second beside clients that send at full speed, and what both got: for the tests that
// hold the bounds, and for the table of sources of work in docs/design.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "testing/client.h"
#include "testing/flooding_clients.h"
#include "testing/program.h"
#include "testing/site.h"
#include "testing/stage.h"

namespace cranemux::testing {

// The waits and aims of the operators' report; aims near the loop's delay show whether workers are taken for
// slow.
constexpr milliseconds kStatusWait{800}, kBookingWait{1500};
extern const char* const kReportedClasses;  // as a configuration's `classes`

extern const char* const kFloodIds;  // what the ids of flooding requests begin with

struct FloodFigures {
  std::size_t asked = 0, served = 0;  // of the usual requests
  std::size_t late = 0;               // answered more than half a second after their time, or never
  double median_ms = 0, p99_ms = 0, largest_ms = 0;
  std::string unserved;  // requests that were not: their ids, statuses and ms
  std::size_t ejections = 0;
  long growth_kb = 0;                     // of the program's memory
  std::size_t flooded = 0, answered = 0;  // requests of the flooding clients
  bool all_answered = false;              // of those sent whole, where each has an answer of its own
  std::size_t least_answered = 0;         // on one connection
  std::string text() const;               // one line
};

struct FloodPlay {
  Stage& stage;
  Program& program;
  int usual_port;
  int flooded_port;
  std::function<std::string()> log;  // of the program
  Rules* rules = nullptr;
  milliseconds stretch{5000};
  std::size_t busy = 0;        // processes that share the program's core
  bool connects_anew = false;  // usual clients, for each request

  FloodFigures run(std::size_t connections, const FloodKind& kind);
};

// Six workers of 30 ms, and the classes of the report. Before the site's start.
void set_up_flooded(Site& site);

// Kinds of floods on the platform's front, by name; throws std::out_of_range for an unknown one. `plan`: of
// requests that workers get, where the site has others than `Site`.
FloodKind flood_kind(const std::string& name, const std::string& plan = "business");
std::vector<std::string> flood_kinds();

}  // namespace cranemux::testing
