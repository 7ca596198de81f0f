// What the gatekeeper takes in, sends and answers, counted from its start.
#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace cranemux::metrics {

// Of one class: how its requests have ended, and the attempts written whole to workers.
struct Lane {
  std::uint64_t completed = 0, rejected = 0, failed = 0, upstream = 0;
};

struct Counters {
  using Count = std::uint64_t;
  std::map<std::string, Lane> lanes;  // by class
  Count channels_opened = 0, accept_failures = 0, bad_requests = 0;
  Count channels_idle_closed = 0, channels_cut = 0, channels_evicted = 0, channels_over_idle_budget = 0;
  Count requests_timed_out = 0, requests_no_memory = 0;
  Count rpcs_taken = 0, rpcs_served = 0, rpcs_unavailable = 0, rpcs_failed = 0, rpcs_abandoned = 0;
  Count deadline_guards = 0;  // answered by the core since the module had not
  Count attempts_sent = 0, attempts_ok = 0, attempts_error = 0, attempts_full = 0, attempts_timeout = 0;
  Count attempts_connect_failed = 0, attempts_reset = 0, attempts_cancelled = 0, attempts_moot = 0;
  Count attempts_spoilt = 0, attempts_overfull = 0, attempts_no_room = 0;
  Count attempts_unplaced = 0;                // outcomes of which the module knows no attempt
  Count attempts_out = 0, attempts_held = 0;  // now, by the core and by the module: the same, or some leak
  Count worker_connections = 0, customers_forgotten = 0;
  Count peer_sent = 0, peer_received = 0, peer_dropped = 0, peer_crowded = 0, peer_unknown_pool = 0;
  Count routes_missed_host = 0, routes_missed_path = 0, routes_missed_method = 0, routes_missed_class = 0;
  Count requests_bad_host = 0, requests_bad_target = 0;
  Count rpcs_over_budget = 0, rpcs_drained_pool = 0, rpcs_overflowed = 0, pools_removed = 0;
  Count log_lines_dropped = 0;
  Count reloads = 0, reloads_rejected = 0;
  Count resolver_calls = 0, resolver_results = 0, resolver_breaks = 0, resolver_bad = 0;
  Count resolver_empty = 0, resolver_older = 0, resolver_crowded = 0;
  Count graphql_taken = 0, graphql_rejected = 0, graphql_cost_mismatch = 0, graphql_over_burst = 0;
  Count documents_cached = 0, documents_read = 0, documents_evicted = 0, documents_registered = 0;
  Count documents_not_found = 0, documents_wrong_hash = 0, documents_untrusted = 0;
  Count subscriptions_opened = 0, subscriptions_refused = 0, subscriptions_failed = 0, subscriptions_cut = 0;
  Count subscription_events = 0;
  Count exports_sent = 0, exports_dropped = 0;
  Count management_calls = 0, management_evicted = 0;
  Count answers_relayed = 0, answers_broken_off = 0;
  Count answers_kept_past_end = 0;  // had begun when their attempt would have ended, and are passed on
  Count answers_given_up = 0;       // had begun, as their client left or another attempt answered first
  Count bodies_relayed = 0, bodies_ended_unread = 0;
  Count bodies_end_unseen = 0;  // answered as late, since their last byte may have been written

  Count handovers = 0, handovers_refused = 0, handover_dropped = 0, takeovers = 0;

  // Of the event loop. Timers that were taken up late, and how late at the most and the last time; turns of
  // work that took long, and the longest.
  Count loop_late = 0, loop_delay_ms = 0, loop_delay_max_ms = 0;
  Count turns_long = 0, turn_max_ms = 0;

  template <typename Visit>
  void each(Visit visit) const {
    each_of(*this, visit);
  }
  // What stands now, or was the most so far; of the whole process.
  template <typename Visit>
  void each_gauge(Visit visit) const {
    visit("attempts_out", attempts_out);
    visit("attempts_held", attempts_held);
    visit("loop_delay_ms", loop_delay_ms);
    visit("loop_delay_max_ms", loop_delay_max_ms);
    visit("turn_max_ms", turn_max_ms);
  }
  Counters& operator+=(const Counters& other);

