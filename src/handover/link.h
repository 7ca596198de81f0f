// The Unix socket between two lives of a gatekeeper on one machine. The old one gives, the new one takes.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "handover/state.h"
#include "metrics/counters.h"
#include "net/net.h"

namespace cranemux::handover {

using Local = net::asio::local::stream_protocol;

// What the old process does when another comes for its place.
struct Place {
  std::function<State()> hand_over;         // from now on the other serves
  std::function<void()> take_back;          // the other has ended
  std::function<int()> peer_socket;         // -1: none
  std::function<void(const Taken&)> taken;  // by the other
};

// The old process's end: waits for whoever comes next.
class Giver {
 public:
  Giver(net::asio::io_context& io, std::string path, Place place, metrics::Logger& logger,
        metrics::Counters& counters);
  ~Giver();
  bool listen();  // also again, when a successor had the path and has ended
  void tell(const Spent& spent) { tell(frame(Kind::spent, pack(spent))); }
  void tell(const Taken& taken) { tell(frame(Kind::taken, pack(taken))); }

 private:
  struct Successor;
  net::awaitable<void> accept();
  net::awaitable<void> serve(std::shared_ptr<Successor> next);
  net::awaitable<void> write(std::shared_ptr<Successor> next);
  void tell(const std::string& frame);
  void hear(std::string& in);  // of a successor that serves
  void unlink();

  net::asio::io_context& io_;
  const std::string path_;
  const Place place_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  Local::acceptor acceptor_;
  unsigned long inode_ = 0;  // of the path while it is ours
  std::shared_ptr<Successor> successor_;
};

// What a new process finds.
struct Found {
  std::optional<State> state;  // none: it could not be read
  int peer_socket = -1;
  int connection = -1;  // to the old process
  std::string more;     // that has come on it since
};
// None: nobody answered at that path in time.
std::optional<Found> ask(const std::string& path, std::chrono::milliseconds patience,
                         metrics::Logger& logger);

// What the new process does with what it hears of the old one.
struct Ears {
  std::function<void(const Spent&)> spent;
  std::function<void(const Taken&)> taken;
  std::function<void()> ended;  // it has gone
};

// The new process's end: hears what the old one still spends and takes, until that ends.
class Heir {
 public:
  Heir(net::asio::io_context& io, int connection, std::string more, Ears ears, metrics::Logger& logger,
       metrics::Counters& counters);
  void start();
  void tell(const Taken& taken);

 private:
  net::awaitable<void> hear();
  net::awaitable<void> write();

  Local::socket socket_;
  std::string in_, out_;
  const Ears ears_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  bool writing_ = false;
};

}  // namespace cranemux::handover
