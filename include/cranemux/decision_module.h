// The whole interface of cranemux: settings, events, actions, and DecisionModule, one per front door.
//
// A front door makes one DecisionModule when it starts, then calls step() whenever something has happened,
// with all that happened since the last call, in order. The actions it gets back are carried out in
// the order given, at the same clock time. A minimal loop:
//
//     cranemux::DecisionModule brain(settings);                 // throws std::invalid_argument
//     std::vector<cranemux::Event> events{cranemux::ServerList{...}};
//     std::vector<cranemux::Action> actions;
//     for (;;) {
//         actions.clear();
//         brain.step(clock_ns(), events, actions);     // never blocks, keeps no reference
//         for (const auto& action : actions) carry_out(action);
//         events = wait_for_events_or_timers();
//     }
//
// Time is in nanoseconds of the caller's steady clock and must never go back. The first step must
// bring the server list as last known (ListScope::stored). A DecisionModule shares nothing with any other
// DecisionModule; one DecisionModule must not be stepped from two threads at once. Events that name unknown
// requests, attempts, servers or peers are ignored. Equal settings and events give equal actions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cranemux {

using Nanos = std::int64_t;

enum class Repeat { safe, keyed, unsafe };
enum class RepeatScope { all, zone, cell };

struct ClassSettings {
  std::string name;
  Nanos aim = 0;          // an answer within this earns full worth
  Nanos give_up = 0;      // the client's whole patience over all its tries
  double late_share = 0;  // share of worth that an answer past the aim earns
  double worth = 1;
  Repeat repeat = Repeat::safe;
  RepeatScope scope = RepeatScope::all;  // keyed: who drops a repeat
  Nanos window = 0;                      // keyed: for how long after the first send
  bool stream = false;
  bool operator==(const ClassSettings&) const = default;
};

struct PlanSettings {
  std::string name;
  double rate = 0;           // units a second that fill a customer's store; 0: no such quota
  double burst = 0;          // units the store holds
  int open_limit = 0;        // attempts of a customer out at once; 0: no such quota
  double ceiling_rate = 0;   // units a second that fill the hard ceiling; 0: none
  double ceiling_burst = 0;  // units the ceiling's store holds
  double ceiling_slack = 0;  // units it may be overdrawn by
  double price = 1;
  double over_worth = 0;  // share of worth earned beyond the quota
  double over_cost = 0;   // share of worth lost beyond the quota
  bool operator==(const PlanSettings&) const = default;
};

struct Settings {
  std::uint64_t seed = 0;
  int gateways = 1;  // front doors in this tier
  int index = 0;     // this one's number, from 0
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  double most_units = 1;            // the most that one request counts for
  bool settles = false;             // told units are a guess; Outcome::settled_units brings the true ones
  double peer_messages_per_s = 0;   // that one front door takes in
  std::size_t message_bytes = 256;  // the most that one of them may hold
  // Quotas hold whatever becomes of messages and gateways: nothing is used that no keeper with the right has
  // granted, or of a gateway's own part. At the cost of some refusals when one fails; at most 63 gateways.
  bool guarded = false;
  // So many of the gateways, the last ones, keep the quotas of all others, take in what those send, and get
  // no requests of their own; 0: all keep quotas beside their work. Not where quotas are guarded.
  int dedicated_leaders = 0;
  bool peers = false;
  bool probes = false;
  bool cancel = false;
  bool second_copies = false;
  bool retry_after = false;
  bool list_on_request = false;  // the server list comes only to those that ask
  bool load_in_answers = false;  // load reports ride on answers
  bool load_in_probes = false;   // load reports come with probe results
  int max_attempts = 1;
  Nanos max_retry_after = 0;
  double connection_price = 0;  // of a new connection to a server, in first tries
  Nanos connection_idle = 0;    // a connection is closed when nothing was asked on it for this long
  Nanos quantum = 0;            // shortest time between steps
  Nanos ask_within = 0;         // list_on_request: ask at least this often
  Nanos drain_grace = 0;        // time to stop sending to a draining server
  double cold_from = 1;         // a started server has at least this share of its capacity
  Nanos warm_up = 0;            // and all of it after this long
  double fall_multiple = 0;     // sent this many times what it can do ...
  Nanos fall_window = 0;        // ... for this long, a cold server falls over; 0: it does not
  bool operator==(const Settings&) const = default;
};

struct LoadReport {
  std::optional<double> inflight, queue, util, service_ms, per_s, errors_per_s;
};

// ---- events -------------------------------------------------------------------------------------

enum class ServerState { running, draining, removed };
enum class ListScope { changes, full, stored, failed };

