#include "peers/peers.h"

#include <algorithm>

namespace cranemux::peers {

constexpr std::size_t kMostBytes = 256;  // a longer datagram may not be sent

PeerLink::PeerLink(net::asio::io_context& io, core::Core& core, const config::Config& config,
                   metrics::Logger& logger, metrics::Counters& counters)
    : socket_(io), core_(core), logger_(logger), counters_(counters) {
  for (const auto& peer : config.peers) peers_.push_back(net::endpoint<net::udp>(peer));
  if (!config.peer_listen) return;
  const auto at = net::endpoint<net::udp>(*config.peer_listen);
  socket_.open(at.protocol());
  socket_.bind(at);
  socket_.non_blocking(true);
  net::spawn(socket_.get_executor(), logger_, "peer messages", receive());
}

void PeerLink::tell(int to, const std::string& bytes) {
  if (!socket_.is_open() || to < 0 || static_cast<std::size_t>(to) >= peers_.size() ||
      bytes.size() > kMostBytes) {
    ++counters_.peer_dropped;
    return;
  }
  boost::system::error_code error;  // a datagram that cannot leave at once is lost, as any may be
  socket_.send_to(net::asio::buffer(bytes), peers_[static_cast<std::size_t>(to)], 0, error);
  ++(error ? counters_.peer_dropped : counters_.peer_sent);
}

void PeerLink::stop() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

net::awaitable<void> PeerLink::receive() {
  std::array<char, 2048> bytes{};
  while (socket_.is_open()) {
    net::udp::endpoint from;
    const auto [error, count] =
        co_await socket_.async_receive_from(net::asio::buffer(bytes), from, net::kResult);
    if (error == net::asio::error::operation_aborted) co_return;
    if (error) continue;  // such as word that an earlier datagram found nobody
    const auto peer = std::find(peers_.begin(), peers_.end(), from);
    if (peer == peers_.end() || count > kMostBytes) {
      ++counters_.peer_dropped;
      continue;
    }
    ++counters_.peer_received;
    core_.peer_said(static_cast<int>(peer - peers_.begin()), std::string(bytes.data(), count));
  }
}

}  // namespace cranemux::peers
