// Public interface of cranemux: the settings, events and actions of the DecisionModule, which makes all
// routing, quota and retry decisions of one gateway. Free of I/O: the host feeds it events and carries out
// the actions that it returns.
//
// A host creates one DecisionModule at start-up and calls step() whenever something has happened, with all
// events since the last call in their order. It carries out the returned actions in their order, at the same
// clock time. A minimal loop:
//
//     cranemux::DecisionModule decision_module(settings);  // throws std::invalid_argument
//     std::vector<cranemux::Event> events{cranemux::ServerList{...}};
//     std::vector<cranemux::Action> actions;
//     for (;;) {
//         actions.clear();
//         decision_module.step(clock_ns(), events, actions);  // never blocks, keeps no reference
//         for (const auto& action : actions) carry_out(action);
//         events = wait_for_events_or_timers();
//     }
//
// Times are nanoseconds of the caller's steady clock, which must never go back. The first step must bring the
// server list as last known (ListScope::stored). A DecisionModule shares no state with any other unless it is
// constructed to share quotas. It is not thread-safe: calls to one module, or to modules that share quotas,
// must not overlap. Events that name unknown requests, attempts, servers or peers are ignored; outcomes of
// that kind are logged and counted. Equal settings and equal events give equal actions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranemux {

// Nanoseconds: a duration, or a time on the caller's steady clock.
using Nanos = std::int64_t;

// What may happen to a request that may already have run.
enum class Repeat {
  safe,   // it may run any number of times
  keyed,  // servers drop a repeat by its idempotency key, within RepeatScope and ClassSettings::window
  unsafe  // it must run at most once
};

// Which servers drop the repeat of a keyed request: all, or those in the zone or cell of the first attempt.
enum class RepeatScope { all, zone, cell };

// A class of requests that share deadlines, worth and rules for repeats.
struct ClassSettings {
  std::string name;       // unique, not empty
  Nanos aim = 0;          // an answer within this time earns the full worth; above 0
  Nanos give_up = 0;      // total time a client waits, over all its retries
  double late_share = 0;  // share of the worth, 0 to 1, that an answer past the aim earns
  double worth = 1;       // of an answer within the aim, relative to other classes; not negative
  Repeat repeat = Repeat::safe;
  RepeatScope scope = RepeatScope::all;  // keyed: which servers drop a repeat
  Nanos window = 0;                      // keyed: how long after the first attempt they drop it; above 0
  bool stream = false;                   // answers are streams; not used by the module
  bool operator==(const ClassSettings&) const = default;
};

// A plan: the limits that hold for each of its customers over all gateways together, as token buckets in
// units, and what its requests earn. Without a rate and an open_limit every request is beyond the quota.
struct PlanSettings {
  std::string name;          // unique, not empty
  double rate = 0;           // units per second that refill the quota's bucket; 0: no such quota
  double burst = 0;          // capacity of that bucket in units; above 0 if rate is
  int open_limit = 0;        // concurrent attempts; 0: no such quota
  double ceiling_rate = 0;   // units per second that refill the hard ceiling's bucket, at least rate; 0: none
  double ceiling_burst = 0;  // capacity of that bucket in units; above 0 if ceiling_rate is
  double ceiling_slack = 0;  // units by which the ceiling may be exceeded; not used by the module
  double price = 1;          // factor on the worth of the plan's requests; not negative
  double over_worth = 0;     // share of the worth that an answer beyond the quota earns
  double over_cost = 0;      // share of the worth that an answer beyond the quota costs
  bool operator==(const PlanSettings&) const = default;
};

// Settings of one gateway. `gateways`, `plans` with their order, `guarded` and `dedicated_leaders` must be
// equal at all gateways of a tier.
struct Settings {
  std::uint64_t seed = 0;              // of all random draws; must differ between gateways and between starts
  int gateways = 1;                    // in this tier, at least 1
  int index = 0;                       // of this gateway, from 0 to gateways - 1
  std::string zone;                    // of this gateway; servers in the same zone are preferred
  std::vector<ClassSettings> classes;  // at least one
  std::vector<PlanSettings> plans;
  double most_units = 1;            // upper bound of the units of one request; above 0
  bool settles = false;             // Request::units is an estimate, corrected by Outcome::settled_units
  double peer_messages_per_s = 0;   // that one gateway accepts from its peers
  std::size_t message_bytes = 256;  // upper bound of the size of a peer message
  // Quotas hold whatever messages are lost or gateways fail: a gateway spends only what a quota leader has
  // leased to it under a majority lease, or its own fallback share. Some requests are refused when a gateway
  // fails. At most 63 gateways.
  bool guarded = false;
  // Number of gateways, the last ones by index, that only lead quotas: they receive the lease requests of all
  // others and no client requests. 0: every gateway leads quotas besides serving requests. Fewer than
  // `gateways`; 0 where quotas are guarded.
  int dedicated_leaders = 0;
  bool peers = false;            // gateways can send messages to each other
  bool probes = false;           // the host can probe servers
  bool cancel = false;           // the host can cancel attempts
  bool second_copies = false;    // a request may have two attempts out at once (hedging)
  bool retry_after = false;      // clients wait for Refuse::retry_after before they retry
  bool list_on_request = false;  // server lists come only after WatchServers
  bool load_in_answers = false;  // answers carry a LoadReport
  bool load_in_probes = false;   // probe results carry a LoadReport
  int max_attempts = 1;          // per request, at least 1
  Nanos max_retry_after = 0;     // longest Refuse::retry_after that clients follow
  double connection_price = 0;   // cost of a new connection to a server, as a multiple of a first attempt's
  Nanos connection_idle = 0;     // a connection is closed after this long without a request
  Nanos quantum = 0;             // shortest time between two steps; not used by the module
  Nanos ask_within = 0;      // list_on_request: longest time between requests for it; not used by the module
  Nanos drain_grace = 0;     // time within which sending to a server that drains must stop
  double cold_from = 1;      // share of its capacity, 0 to 1, that a server has when it starts
  Nanos warm_up = 0;         // after which a started server has its whole capacity
  double fall_multiple = 0;  // a cold server fails when sent this many times its capacity ...
  Nanos fall_window = 0;     // ... for this long; 0: it does not. Both are not used by the module
  bool operator==(const Settings&) const = default;
};

