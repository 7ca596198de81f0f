// Sends the counters out: to Graphite by its plaintext protocol, to collectd by the PUTVAL text protocol of
// its unixsock plugin. Each send has a connection and a time limit of its own; a receiver that is slow or
// gone costs that send and nothing else.
#pragma once

#include <functional>
#include <string>

#include "metrics/figures.h"
#include "net/net.h"

namespace cranemux::metrics {

using Endpoint = net::asio::generic::stream_protocol::endpoint;

// `cranemux.NAME.counter value time`, a line each.
std::string graphite_lines(const Counters& counters, const Figures& figures, const std::string& name,
                           std::chrono::seconds unix_time);
// `PUTVAL "NAME/cranemux/derive-counter" interval=10 N:value`, a line each.
std::string collectd_lines(const Counters& counters, const Figures& figures, const std::string& name,
                           std::chrono::seconds interval);

class Exporter {
 public:
  using Text = std::function<std::string()>;
  // `answered`: the receiver says a line for each (collectd does, Graphite does not).
  Exporter(net::asio::io_context& io, Endpoint to, std::chrono::milliseconds every, bool answered, Text text,
           Logger& logger, Counters& counters);
  void start();

 private:
  net::awaitable<void> run();
  net::awaitable<bool> send(std::string text);

  net::asio::io_context& io_;
  net::asio::steady_timer timer_, limit_;
  const Endpoint to_;
  const std::chrono::milliseconds every_;
  const bool answered_;
  Text text_;
  Logger& logger_;
  Counters& counters_;
};

}  // namespace cranemux::metrics
