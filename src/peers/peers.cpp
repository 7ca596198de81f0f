#include "peers/peers.h"

#include <algorithm>
#include <array>

namespace cranemux::peers {
namespace {

constexpr std::chrono::milliseconds kBindRetryInterval{50};
constexpr std::size_t kReceiveBufferBytes = 2048;

}  // namespace

LedgerEndpoint::LedgerEndpoint(PeerLink& link, Tag tag, core::Core& core)
    : tag(tag), core(core), link_(link) {
  link_.endpoints_.push_back(this);
}

LedgerEndpoint::~LedgerEndpoint() { std::erase(link_.endpoints_, this); }

void LedgerEndpoint::tell(int to, const std::string& bytes) { link_.send(*this, to, bytes); }

PeerLink::PeerLink(net::asio::io_context& io, const std::optional<config::Address>& listen,
                   const std::vector<config::Address>& peers, metrics::Logger& logger,
                   metrics::Counters& counters)
    : socket_(io), timer_(io), logger_(logger), counters_(counters) {
  for (const auto& peer : peers) peers_.push_back(net::endpoint<net::udp>(peer));
  if (listen) listen_ = net::endpoint<net::udp>(*listen);
}

void PeerLink::open(std::optional<int> inherited) {
  if (inherited) {
    socket_.assign(net::udp::v4(), *inherited);
    socket_.non_blocking(true);
    net::spawn(socket_.get_executor(), logger_, "peer messages", receive());
  } else if (listen_) {
    net::spawn(socket_.get_executor(), logger_, "peer messages", bind());
  }
}

// The address may still be bound by an earlier process of this gatekeeper that is about to exit.
net::awaitable<void> PeerLink::bind() {
  for (bool logged = false;;) {
    boost::system::error_code error;
    socket_.open(listen_->protocol(), error);
    if (!error) socket_.bind(*listen_, error);
    if (!error) break;
    socket_.close(error);
    if (!std::exchange(logged, true))
      logger_.log(metrics::Level::warning, "peer_listen: the address is in use; retrying until it is free");
    timer_.expires_after(kBindRetryInterval);
    const auto [stopped] = co_await timer_.async_wait(net::kResult);
    if (stopped) co_return;
  }
  socket_.non_blocking(true);
  net::spawn(socket_.get_executor(), logger_, "peer messages", receive());
}

void PeerLink::set_muted(bool muted) {
  muted_ = muted;
  boost::system::error_code ignored;
  if (muted) socket_.cancel(ignored);
  if (!muted && !receiving_ && socket_.is_open()) {
    net::spawn(socket_.get_executor(), logger_, "peer messages", receive());
  }
}

void PeerLink::tag_messages(double datagrams_per_s) { batcher_.emplace(datagrams_per_s); }

std::unique_ptr<LedgerEndpoint> PeerLink::join(const std::string& ledger, core::Core& core) {
  return std::make_unique<LedgerEndpoint>(*this, tag_of(ledger), core);
}

void PeerLink::send(const LedgerEndpoint& endpoint, int to, const std::string& bytes) {
  const auto max_bytes = batcher_ ? kMaxTaggedMessageBytes : kMaxDatagramBytes;
  if (!socket_.is_open() || muted_ || to < 0 || static_cast<std::size_t>(to) >= peers_.size() ||
      bytes.size() > max_bytes) {
    ++counters_.peer_dropped;
    return;
  }
  if (!batcher_) return send_datagram(to, bytes);
  if (!batcher_->enqueue(endpoint.tag, to, bytes)) ++counters_.peer_crowded;
  flush();
}

void PeerLink::send_datagram(int to, const std::string& bytes) {
  // A datagram that cannot be sent at once is lost, as the network may lose any.
  boost::system::error_code error;
  socket_.send_to(net::asio::buffer(bytes), peers_[static_cast<std::size_t>(to)], 0, error);
  ++(error ? counters_.peer_dropped : counters_.peer_sent);
}

void PeerLink::flush() {
  const auto now = net::Clock::now();
  while (const auto datagram = batcher_->next(now)) send_datagram(datagram->to, datagram->bytes);
  const auto due = batcher_->next_due_at();
  if (!due || timer_.expiry() == *due) return;
  timer_.expires_at(*due);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) flush();
  });
}

void PeerLink::stop() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

// Returns the endpoint that joined last: a pool that was replaced may still be finishing its RPCs beside its
// successor.
LedgerEndpoint* PeerLink::endpoint_of(Tag tag) {
  const auto at = std::find_if(endpoints_.rbegin(), endpoints_.rend(),
                               [&](const auto* endpoint) { return endpoint->tag == tag; });
  return at == endpoints_.rend() ? nullptr : *at;
}

void PeerLink::handle_datagram(int from, std::string_view bytes) {
  if (!batcher_) {
    ++counters_.peer_received;
    if (!endpoints_.empty()) endpoints_.front()->core.peer_said(from, std::string(bytes));
    return;
  }
  const bool well_formed = unpack(bytes, [&](Tag tag, std::string_view message) {
    if (auto* endpoint = endpoint_of(tag)) {
      endpoint->core.peer_said(from, std::string(message));
    } else {
      ++counters_.peer_unknown_pool;  // the peer has a pool that is not configured here
    }
  });
  ++(well_formed ? counters_.peer_received : counters_.peer_dropped);
}

net::awaitable<void> PeerLink::receive() {
  if (std::exchange(receiving_, true)) co_return;
  auto& turns = net::TurnScheduler::of(socket_.get_executor());
  while (socket_.is_open() && !muted_) {
    const auto [error] = co_await socket_.async_wait(net::udp::socket::wait_read, net::kResult);
    if (error == net::asio::error::operation_aborted) break;
    co_await turns.turn(work_);
    receive_some(turns);
  }
  receiving_ = false;
  if (!muted_ && socket_.is_open()) set_muted(false);  // unmuted before this coroutine saw that it was muted
}

// What has come, until the turn is over.
void PeerLink::receive_some(const net::TurnScheduler& turns) {
  std::array<char, kReceiveBufferBytes> bytes{};
  while (socket_.is_open() && !muted_ && !turns.over()) {
    net::udp::endpoint from;
    boost::system::error_code error;
    const auto count = socket_.receive_from(net::asio::buffer(bytes), from, 0, error);
    if (error == net::asio::error::would_block) return;
    if (error) continue;  // for example, an ICMP error for an earlier datagram
    const auto peer = std::find(peers_.begin(), peers_.end(), from);
    if (peer == peers_.end() || count > kMaxDatagramBytes) {
      ++counters_.peer_dropped;
      continue;
    }
    handle_datagram(static_cast<int>(peer - peers_.begin()), {bytes.data(), count});
  }
}

}  // namespace cranemux::peers
