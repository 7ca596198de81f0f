// The operators' console: lines of commands over a Unix socket, each answered by lines that end with a dot.
#pragma once

#include <functional>
#include <string>

#include "net/net.h"

namespace cranemux::console {

class Console {
 public:
  using Answer = std::function<std::string(const std::string& command)>;
  Console(net::asio::io_context& io, const std::string& path, Answer answer, metrics::Logger& logger);
  ~Console();
  void start();

 private:
  using Protocol = net::asio::local::stream_protocol;
  net::awaitable<void> accept();
  net::awaitable<void> talk(Protocol::socket socket);

  net::asio::io_context& io_;
  const std::string path_;
  Protocol::acceptor acceptor_;
  net::asio::steady_timer pause_;
  Answer answer_;
  metrics::Logger& logger_;
  std::size_t talks_ = 0;
};

// The client: sends `command`, or each line of standard input where it is empty. 0 if all were understood.
int run_client(const std::string& path, const std::string& command);

}  // namespace cranemux::console
