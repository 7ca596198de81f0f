// What the gatekeeper takes in, sends and answers, counted from its start.
#pragma once

#include <cstdint>
#include <ostream>

namespace cranemux::metrics {

struct Counters {
  using Count = std::uint64_t;
  Count channels_opened = 0, accept_failures = 0, bad_requests = 0;
  Count channels_idle_closed = 0, channels_cut = 0, channels_evicted = 0, channels_over_idle_budget = 0;
  Count requests_timed_out = 0, requests_no_memory = 0;
  Count rpcs_taken = 0, rpcs_served = 0, rpcs_unavailable = 0, rpcs_failed = 0, rpcs_abandoned = 0;
  Count deadline_guards = 0;  // answered by the core since the module had not
  Count attempts_sent = 0, attempts_ok = 0, attempts_error = 0, attempts_full = 0, attempts_timeout = 0;
  Count attempts_connect_failed = 0, attempts_reset = 0, attempts_cancelled = 0, attempts_moot = 0;
  Count attempts_spoilt = 0, attempts_overfull = 0, attempts_no_room = 0;
  Count worker_connections = 0, customers_forgotten = 0;
  Count peer_sent = 0, peer_received = 0, peer_dropped = 0;
  Count reloads = 0, reloads_rejected = 0;
  Count resolver_results = 0, resolver_breaks = 0, resolver_bad = 0;
  Count graphql_taken = 0, graphql_rejected = 0, graphql_cost_mismatch = 0, graphql_over_burst = 0;
  Count exports_sent = 0, exports_dropped = 0;

  template <typename Visit>
  void each(Visit visit) const {
    visit("channels_opened", channels_opened);
    visit("accept_failures", accept_failures);
    visit("bad_requests", bad_requests);
    visit("channels_idle_closed", channels_idle_closed);
    visit("channels_cut", channels_cut);
    visit("channels_evicted", channels_evicted);
    visit("channels_over_idle_budget", channels_over_idle_budget);
    visit("requests_timed_out", requests_timed_out);
    visit("requests_no_memory", requests_no_memory);
    visit("rpcs_taken", rpcs_taken);
    visit("rpcs_served", rpcs_served);
    visit("rpcs_unavailable", rpcs_unavailable);
    visit("rpcs_failed", rpcs_failed);
    visit("rpcs_abandoned", rpcs_abandoned);
    visit("deadline_guards", deadline_guards);
    visit("attempts_sent", attempts_sent);
    visit("attempts_ok", attempts_ok);
    visit("attempts_error", attempts_error);
    visit("attempts_full", attempts_full);
    visit("attempts_timeout", attempts_timeout);
    visit("attempts_connect_failed", attempts_connect_failed);
    visit("attempts_reset", attempts_reset);
    visit("attempts_cancelled", attempts_cancelled);
    visit("attempts_moot", attempts_moot);
    visit("attempts_spoilt", attempts_spoilt);
    visit("attempts_overfull", attempts_overfull);
    visit("attempts_no_room", attempts_no_room);
    visit("worker_connections", worker_connections);
    visit("customers_forgotten", customers_forgotten);
    visit("peer_sent", peer_sent);
    visit("peer_received", peer_received);
    visit("peer_dropped", peer_dropped);
    visit("reloads", reloads);
    visit("reloads_rejected", reloads_rejected);
    visit("resolver_results", resolver_results);
    visit("resolver_breaks", resolver_breaks);
    visit("resolver_bad", resolver_bad);
    visit("graphql_taken", graphql_taken);
    visit("graphql_rejected", graphql_rejected);
    visit("graphql_cost_mismatch", graphql_cost_mismatch);
    visit("graphql_over_burst", graphql_over_burst);
    visit("exports_sent", exports_sent);
    visit("exports_dropped", exports_dropped);
  }
};

inline std::ostream& operator<<(std::ostream& out, const Counters& counters) {
  counters.each([&](const char* name, std::uint64_t value) { out << name << ' ' << value << '\n'; });
  return out;
}

}  // namespace cranemux::metrics
