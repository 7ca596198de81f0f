// Work beside the serving thread: reading a large file must not hold RPCs up.
#pragma once

#include <functional>
#include <optional>
#include <thread>

#include "net/net.h"

namespace cranemux {

class Aside {
 public:
  using Then = std::function<void()>;  // called by the thread that turns `io`
  using Work = std::function<Then()>;  // runs beside it, and must touch nothing that it serves with
  explicit Aside(net::asio::io_context& io) : io_(io) {}
  Aside(const Aside&) = delete;
  Aside& operator=(const Aside&) = delete;

  // One at a time. While one is at work the newest of those asked for waits, the others are dropped: each
  // reads the file as it is when it starts.
  void run(Work work) {
    if (thread_) {
      next_ = std::move(work);
      return;
    }
    thread_.emplace([this, work = std::move(work), stays = net::asio::make_work_guard(io_)] {
      net::asio::post(io_, [this, then = work()] { done(then); });
    });
  }

 private:
  void done(const Then& then) {
    thread_.reset();  // joins: it has only to return
    then();
    if (next_) run(*std::exchange(next_, std::nullopt));
  }

  net::asio::io_context& io_;
  std::optional<Work> next_;
  std::optional<std::jthread> thread_;  // joined at the end
};

}  // namespace cranemux
