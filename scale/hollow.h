// A fleet of hollow gatekeepers in virtual time: the program's own decision module with its ledgers, mail,
// membership and pools, many of them in one process, without sockets. Clients, workers, discovery's lists and
// the network between gatekeepers are stand-ins with the rates that the scenario states; whatever is
// measured, is measured by them. The same scenario gives the same events, whatever the number of threads.
#pragma once

#include <string>
#include <vector>

#include "scale/results.h"
#include "scale/scenario.h"

namespace cranemux::scale {

// What a run has measured: a row a figure, with the scenario's sizes; `commit` and `kind` are the caller's.
// Processor time is the machine's and differs between runs; all else is the same each time.
std::vector<Row> play_hollow(const Scenario& scenario, int threads);

}  // namespace cranemux::scale
