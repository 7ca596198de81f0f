#include "peers/peers.h"

#include <algorithm>
#include <array>

namespace cranemux::peers {
namespace {

constexpr std::chrono::milliseconds kBindAgain{50};

}  // namespace

LedgerEndpoint::LedgerEndpoint(PeerLink& link, Tag tag, core::Core& core)
    : tag(tag), core(core), link_(link) {
  link_.lines_.push_back(this);
}

LedgerEndpoint::~LedgerEndpoint() { std::erase(link_.lines_, this); }

void LedgerEndpoint::tell(int to, const std::string& bytes) { link_.tell(*this, to, bytes); }

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

// The place may still be that of a process that is about to end.
net::awaitable<void> PeerLink::bind() {
  for (bool told = false;;) {
    boost::system::error_code error;
    socket_.open(listen_->protocol(), error);
    if (!error) socket_.bind(*listen_, error);
    if (!error) break;
    socket_.close(error);
    if (!std::exchange(told, true))
      logger_.log(metrics::Level::warning, "peer_listen is taken: waits for it");
    timer_.expires_after(kBindAgain);
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
  if (!muted && !hears_ && socket_.is_open()) {
    net::spawn(socket_.get_executor(), logger_, "peer messages", receive());
  }
}

void PeerLink::tag_messages(double datagrams_per_s) { bag_.emplace(datagrams_per_s); }

std::unique_ptr<LedgerEndpoint> PeerLink::join(const std::string& ledger, core::Core& core) {
  return std::make_unique<LedgerEndpoint>(*this, tag_of(ledger), core);
}

void PeerLink::tell(const LedgerEndpoint& line, int to, const std::string& bytes) {
  const auto most = bag_ ? kMaxTaggedMessageBytes : kMaxDatagramBytes;
  if (!socket_.is_open() || muted_ || to < 0 || static_cast<std::size_t>(to) >= peers_.size() ||
      bytes.size() > most) {
    ++counters_.peer_dropped;
    return;
  }
  if (!bag_) return send(to, bytes);
  if (!bag_->enqueue(line.tag, to, bytes)) ++counters_.peer_crowded;
  flush();
}

void PeerLink::send(int to, const std::string& bytes) {
  boost::system::error_code error;  // a datagram that cannot leave at once is lost, as any may be
  socket_.send_to(net::asio::buffer(bytes), peers_[static_cast<std::size_t>(to)], 0, error);
  ++(error ? counters_.peer_dropped : counters_.peer_sent);
}

void PeerLink::flush() {
  const auto now = net::Clock::now();
  while (const auto datagram = bag_->next(now)) send(datagram->to, datagram->bytes);
  const auto due = bag_->next_due_at();
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

// The one that came last: a pool that was replaced may be at work for a while beside its successor.
LedgerEndpoint* PeerLink::line_of(Tag tag) {
  const auto at =
      std::find_if(lines_.rbegin(), lines_.rend(), [&](const auto* line) { return line->tag == tag; });
  return at == lines_.rend() ? nullptr : *at;
}

void PeerLink::received(int from, std::string_view bytes) {
  if (!bag_) {
    ++counters_.peer_received;
    if (!lines_.empty()) lines_.front()->core.peer_said(from, std::string(bytes));
    return;
  }
  const bool whole = unpack(bytes, [&](Tag tag, std::string_view message) {
    if (auto* line = line_of(tag)) {
      line->core.peer_said(from, std::string(message));
    } else {
      ++counters_.peer_unknown_pool;  // a peer may have pools that are not here
    }
  });
  ++(whole ? counters_.peer_received : counters_.peer_dropped);
}

net::awaitable<void> PeerLink::receive() {
  std::array<char, 2048> bytes{};
  if (std::exchange(hears_, true)) co_return;
  while (socket_.is_open() && !muted_) {
    net::udp::endpoint from;
    const auto [error, count] =
        co_await socket_.async_receive_from(net::asio::buffer(bytes), from, net::kResult);
    if (error == net::asio::error::operation_aborted) break;
    if (error) continue;  // such as word that an earlier datagram found nobody
    const auto peer = std::find(peers_.begin(), peers_.end(), from);
    if (peer == peers_.end() || count > kMaxDatagramBytes) {
      ++counters_.peer_dropped;
      continue;
    }
    received(static_cast<int>(peer - peers_.begin()), {bytes.data(), count});
  }
  hears_ = false;
  if (!muted_ && socket_.is_open()) set_muted(false);  // unmuted before it had noticed
}

}  // namespace cranemux::peers
