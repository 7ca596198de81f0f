// Where operators call: a socket of its own, with a bound on callers, on their bytes and on their time.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "management/commands.h"
#include "metrics/counters.h"
#include "net/net.h"

namespace cranemux::management {

class Management {
 public:
  // Listens at once: a process that takes over from another may ask for the place again later.
  Management(net::asio::io_context& io, const config::Address& listen, Operations& operations,
             metrics::Logger& logger, metrics::Counters& counters);
  ~Management();
  void start();
  void stop();  // listens no more; who has called is answered

  static constexpr std::size_t kMostCallers = 8;

 private:
  struct Caller;
  net::awaitable<void> accept();
  net::awaitable<void> talk(std::shared_ptr<Caller> caller);
  void make_room();

  net::asio::io_context& io_;
  net::tcp::acceptor acceptor_;
  net::asio::steady_timer pause_;
  Operations& operations_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::list<std::weak_ptr<Caller>> callers_;  // who has waited longest comes first
};

}  // namespace cranemux::management
