// Discovery: the first list from the configuration, then a watch that is opened again whenever it breaks.
#pragma once

#include <functional>

#include "config/config.h"
#include "cranemux/decision_module.h"
#include "metrics/counters.h"
#include "net/net.h"
#include "resolver/call_pacing.h"
#include "resolver/object_reader.h"
#include "resolver/result_filter.h"

namespace cranemux::resolver {

class Resolver {
 public:
  // Told each resolver result, and whether it is the whole list.
  using Listener = std::function<void(const config::ResolverResult&, cranemux::ListScope)>;

  Resolver(net::asio::io_context& io, const config::Address& discovery, Listener listener,
           const CallPacing& pacing, metrics::Logger& logger, metrics::Counters& counters);
  void start(const config::ResolverResult& known, bool watches);
  void set_discovery(const config::Address& discovery);  // a new configuration: the watch goes there at once
  // The same as the module takes it.
  cranemux::ServerList server_list(const config::ResolverResult& result, cranemux::ListScope scope) const;
  void stop();
  bool idle() const { return scope_.empty(); }

 private:
  net::awaitable<void> watch();
  net::awaitable<void> wait(CallPacing::Time time);
  net::awaitable<void> follow();     // one watch, until it breaks
  bool take(std::string_view text);  // one result; false: the watch is of no more use
  void refuse(ResultFilter::Verdict why, const config::ResolverResult& result);

  net::Scope scope_;
  net::tcp::socket socket_;
  net::asio::steady_timer timer_;
  config::Address discovery_;
  Listener listener_;
  CallPacing pacing_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::chrono::nanoseconds to_steady_{};  // steady clock less Unix time, fixed at the start
  ResultFilter intake_;
  bool stopped_ = false;
  bool moved_ = false;   // discovery is elsewhere since the watch began
  bool good_ = false;    // this watch has brought something
  bool silent_ = false;  // it was left since nothing came any more
};

// A worker's start on the module's clock; 0 stays 0, 'long ago'.
std::chrono::nanoseconds start_on_steady_clock(std::chrono::milliseconds since,
                                               std::chrono::nanoseconds to_steady);

}  // namespace cranemux::resolver
