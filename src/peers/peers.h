// Datagrams between gatekeepers.
#pragma once

#include <array>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "net/net.h"

namespace cranemux::peers {

class PeerLink : public core::Peers {
 public:
  PeerLink(net::asio::io_context& io, core::Core& core, const config::Config& config, metrics::Logger& logger,
           metrics::Counters& counters);
  void tell(int to, const std::string& bytes) override;
  void stop();

 private:
  net::awaitable<void> receive();

  net::udp::socket socket_;
  core::Core& core_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::vector<net::udp::endpoint> peers_;
};

}  // namespace cranemux::peers
