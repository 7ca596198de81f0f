// What a scale run plays: sizes, population, network and faults, read from a YAML file. All figures are
// stated here, so that hollow gatekeepers and real processes play the same. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cranemux/decision_module.h"

namespace cranemux::scale {

enum class FaultKind { restart, kill_keepers, zone_lost, regions_cut };

struct Fault {
  FaultKind kind = FaultKind::restart;
  double at_s = 0;      // from the start of the run
  double for_s = 0;     // that it lasts (zone_lost, regions_cut), or over which restarts are spread
  int gatekeepers = 0;  // restart: how many, drawn
  int zone = 0;         // zone_lost
  int customer = 0;     // kill_keepers: of this customer, by its rank
};

struct Scenario {
  std::string name;
  int gatekeepers = 30;
  int workers = 60;  // of all services together
  int services = 1;  // each with workers, and a decision module, of its own
  int customers = 1000;
  double requests_per_s = 600;       // first tries, of the whole fleet
  double warm_s = 10, seconds = 30;  // played before the figures count, and while they do
  std::uint64_t seed = 1;

  // Customers: a part of the tier each, in a row from any one on, as X-Call-Terms tells it.
  double least_spread = 0.5, most_spread = 1;     // of the gatekeepers, as in the site's plans
  double zipf = 0.8;                              // exponent of the customers' requests by rank
  double full = 0.14, heavy = 0.1, spiky = 0.16;  // of the customers; the others are calm
  int retries = 2;                                // of a refused try, at another gatekeeper of the set

  // Workers answer after a time drawn from an exponential distribution of this mean; they do not queue.
  double work_ms = 55;

  // Datagrams. Zones are dealt out round the gatekeepers in equal runs, regions as equal runs of zones.
  int regions = 1, zones = 1;
  double zone_ms = 0.3, region_ms = 1.5, cross_ms = 35;            // one way, at the least
  double jitter_ms = 10;                                           // and up to so much more
  double zone_loss = 0.01, region_loss = 0.02, cross_loss = 0.04;  // of datagrams
  double mail_in_per_s = 40;         // that one gatekeeper takes in; the rest is lost
  int control_machines = 0;          // members past the gatekeepers that keep ledgers and serve nobody ...
  double control_in_per_s = 20'000;  // ... and take in so many datagrams

  std::vector<Fault> faults;

  // The gatekeepers' settings, but for seed and index.
  Settings settings() const;
  int members() const { return gatekeepers + control_machines; }
};

enum class Behaviour { calm, full, heavy, spiky };

struct Customer {
  std::string id;  // 16 hex digits
  int plan = 0;    // into Settings::plans
  int first = 0, spread = 1;
  double requests_per_s = 0;  // first tries, in the mean
  Behaviour behaviour = Behaviour::calm;
  std::uint64_t phase = 0;  // of its spikes and shifts
};

std::vector<Customer> customers_of(const Scenario& scenario);

// Its part of its customer's requests that comes in through one gatekeeper of its set, and how much more or
// less than in the mean it asks now: busiest gatekeepers change every 10 s, spikes come every 16 s.
double share_of(const Customer& customer, int gatekeeper, const Scenario& scenario, double now_s);
double surge_of(const Customer& customer, double now_s);

struct Arrival {
  double at_s = 0;
  int customer = 0;
  bool booking = false;  // of the class that is never repeated
  int units = 1;
  int service = 0;
};

// What arrives at one gatekeeper: the same for the same scenario, however it is played.
class Arrivals {
 public:
  Arrivals(const Scenario& scenario, const std::vector<Customer>& customers, int gatekeeper);
  Arrival next();  // later than the one before

 private:
  void look();  // at what holds for the next quarter of a second

  const Scenario& scenario_;
  const std::vector<Customer>& customers_;
  const int gatekeeper_;
  std::uint64_t state_;
  double now_s_ = 0, until_s_ = 0;
  std::vector<int> own_;        // customers of whose set it is
  std::vector<double> shares_;  // of `own_`, looked at every second
  std::vector<double> sums_;    // of requests a second, up to each
  double shares_until_s_ = 0;
  double drawn();
};

// Reads a scenario. Throws std::runtime_error with a line `FILE:LINE:COLUMN: KEY: what is wrong` for each
// fault; a size that this machine's memory (in bytes) could not hold is one.
Scenario read_scenario(const std::string& file, const std::string& text, std::uint64_t memory);

}  // namespace cranemux::scale
