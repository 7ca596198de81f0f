// Datagrams between gatekeepers, on one socket. A ledger alone sends the module's messages as they are; where
// there are several, each message carries its ledger's tag, and they share the budget of datagrams
// (datagram_batcher.h).
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "net/net.h"
#include "peers/datagram_batcher.h"

namespace cranemux::peers {

class PeerLink;

// One core's end of the link, until it goes.
class LedgerEndpoint : public core::Peers {
 public:
  LedgerEndpoint(PeerLink& link, Tag tag, core::Core& core);
  ~LedgerEndpoint() override;
  LedgerEndpoint(const LedgerEndpoint&) = delete;
  LedgerEndpoint& operator=(const LedgerEndpoint&) = delete;
  void tell(int to, const std::string& bytes) override;

  const Tag tag;
  core::Core& core;

 private:
  PeerLink& link_;
};

class PeerLink {
 public:
  PeerLink(net::asio::io_context& io, const std::optional<config::Address>& listen,
           const std::vector<config::Address>& peers, metrics::Logger& logger, metrics::Counters& counters);
  // From now on messages carry tags, and at most so many datagrams go in a second.
  void tag_messages(double datagrams_per_s);
  std::unique_ptr<LedgerEndpoint> join(const std::string& ledger, core::Core& core);
  void stop();
  // Binds, or takes the socket over from another process. Where the place is still taken it asks again until
  // it is free.
  void open(std::optional<int> inherited);
  void set_muted(bool muted);  // another process speaks and hears in its place
  int socket() { return socket_.is_open() ? socket_.native_handle() : -1; }

 private:
  friend class LedgerEndpoint;
  net::awaitable<void> receive();
  net::awaitable<void> bind();
  void received(int from, std::string_view bytes);
  void tell(const LedgerEndpoint& line, int to, const std::string& bytes);
  void send(int to, const std::string& bytes);
  void flush();
  LedgerEndpoint* line_of(Tag tag);

  net::udp::socket socket_;
  net::asio::steady_timer timer_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::vector<net::udp::endpoint> peers_;
  std::vector<LedgerEndpoint*> lines_;  // of a tag that several have, the last is told
  std::optional<DatagramBatcher> bag_;
  std::optional<net::udp::endpoint> listen_;
  bool muted_ = false, hears_ = false;
};

}  // namespace cranemux::peers
