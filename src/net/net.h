// What all socket code shares: names for Boost.Asio, endpoints, and spawning a coroutine.
#pragma once

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <chrono>
#include <exception>
#include <memory>
#include <string>
#include <utility>

#include "config/config.h"
#include "metrics/logger.h"

namespace cranemux::net {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using asio::ip::udp;
using Clock = std::chrono::steady_clock;

// Errors come as values: a broken connection is an ordinary event.
constexpr auto kResult = asio::as_tuple(asio::use_awaitable);

template <typename Protocol>
typename Protocol::endpoint endpoint(const config::Address& address) {
  return {asio::ip::make_address(address.host == "localhost" ? "127.0.0.1" : address.host), address.port};
}

// A coroutine of its own. One that throws is logged and ends; the program goes on. `lasts` stays until its
// end.
template <typename Executor>
void spawn(Executor&& executor, metrics::Logger& logger, const char* what, awaitable<void> work,
           std::shared_ptr<void> lasts = {}) {
  asio::co_spawn(std::forward<Executor>(executor), std::move(work),
                 [&logger, what, lasts = std::move(lasts)](std::exception_ptr error) {
                   if (!error) return;
                   try {
                     std::rethrow_exception(error);
                   } catch (const std::exception& e) {
                     logger.log(metrics::Level::error, what, ": ", e.what());
                   }
                 });
}

// Counts the coroutines of an owner, which may go once all have ended.
class Scope {
 public:
  template <typename Executor>
  void spawn(Executor&& executor, metrics::Logger& logger, const char* what, awaitable<void> work) const {
    net::spawn(std::forward<Executor>(executor), logger, what, std::move(work), here_);
  }
  bool empty() const { return here_.use_count() == 1; }
  std::shared_ptr<void> here() const { return here_; }  // counts as one that is at work

 private:
  std::shared_ptr<char> here_ = std::make_shared<char>();
};

// Reads what has come to the end of `buffer`. `eof` at the orderly end of the connection.
inline awaitable<boost::system::error_code> read_some(tcp::socket& socket, std::string& buffer,
                                                      std::size_t piece = 4096) {
  const auto had = buffer.size();
  buffer.resize(had + piece);
  auto [error, count] = co_await socket.async_read_some(asio::buffer(buffer.data() + had, piece), kResult);
  buffer.resize(had + (error ? 0 : count));
  co_return error;
}

// What has come and is not read yet, at most `most` bytes of it. Empty: nothing, or the connection has ended.
inline std::string peek(tcp::socket& socket, std::size_t most) {
  std::string bytes(most, '\0');
  const auto got = ::recv(socket.native_handle(), bytes.data(), most, MSG_PEEK | MSG_DONTWAIT);
  bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
  return bytes;
}

// As `read_some`, where all ends are alike: how much has come, 0 at any end.
inline awaitable<std::size_t> read_more(tcp::socket& socket, std::string& buffer, std::size_t piece = 4096) {
  const auto had = buffer.size();
  co_await read_some(socket, buffer, piece);
  co_return buffer.size() - had;
}

}  // namespace cranemux::net