// Load that a server reports of itself. Not used by the module.
struct LoadReport {
  std::optional<double> inflight, queue, util, service_ms, per_s, errors_per_s;
};

// ---- events -------------------------------------------------------------------------------------

// A draining server finishes its requests and gets no new ones.
enum class ServerState { running, draining, removed };

// What a ServerList holds.
enum class ListScope {
  changes,  // only entries that differ from the last list
  full,     // all servers; those that are not listed are removed
  stored,   // all servers, as last known before this process started
  failed    // nothing: discovery could not be read
};

struct ServerEntry {
  std::string id;  // returned as given in Send::server
  std::string zone;
  int cell = 0;  // servers with the same number drop each other's repeats (RepeatScope::cell)
  ServerState state = ServerState::running;
  double weight = 1;  // relative capacity; not used by the module
  Nanos started = 0;  // 0: long ago. A changed value means a restart
};

// The servers, as discovery has them.
struct ServerList {
  ListScope scope = ListScope::full;
  std::vector<ServerEntry> servers;
};

// A client's request. It gets exactly one final answer: an Outcome with `finished`, Refuse or Fail.
struct Request {
  std::string id;  // unique over the module's lifetime
  // Names of its class and plan, and its customer. An unknown class counts as the first one. An unknown
  // plan leaves the customer at the plan of its earlier requests; without one its requests are refused.
  std::string klass, plan, customer;
  Nanos budget = 0;           // time until the client stops waiting for this try
  double units = 1;           // of the quota, at most Settings::most_units
  int first = 0, spread = 1;  // the customer's gateways: `spread` of them from index `first`, cyclically
  bool repeat = false;        // known to be a client's retry
  bool uploading = false;     // its body is not complete; its budget starts at the time that Uploaded tells
};

// The last byte of a request's body has arrived, `waited` ago at most.
struct Uploaded {
  std::string request;
  Nanos waited = 0;
};

// The first byte of an answer has arrived. Not used by the module.
struct FirstByte {
  std::string request;
  int attempt = 0;
};

// How an attempt or a probe ended. After `full`, `connect_failed` and `not_sent` the request has not run at
// the server; after any other result it may have.
enum class Result {
  ok,
  error,           // the server answered with an error
  full,            // the server rejected it because of its load
  timeout,         // no answer within Send::timeout
  connect_failed,  // no connection
  reset,           // the connection broke
  cancelled,       // by Cancel
  not_sent         // the host has not sent it, or not completely
};

// End of an attempt: exactly one for each Send.
struct Outcome {
  std::string request;
  int attempt = 0;  // of the Send that it answers
  Result result = Result::ok;
  Nanos took = 0;            // duration of the attempt
  bool finished = false;     // the request has had its final answer
  double settled_units = 0;  // the request's true units, if Settings::settles; 0: as estimated
  LoadReport load;
};

// The client has left, or the host has answered it because the answer was overdue.
struct ClientGone {
  std::string request;
};

// Answer to a Probe. Not used by the module.
struct ProbeResult {
  std::string server;
  Result result = Result::ok;
  Nanos took = 0;
  LoadReport load;
};

// A message that the gateway with index `from` sent with SendToPeer.
struct PeerMessage {
  int from = 0;
  std::string bytes;
};

// A time set with SetTimer has been reached.
struct Timer {
  std::uint64_t token = 0;
};

// Result of an operation on a shared counter. Not used by the module.
struct CounterResult {
  std::uint64_t name = 0;
  bool ok = false;
  double total = 0;
};