 private:
  template <typename Self, typename Visit>
  static void each_of(Self& self, Visit visit) {
    visit("channels_opened", self.channels_opened);
    visit("accept_failures", self.accept_failures);
    visit("bad_requests", self.bad_requests);
    visit("channels_idle_closed", self.channels_idle_closed);
    visit("channels_cut", self.channels_cut);
    visit("channels_evicted", self.channels_evicted);
    visit("channels_over_idle_budget", self.channels_over_idle_budget);
    visit("requests_timed_out", self.requests_timed_out);
    visit("requests_no_memory", self.requests_no_memory);
    visit("rpcs_taken", self.rpcs_taken);
    visit("rpcs_served", self.rpcs_served);
    visit("rpcs_unavailable", self.rpcs_unavailable);
    visit("rpcs_failed", self.rpcs_failed);
    visit("rpcs_abandoned", self.rpcs_abandoned);
    visit("deadline_guards", self.deadline_guards);
    visit("attempts_sent", self.attempts_sent);
    visit("attempts_ok", self.attempts_ok);
    visit("attempts_error", self.attempts_error);
    visit("attempts_full", self.attempts_full);
    visit("attempts_timeout", self.attempts_timeout);
    visit("attempts_connect_failed", self.attempts_connect_failed);
    visit("attempts_reset", self.attempts_reset);
    visit("attempts_cancelled", self.attempts_cancelled);
    visit("attempts_moot", self.attempts_moot);
    visit("attempts_spoilt", self.attempts_spoilt);
    visit("attempts_overfull", self.attempts_overfull);
    visit("attempts_unplaced", self.attempts_unplaced);
    visit("attempts_no_room", self.attempts_no_room);
    visit("worker_connections", self.worker_connections);
    visit("customers_forgotten", self.customers_forgotten);
    visit("peer_sent", self.peer_sent);
    visit("peer_received", self.peer_received);
    visit("peer_dropped", self.peer_dropped);
    visit("peer_crowded", self.peer_crowded);
    visit("peer_unknown_pool", self.peer_unknown_pool);
    visit("routes_missed_host", self.routes_missed_host);
    visit("routes_missed_path", self.routes_missed_path);
    visit("routes_missed_method", self.routes_missed_method);
    visit("routes_missed_class", self.routes_missed_class);
    visit("requests_bad_host", self.requests_bad_host);
    visit("requests_bad_target", self.requests_bad_target);
    visit("rpcs_over_budget", self.rpcs_over_budget);
    visit("rpcs_drained_pool", self.rpcs_drained_pool);
    visit("rpcs_overflowed", self.rpcs_overflowed);
    visit("pools_removed", self.pools_removed);
    visit("log_lines_dropped", self.log_lines_dropped);
    visit("reloads", self.reloads);
    visit("reloads_rejected", self.reloads_rejected);
    visit("resolver_results", self.resolver_results);
    visit("resolver_calls", self.resolver_calls);
    visit("resolver_breaks", self.resolver_breaks);
    visit("resolver_bad", self.resolver_bad);
    visit("resolver_empty", self.resolver_empty);
    visit("resolver_older", self.resolver_older);
    visit("resolver_crowded", self.resolver_crowded);
    visit("graphql_taken", self.graphql_taken);
    visit("graphql_rejected", self.graphql_rejected);
    visit("graphql_cost_mismatch", self.graphql_cost_mismatch);
    visit("graphql_over_burst", self.graphql_over_burst);
    visit("documents_cached", self.documents_cached);
    visit("documents_read", self.documents_read);
    visit("documents_evicted", self.documents_evicted);
    visit("documents_registered", self.documents_registered);
    visit("documents_not_found", self.documents_not_found);
    visit("documents_wrong_hash", self.documents_wrong_hash);
    visit("documents_untrusted", self.documents_untrusted);
    visit("subscriptions_opened", self.subscriptions_opened);
    visit("subscriptions_refused", self.subscriptions_refused);
    visit("subscriptions_failed", self.subscriptions_failed);
    visit("subscriptions_cut", self.subscriptions_cut);
    visit("subscription_events", self.subscription_events);
    visit("exports_sent", self.exports_sent);
    visit("exports_dropped", self.exports_dropped);
    visit("management_calls", self.management_calls);
    visit("management_evicted", self.management_evicted);
    visit("answers_relayed", self.answers_relayed);
    visit("answers_broken_off", self.answers_broken_off);
    visit("answers_kept_past_end", self.answers_kept_past_end);
    visit("answers_given_up", self.answers_given_up);
    visit("bodies_relayed", self.bodies_relayed);
    visit("bodies_ended_unread", self.bodies_ended_unread);
    visit("bodies_end_unseen", self.bodies_end_unseen);
    visit("loop_late", self.loop_late);
    visit("turns_long", self.turns_long);
    visit("handovers", self.handovers);
    visit("handovers_refused", self.handovers_refused);
    visit("handover_dropped", self.handover_dropped);
    visit("takeovers", self.takeovers);
  }
};

// Of several pools, or of one that has gone: what each has counted, together.
inline Counters& Counters::operator+=(const Counters& other) {
  std::vector<std::uint64_t> more;
  other.each([&](const char*, std::uint64_t value) { more.push_back(value); });
  std::size_t at = 0;
  each_of(*this, [&](const char*, std::uint64_t& value) { value += more[at++]; });
  for (const auto& [name, lane] : other.lanes) {
    auto& sum = lanes[name];
    sum.completed += lane.completed;
    sum.rejected += lane.rejected;
    sum.failed += lane.failed;
    sum.upstream += lane.upstream;
  }
  return *this;
}

inline std::ostream& operator<<(std::ostream& out, const Counters& counters) {
  const auto print = [&](const char* name, std::uint64_t value) { out << name << ' ' << value << '\n'; };
  counters.each(print);
  counters.each_gauge(print);
  return out;
}

}  // namespace cranemux::metrics
