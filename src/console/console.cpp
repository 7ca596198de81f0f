#include "console/console.h"

#include <sys/stat.h>
#include <unistd.h>

#include <iostream>

namespace cranemux::console {
namespace {

constexpr std::size_t kMostLine = 1024, kMostTalks = 8;
constexpr std::string_view kEnd = ".\n";

}  // namespace

Console::Console(net::asio::io_context& io, const std::string& path, Answer answer, metrics::Logger& logger)
    : io_(io), path_(path), acceptor_(io), pause_(io), answer_(std::move(answer)), logger_(logger) {
  ::unlink(path.c_str());  // left by a life before
  acceptor_.open();
  acceptor_.bind(Protocol::endpoint(path));
  ::chmod(path.c_str(), S_IRUSR | S_IWUSR);
  acceptor_.listen();
}

Console::~Console() { ::unlink(path_.c_str()); }

void Console::start() { net::spawn(io_, logger_, "console", accept()); }

net::awaitable<void> Console::accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
    if (error == net::asio::error::operation_aborted) co_return;
    if (!error && talks_ < kMostTalks) {
      net::spawn(io_, logger_, "console", talk(std::move(socket)));
      continue;
    }
    pause_.expires_after(std::chrono::milliseconds(100));
    co_await pause_.async_wait(net::kResult);
  }
}

net::awaitable<void> Console::talk(Protocol::socket socket) {
  ++talks_;
  std::string in;
  for (;;) {
    char bytes[512];
    const auto [error, count] = co_await socket.async_read_some(net::asio::buffer(bytes), net::kResult);
    if (error) break;
    in.append(bytes, count);
    std::string out;
    for (auto end = in.find('\n'); end != std::string::npos; end = in.find('\n')) {
      out += answer_(in.substr(0, end));
      out += kEnd;
      in.erase(0, end + 1);
    }
    if (in.size() > kMostLine) break;
    const auto [failed, sent] = co_await net::asio::async_write(socket, net::asio::buffer(out), net::kResult);
    if (failed) break;
  }
  --talks_;
}

int run_client(const std::string& path, const std::string& command) {
  net::asio::io_context io;
  net::asio::local::stream_protocol::socket socket(io);
  socket.connect(net::asio::local::stream_protocol::endpoint(path));
  const bool terminal = command.empty() && ::isatty(STDIN_FILENO);
  bool understood = true;
  std::string line = command, in;
  for (;;) {
    if (command.empty()) {
      if (terminal) std::cout << "cranemux> " << std::flush;
      if (!std::getline(std::cin, line) || line == "quit") break;
    }
    net::asio::write(socket, net::asio::buffer(line + '\n'));
    for (;;) {
      const auto count = net::asio::read_until(socket, net::asio::dynamic_buffer(in), '\n');
      const auto answer = in.substr(0, count);
      in.erase(0, count);
      if (answer == kEnd) break;
      understood = understood && !answer.starts_with("unknown");
      std::cout << answer;
    }
    if (!command.empty()) break;
  }
  std::cout << std::flush;
  return understood ? 0 : 1;
}

}  // namespace cranemux::console
