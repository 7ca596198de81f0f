#include "testing/relay.h"

#include <unistd.h>

#include <algorithm>
#include <array>

namespace cranemux::testing {
namespace {

net::udp::endpoint loopback(int port) {
  return {net::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)};
}

}  // namespace

Relay::Way::Way(net::asio::io_context& io, int from_, int to_)
    : socket(io, loopback(0)), from(from_), to(to_) {}

Relay::Relay(Stage& stage, std::vector<int> gatekeepers, std::uint64_t seed)
    : stage_(stage),
      gatekeepers_(std::move(gatekeepers)),
      random_(seed),
      logger_(STDERR_FILENO, metrics::Level::error) {
  const auto size = static_cast<int>(gatekeepers_.size());
  for (int from = 0; from < size; ++from) {
    for (int to = 0; to < size; ++to) {
      if (from == to) continue;
      ways_.push_back(std::make_shared<Way>(stage_.io(), from, to));
      net::spawn(stage_.io(), logger_, "relay", listen(ways_.back()));
    }
  }
}

Relay::~Relay() {
  for (const auto& way : ways_) {
    boost::system::error_code ignored;
    way->socket.close(ignored);
  }
}

std::shared_ptr<Relay::Way> Relay::way(int from, int to) const {
  return *std::find_if(ways_.begin(), ways_.end(),
                       [&](const auto& w) { return w->from == from && w->to == to; });
}

std::vector<std::string> Relay::peers_of(int gatekeeper) const {
  std::vector<std::string> out;
  for (int peer = 0; peer < static_cast<int>(gatekeepers_.size()); ++peer) {
    const int port = peer == gatekeeper
                         ? gatekeepers_[static_cast<std::size_t>(peer)]
                         : static_cast<int>(way(gatekeeper, peer)->socket.local_endpoint().port());
    out.push_back("127.0.0.1:" + std::to_string(port));
  }
  return out;
}

void Relay::pretend(int from, int to, const std::string& bytes) { carry(from, to, bytes); }

net::awaitable<void> Relay::listen(std::shared_ptr<Way> way) {
  const std::weak_ptr<char> alive = alive_;
  std::array<char, 2048> bytes{};
  while (way->socket.is_open()) {
    net::udp::endpoint from;
    const auto [error, count] =
        co_await way->socket.async_receive_from(net::asio::buffer(bytes), from, net::kResult);
    if (alive.expired() || error == net::asio::error::operation_aborted) co_return;
    if (!error) carry(way->from, way->to, std::string(bytes.data(), count));
  }
}

void Relay::carry(int from, int to, std::string bytes) {
  ++counts_.sent;
  counts_.longest = std::max(counts_.longest, bytes.size());
  if (alter) alter(from, to, bytes);
  if (cut && cut(from, to)) {
    ++counts_.cut;
    return;
  }
  if (draw() < faults.loss) {
    ++counts_.lost;
    return;
  }
  if (!bytes.empty() && draw() < faults.damage) {
    ++counts_.damaged;
    bytes[random_() % bytes.size()] ^= static_cast<char>(1 + random_() % 255);
  }
  const auto times = draw() < faults.repeat ? 2 : 1;
  counts_.repeated += static_cast<std::size_t>(times - 1);
  const auto spread = static_cast<std::uint64_t>((faults.most_delay - faults.least_delay).count()) + 1;
  for (int i = 0; i < times; ++i) {
    const auto late = faults.least_delay + milliseconds(random_() % spread);
    net::spawn(stage_.io(), logger_, "relay", deliver(way(to, from), bytes, late));
  }
}

net::awaitable<void> Relay::deliver(std::shared_ptr<Way> back, std::string bytes, milliseconds late) {
  const std::weak_ptr<char> alive = alive_;
  net::asio::steady_timer timer(co_await net::asio::this_coro::executor, late);
  co_await timer.async_wait(net::kResult);
  if (alive.expired()) co_return;
  if (seen) seen(back->to, back->from, bytes);
  // `back` is the port that its sender knows as the peer.
  boost::system::error_code ignored;
  back->socket.send_to(net::asio::buffer(bytes), loopback(gatekeepers_[static_cast<std::size_t>(back->from)]),
                       0, ignored);
}

}  // namespace cranemux::testing
