#include "testing/slow_worker.h"

#include <cstdio>

#include "http/http.h"

namespace cranemux::testing {
namespace {

constexpr int kReceiveBuffer = 64 * 1024;  // bytes: little is taken that is not read

// Whether the other side has ended the connection.
bool ended(net::tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

std::string chunk(const std::string& data) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

SlowWorker::SlowWorker(Stage& stage) : stage_(stage), acceptor_(stage.io(), net::tcp::v4()) {
  acceptor_.set_option(net::asio::socket_base::receive_buffer_size(kReceiveBuffer));
  acceptor_.bind({net::asio::ip::make_address("127.0.0.1"), 0});
  acceptor_.listen();
  net::spawn(stage_.io(), logger_, "slow worker", accept());
}

net::awaitable<void> SlowWorker::accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
    if (error) co_return;
    net::spawn(stage_.io(), logger_, "slow worker",
               serve(std::make_shared<net::tcp::socket>(std::move(socket))));
  }
}

net::awaitable<void> SlowWorker::pause(milliseconds time) {
  net::asio::steady_timer timer(stage_.io(), time);
  co_await timer.async_wait(net::kResult);
}

net::awaitable<void> SlowWorker::serve(std::shared_ptr<net::tcp::socket> socket) {
  for (;;) {
    const bool came = co_await read_request(*socket);
    if (!came) co_return;
    const bool taken = co_await write_answer(*socket);
    if (!taken || ends) co_return;
  }
}

// False: it has not come whole.
net::awaitable<bool> SlowWorker::read_request(net::tcp::socket& socket) {
  std::string in, body;
  http::Message head;
  while (http::parse_head(in, http::Kind::request, head).state != http::State::whole) {
    if (co_await net::read_more(socket, in) == 0) co_return false;
  }
  ++heads;
  last_head = in.substr(0, head.size);
  int ignored = 0;
  http::BodyReader reader(*http::framing(head, http::Kind::request, ignored));
  in.erase(0, head.size);
  while (reader.take(in, body) != http::BodyReader::State::done) {
    if (every.count() > 0) co_await pause(every);
    if (co_await net::read_more(socket, in, reads) == 0) co_return false;
  }
  co_return true;
}

// False: the other side has ended the connection.
net::awaitable<bool> SlowWorker::write_answer(net::tcp::socket& socket) {
  const auto pieces = answer;
  for (const auto& piece : pieces) {
    co_await pause(piece.after);
    const auto [error, count] =
        co_await net::asio::async_write(socket, net::asio::buffer(piece.bytes), net::kResult);
    if (!error && !ended(socket)) continue;
    ++cut;
    co_return false;
  }
  co_return true;
}

}  // namespace cranemux::testing
