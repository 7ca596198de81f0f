#include "testing/paced_answer.h"

#include <sys/socket.h>

#include <cstdio>

namespace cranemux::testing {
namespace {

// Whether the other side has ended the connection.
bool ended(net::tcp::socket& socket) {
  char byte = 0;
  const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

std::string chunk(const std::string& data) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

net::awaitable<bool> write_paced(net::tcp::socket& socket, PacedAnswer answer) {
  net::asio::steady_timer pause(socket.get_executor());
  for (const auto& piece : answer.pieces) {
    pause.expires_after(piece.after);
    co_await pause.async_wait(net::kResult);
    if (!socket.is_open() || ended(socket)) co_return false;
    const auto [error, count] =
        co_await net::asio::async_write(socket, net::asio::buffer(piece.bytes), net::kResult);
    if (error) co_return false;
  }
  co_return true;
}

}  // namespace cranemux::testing
