// The client of discovery: starts with the stored list of nodes, then keeps a watch open (an HTTP response
// whose chunked body brings changes as they happen) and reopens it whenever it ends, as call_pacing.h allows.
#pragma once

#include <functional>

#include "config/config.h"
#include "cranemux/decision_module.h"
#include "metrics/counters.h"
#include "net/net.h"
#include "net/turn_scheduler.h"
#include "resolver/call_pacing.h"
#include "resolver/object_reader.h"
#include "resolver/result_filter.h"

namespace cranemux::resolver {

class Resolver {
 public:
  // Receives each accepted result, and whether it is a full list or changes.
  using Listener = std::function<void(const config::ResolverResult&, cranemux::ListScope)>;

  Resolver(net::asio::io_context& io, const config::Address& discovery, Listener listener,
           const CallPacing& pacing, metrics::Logger& logger, metrics::Counters& counters);
  // Reports `known` to the listener as the stored list and, if `watches`, starts to call discovery.
  void start(const config::ResolverResult& known, bool watches);
  // Changes the address of discovery. A watch of the old one ends at once. Listed nodes stay in use until the
  // new address reports others; its versions may be numbered differently, so the full list is requested.
  void set_discovery(const config::Address& discovery);
  // Converts a result to the form that the decision module takes.
  cranemux::ServerList server_list(const config::ResolverResult& result, cranemux::ListScope scope) const;
  void stop();  // ends the watch and all calls
  // Returns true if no coroutine of this resolver is running, so that it may be destroyed.
  bool idle() const { return scope_.empty(); }

 private:
  net::awaitable<void> watch_repeatedly();
  net::awaitable<void> wait(CallPacing::Time time);
  net::awaitable<void> watch_once();        // one call to discovery, until its response ends
  bool take_result(std::string_view text);  // false: the rest of the watch must not be used
  void log_refused(ResultFilter::Verdict verdict, const config::ResolverResult& result);

  net::Scope scope_;
  net::tcp::socket socket_;
  net::WorkSource work_;
  net::asio::steady_timer timer_;
  config::Address discovery_;
  Listener listener_;
  CallPacing pacing_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::chrono::nanoseconds to_steady_{};  // steady clock less Unix time, as of the construction
  ResultFilter filter_;
  bool stopped_ = false;
  bool moved_ = false;      // the address has changed since the watch was opened
  bool delivered_ = false;  // this watch has delivered a result
  bool silent_ = false;     // this watch was closed because nothing arrived any more
};

// Converts a worker's start from Unix time to the steady clock that the decision module uses. 0, which means
// a long time ago, stays 0; any other time becomes at least 1 ns.
std::chrono::nanoseconds start_on_steady_clock(std::chrono::milliseconds since,
                                               std::chrono::nanoseconds to_steady);

}  // namespace cranemux::resolver
