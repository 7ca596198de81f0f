#include "testing/discovery.h"

#include <unistd.h>

#include <cstdio>

namespace cranemux::testing {

std::string list_line(int index, bool whole, const std::vector<std::string>& names,
                      const std::string& status) {
  std::string out = "{\"index\":" + std::to_string(index) + ",\"snapshot\":" + (whole ? "true" : "false") +
                    ",\"endpoints\":[";
  for (std::size_t i = 0; i < names.size(); ++i) {
    out += (i > 0 ? "," : "") + std::string("{\"name\":\"") + names[i] +
           "\",\"address\":\"127.0.0.1:" + std::to_string(1000 + i % 60'000) +
           "\",\"zone\":\"z\",\"status\":\"" + status + "\"}";
  }
  return out + "]}\n";
}

std::string Discovery::chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return text.empty() ? std::string() : size + text + "\r\n";
}

Discovery::Discovery(Stage& stage)
    : stage_(stage),
      acceptor_(stage.io(), {net::asio::ip::make_address("127.0.0.1"), 0}),
      logger_(STDERR_FILENO, metrics::Level::error) {
  net::spawn(stage_.io(), logger_, "stand-in discovery", accept());
}

Discovery::~Discovery() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& socket : open_) socket->close(ignored);
  stage_.play(milliseconds(5));  // its coroutines end
}

net::awaitable<void> Discovery::accept() {
  const std::weak_ptr<char> alive = alive_;
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
    if (error || alive.expired()) co_return;
    open_.push_back(std::make_shared<net::tcp::socket>(std::move(socket)));
    net::spawn(stage_.io(), logger_, "stand-in discovery", serve(open_.back()));
  }
}

net::awaitable<void> Discovery::serve(std::shared_ptr<net::tcp::socket> socket) {
  const std::weak_ptr<char> alive = alive_;
  std::string in;
  while (in.find("\r\n\r\n") == std::string::npos) {
    if (co_await net::read_more(*socket, in, 4096) == 0 || alive.expired()) co_return;
  }
  calls.push_back(in.substr(0, in.find("\r\n")));
  const Act act = script_.empty() ? Act{} : script_.front();
  if (script_.size() > 1) script_.pop_front();
  co_await net::asio::async_write(*socket, net::asio::buffer(act.bytes), net::kResult);
  if (alive.expired()) co_return;
  boost::system::error_code ignored;
  if (act.then == Then::end) socket->close(ignored);
  net::asio::steady_timer beat(stage_.io());
  while (act.then == Then::stay && socket->is_open()) {
    beat.expires_after(milliseconds(500));
    co_await beat.async_wait(net::kResult);
    if (alive.expired()) co_return;
    const auto [failed, written] =
        co_await net::asio::async_write(*socket, net::asio::buffer("1\r\n\n\r\n", 6), net::kResult);
    if (failed) co_return;
  }
}

}  // namespace cranemux::testing