// `active_elsewhere`: another process of this gateway has taken over; from now on whatever this module's
// remaining requests spend is returned as SpentElsewhere actions. False: the hand-over was abandoned and this
// process goes on serving.
struct HandedOver {
  bool active_elsewhere = true;
};

// Units spent by a process of this gateway that has handed over. As an action: spent here, to be passed on to
// the active process. As an event: spent by the former process, charged here.
struct SpentElsewhere {
  std::uint32_t customer = 0;  // hash of its name
  double units = 0;            // settled: true units less the estimate, of either sign
  bool settled = false;        // corrects what was charged before
};

// The process is about to end: guarded ledgers that it leads are transferred to other gateways.
struct ShuttingDown {};

using Event = std::variant<ServerList, Request, FirstByte, Outcome, ClientGone, ProbeResult, PeerMessage,
                           Timer, CounterResult, ShuttingDown, HandedOver, SpentElsewhere, Uploaded>;

// ---- actions ------------------------------------------------------------------------------------

// Starts an attempt of a request, which is answered by exactly one Outcome of its number.
struct Send {
  std::string request, server;
  Nanos timeout = 0;        // of the attempt, from now on
  Nanos send_deadline = 0;  // time by which its last byte must be sent, else it must not be; 0: none
  int attempt = 0;          // its number: counted from 0 in the order of the request's Sends
};

// Cancels an attempt; its Outcome still follows. Only with Settings::cancel.
struct Cancel {
  std::string request;
  int attempt = 0;
};

// Final answer: refused, and a retry does no harm.
struct Refuse {
  std::string request;
  Nanos retry_after = 0;  // advised wait before a retry; 0: no advice
};

// Final answer: failed, and the request may have run.
struct Fail {
  std::string request;
};

// Asks for Timer{token} at time `at`.
struct SetTimer {
  std::uint64_t token = 0;
  Nanos at = 0;
};

// Probes a server. Never returned by this version of the module.
struct Probe {
  std::string server;
};

// Sends a datagram to the gateway with index `to`.
struct SendToPeer {
  int to = 0;
  std::string bytes;  // at most Settings::message_bytes
};

// Subscribes to changes of the server list. Only with Settings::list_on_request.
struct WatchServers {};

// A line for the operator's log.
struct Log {
  std::string text;
};

using Action =
    std::variant<Send, Cancel, Refuse, Fail, SetTimer, Probe, SendToPeer, WatchServers, Log, SpentElsewhere>;

// A customer's token bucket as this gateway knows it: by the last answer of its quota leader, refilled since,
// less what was spent here.
struct Allowance {
  double tokens = 0, burst = 0;  // units; tokens are negative while a settled difference is repaid
  double rate = 0;               // units per second
};

// Attempts without an outcome and requests that are not over, as the module counts them: all are 0 once every
// request has its final answer and every Send its Outcome.
struct Outstanding {
  std::size_t requests = 0;
  int at_servers = 0, of_customers = 0, of_requests = 0;  // the same attempts, counted in three places
  bool operator==(const Outstanding&) const = default;
};

// Makes the decisions of one gateway; how it is used is said at the head of this file.
class DecisionModule {
 public:
  // Throws std::invalid_argument, whose message names each faulty setting.
  explicit DecisionModule(const Settings& settings);
  // Shares the state of all quotas with `shares`, while requests and servers are its own. Both must be
  // stepped by the same clock; peer messages about these quotas go to either. Throws std::invalid_argument if
  // the settings are faulty or the plans of the two differ.
  DecisionModule(const Settings& settings, const DecisionModule& shares);
  ~DecisionModule();
  DecisionModule(DecisionModule&&) noexcept;
  DecisionModule& operator=(DecisionModule&&) noexcept;
  // Handles `events` and appends the resulting actions to `actions`. `now` must not be before that of an
  // earlier call.
  void step(Nanos now, const std::vector<Event>& events, std::vector<Action>& actions);
  // The customer's bucket; nullopt if it is unknown here or its plan has no rate.
  std::optional<Allowance> allowance(Nanos now, const std::string& customer) const;
  // Number of servers in the list that get no requests now, because they drain or are ejected for failures.
  std::size_t unavailable_servers(Nanos now) const;
  Outstanding outstanding() const;
  // Attempts without an outcome by server, only those with any.
  std::map<std::string, int> attempts_by_server() const;
  // Outcomes so far of which the module knows no attempt that is out; each is logged, and none is expected.
  std::uint64_t unplaced_outcomes() const;
  // State for the next process of this gateway; empty before the first step or where quotas are guarded.
  std::string save() const;
  // Takes over a state from save(), before the first step, and appends actions. False, with nothing changed,
  // if the state is invalid for these settings or this clock, a step has been made, or quotas are guarded:
  // their ledgers are transferred to other gateways instead (ShuttingDown).
  bool restore(Nanos now, const std::string& state, std::vector<Action>& actions);
  // Text for operators, one line for each member of the tier and a summary of the ledgers; empty before the
  // first step or where quotas are not guarded.
  std::string guard_report(Nanos now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cranemux
