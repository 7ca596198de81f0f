#include "management/management.h"

#include <algorithm>

namespace cranemux::management {
namespace {

constexpr std::chrono::seconds kPatience{10};  // for a caller's line, and for it to take the answer
constexpr std::chrono::milliseconds kPause{20};

}  // namespace

struct Management::Caller {
  explicit Caller(net::tcp::socket from) : socket(std::move(from)), limit(socket.get_executor()) {}
  void close() {
    boost::system::error_code ignored;
    socket.close(ignored);
  }
  net::tcp::socket socket;
  net::asio::steady_timer limit;
};

Management::Management(net::asio::io_context& io, const config::Address& listen, Operations& operations,
                       metrics::Logger& logger, metrics::Counters& counters)
    : io_(io), acceptor_(io), pause_(io), operations_(operations), logger_(logger), counters_(counters) {
  const auto at = net::endpoint<net::tcp>(listen);
  acceptor_.open(at.protocol());
  acceptor_.set_option(net::tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(64);
}

Management::~Management() = default;

void Management::start() { net::spawn(io_, logger_, "management", accept()); }

void Management::stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

// Whoever has been here longest and has not finished its line makes room.
void Management::make_room() {
  std::erase_if(callers_, [](const auto& caller) { return caller.expired(); });
  while (callers_.size() >= kMostCallers) {
    if (const auto oldest = callers_.front().lock()) oldest->close();
    callers_.pop_front();
    ++counters_.management_evicted;
  }
}

net::awaitable<void> Management::accept() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
    if (error == net::asio::error::operation_aborted) co_return;
    if (error) {  // as when descriptors run out
      ++counters_.accept_failures;
      pause_.expires_after(kPause);
      co_await pause_.async_wait(net::kResult);
      continue;
    }
    make_room();
    auto caller = std::make_shared<Caller>(std::move(socket));
    callers_.push_back(caller);
    net::spawn(io_, logger_, "management", talk(std::move(caller)));
  }
}

net::awaitable<void> Management::talk(std::shared_ptr<Caller> caller) {
  auto& socket = caller->socket;
  caller->limit.expires_after(kPatience);
  caller->limit.async_wait([weak = std::weak_ptr(caller)](const boost::system::error_code& error) {
    if (const auto held = weak.lock(); held && !error) held->close();
  });
  std::string in;
  std::string_view line;
  auto reading = Reading::more;
  while (reading == Reading::more) {
    const auto error = co_await net::read_some(socket, in, kMostLine);
    if (error && error != net::asio::error::eof) co_return;
    if (error && in.empty()) co_return;  // only looked whether somebody listens
    reading = read_line(in, bool(error), line);
  }
  ++counters_.management_calls;
  const auto text =
      reading == Reading::too_long ? refusal("the line is too long") : answer(line, operations_);
  co_await net::asio::async_write(socket, net::asio::buffer(text), net::kResult);
  boost::system::error_code ignored;
  socket.shutdown(net::tcp::socket::shutdown_send, ignored);
  // What comes after the line is dropped: closed with it unread, the answer could be lost on its way.
  for (std::size_t more = 0; more < 16 * kMostLine;) {
    in.clear();
    const auto count = co_await net::read_more(socket, in, kMostLine);
    if (count == 0) break;
    more += count;
  }
  caller->limit.cancel();
}

}  // namespace cranemux::management
