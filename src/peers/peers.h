// The UDP link between the gatekeepers of a tier: one socket for all ledgers of this process. A single ledger
// sends the decision module's messages as they are; where there are several, each message carries the tag of
// its ledger, and the ledgers share one budget of datagrams (datagram_batcher.h).
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "config/config.h"
#include "core/core.h"
#include "net/net.h"
#include "net/turn_scheduler.h"
#include "peers/datagram_batcher.h"

namespace cranemux::peers {

class PeerLink;

// One ledger's end of the link, registered from its construction to its destruction.
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
  // `listen`: the local address; none: nothing is sent or received, unless a socket is inherited. `peers`:
  // the members of the tier, by index; datagrams from other addresses are dropped.
  PeerLink(net::asio::io_context& io, const std::optional<config::Address>& listen,
           const std::vector<config::Address>& peers, metrics::Logger& logger, metrics::Counters& counters);
  // From now on messages carry tags, and at most `datagrams_per_s` are sent per second.
  void tag_messages(double datagrams_per_s);
  // Returns the end of the link for a ledger, whose messages go to `core`. Must not outlive this link.
  std::unique_ptr<LedgerEndpoint> join(const std::string& ledger, core::Core& core);
  void stop();
  // Starts to receive, on the socket `inherited` from another process or else on a new one. While the address
  // is in use, binding is retried.
  void open(std::optional<int> inherited);
  void set_muted(bool muted);  // while muted, another process sends and receives in its place
  // Returns the descriptor of the socket, for a process that takes over; -1 if it is not open.
  int socket() { return socket_.is_open() ? socket_.native_handle() : -1; }

 private:
  friend class LedgerEndpoint;
  net::awaitable<void> receive();
  void receive_some(const net::TurnScheduler& turns);
  net::awaitable<void> bind();
  void handle_datagram(int from, std::string_view bytes);
  void send(const LedgerEndpoint& endpoint, int to, const std::string& bytes);
  void send_datagram(int to, const std::string& bytes);
  void flush();
  LedgerEndpoint* endpoint_of(Tag tag);

  net::udp::socket socket_;
  net::WorkSource work_{4};  // quotas wait for these messages
  net::asio::steady_timer timer_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::vector<net::udp::endpoint> peers_;
  std::vector<LedgerEndpoint*> endpoints_;  // of several with one tag, the last one receives
  std::optional<DatagramBatcher> batcher_;
  std::optional<net::udp::endpoint> listen_;
  bool muted_ = false, receiving_ = false;
};

}  // namespace cranemux::peers
