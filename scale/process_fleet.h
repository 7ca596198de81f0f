// A scenario played by real processes of the program on loopback, for comparison with the hollow gatekeepers.
// Mail between them goes through a network of ours with the scenario's delays and losses; clients and nodes
// are stand-ins. Whatever is measured, is measured by them.
#pragma once

#include <string>
#include <vector>

#include "scale/results.h"
#include "scale/scenario.h"

namespace cranemux::scale {

// `settings` of the platform's configuration: an object in JSON that the program reads as these settings.
// What it reads elsewhere (the seed) or never from there (guarded quotas, the size of messages) is left out.
std::string platform_settings(const Settings& settings);
// One worker of the platform's list, as discovery and the configuration have it.
std::string platform_node(const std::string& name, int port, const std::string& zone,
                          const std::string& status = "active");

// What a run has measured, named as the hollow gatekeepers' figures where it is the same: a row a figure,
// with the scenario's sizes; `commit` is the caller's. Refused tries are not made again, whatever the
// scenario says. Takes the scenario's time. Throws std::invalid_argument for what it doesn't play (more than
// one service, faults, more than 64 members), std::runtime_error where a gatekeeper ends, or the clients
// could not send in time: the machine was too busy for the figures to say anything.
std::vector<Row> play_processes(const Scenario& scenario, const std::string& binary);

}  // namespace cranemux::scale