struct ServerEntry {
  std::string id;  // returned as given
  std::string zone;
  int cell = 0;
  ServerState state = ServerState::running;
  double weight = 1;
  Nanos started = 0;  // 0: long ago
};
struct ServerList {
  ListScope scope = ListScope::full;
  std::vector<ServerEntry> servers;
};
// From now on the DecisionModule owes exactly one final answer: an Outcome with `finished`, Refuse or Fail.
struct Request {
  std::string id;  // never used twice
  std::string klass, plan, customer;
  Nanos budget = 0;  // time until the client gives this try up
  double units = 1;
  int first = 0, spread = 1;  // the customer's own front doors: `spread` in a row from `first`
  bool repeat = false;        // known to be a client's repeat
  bool uploading = false;     // a part of its body has yet to come; its time begins with Uploaded
};
struct Uploaded {
  std::string request;
};
struct FirstByte {
  std::string request;
  int attempt = 0;
};
enum class Result { ok, error, full, timeout, connect_failed, reset, cancelled, not_sent };
// Exactly one for each Send.
struct Outcome {
  std::string request;
  int attempt = 0;
  Result result = Result::ok;
  Nanos took = 0;
  bool finished = false;     // the request has had its final answer
  double settled_units = 0;  // > 0: true units of the request
  LoadReport load;
};
struct ClientGone {  // the client left, or the answer is overdue
  std::string request;
};
struct ProbeResult {
  std::string server;
  Result result = Result::ok;
  Nanos took = 0;
  LoadReport load;
};
struct PeerMessage {
  int from = 0;
  std::string bytes;
};
struct Timer {
  std::uint64_t token = 0;
};
struct CounterResult {
  std::uint64_t name = 0;
  bool ok = false;
  double total = 0;
};
// Another process of this gateway serves in its place: what is spent from now on is told, as Elsewhere. Or,
// after all, it serves on.
struct HandedOver {
  bool active_elsewhere = true;
};
// Spent, or settled afterwards, by a process of this gateway that has handed over.
struct SpentElsewhere {
  std::uint32_t customer = 0;  // its hash
  double units = 0;
  bool settled = false;
};
struct ShuttingDown {};  // it is about to end: what it keeps of guarded quotas goes to others
using Event = std::variant<ServerList, Request, FirstByte, Outcome, ClientGone, ProbeResult, PeerMessage,
                           Timer, CounterResult, ShuttingDown, HandedOver, SpentElsewhere, Uploaded>;

// ---- actions ------------------------------------------------------------------------------------

struct Send {  // attempts of a request are numbered 0, 1, ... in the order sent
  std::string request, server;
  Nanos timeout = 0;        // the attempt's time-out
  Nanos send_deadline = 0;  // its last byte reaches the server by then, or it is not sent; 0: at any time
};
struct Cancel {
  std::string request;
  int attempt = 0;
};
struct Refuse {  // final: it is harmless to try again
  std::string request;
  Nanos retry_after = 0;  // 0: no advice
};
struct Fail {  // final: nothing is promised
  std::string request;
};
struct SetTimer {
  std::uint64_t token = 0;
  Nanos at = 0;
};
struct Probe {
  std::string server;
};
struct SendToPeer {
  int to = 0;
  std::string bytes;  // 256 at most
};
struct WatchServers {};  // subscribe to list changes
struct Log {
  std::string text;
};
using Action =
    std::variant<Send, Cancel, Refuse, Fail, SetTimer, Probe, SendToPeer, WatchServers, Log, SpentElsewhere>;

// A customer's store as this front door knows it: by the last word of its keeper, filled since, less own use.
struct Allowance {
  double tokens = 0, burst = 0;  // units; the level is below 0 while a settled difference is paid back
  double rate = 0;               // units a second
};

class DecisionModule {
 public:
  explicit DecisionModule(const Settings& settings);  // std::invalid_argument if they make no sense
  // Holds the quotas of customers together with `shares`, which must have equal plans: each has requests and
  // servers of its own. One clock for both. Peer messages about these quotas go to either.
  DecisionModule(const Settings& settings, const DecisionModule& shares);
  ~DecisionModule();
  DecisionModule(DecisionModule&&) noexcept;
  DecisionModule& operator=(DecisionModule&&) noexcept;
  // Appends to `actions`. `now` never goes back.
  void step(Nanos now, const std::vector<Event>& events, std::vector<Action>& actions);
  // None: nothing is known of it here, or its plan has no rate.
  std::optional<Allowance> allowance(Nanos now, const std::string& customer) const;
  // Servers in the list that it would send nothing now, since they drain or have failed.
  std::size_t unavailable_servers(Nanos now) const;
  // What the next process of this gateway needs to know, and taking it up: before the first step. False: it
  // makes no sense here, or quotas are guarded, which have a way of their own; nothing has changed.
  std::string save() const;
  bool restore(Nanos now, const std::string& state, std::vector<Action>& actions);
  // Members of the tier and ledgers, in words, a line each; empty where quotas are not guarded.
  std::string guard_report(Nanos now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cranemux
