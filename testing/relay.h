// The network between the gatekeepers of a tier, played by a script: datagrams that are lost, late, out of
// order, sent twice, damaged, or cut off one way. Each gatekeeper sends to a port of its own for each peer
// and hears that peer from there, as if it were the peer's address.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "testing/stage.h"

namespace cranemux::testing {

struct Faults {
  double loss = 0, repeat = 0, damage = 0;  // of each datagram
  milliseconds least_delay{1}, most_delay{10};
};

class Relay {
 public:
  Relay(Stage& stage, std::vector<int> gatekeepers, std::uint64_t seed);  // by the port each listens on
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::vector<std::string> peers_of(int gatekeeper) const;  // addresses as that one must be told them
  // One that is nobody's: sends what a test makes up in a gatekeeper's name.
  void pretend(int from, int to, const std::string& bytes);

  Faults faults;
  std::function<bool(int from, int to)> cut;                             // true: nothing goes that way
  std::function<void(int from, int to, std::string& bytes)> alter;       // before the faults
  std::function<void(int from, int to, const std::string& bytes)> seen;  // what has come

  struct Counts {
    std::size_t sent = 0, lost = 0, cut = 0, repeated = 0, damaged = 0, longest = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Way {
    Way(net::asio::io_context& io, int from_, int to_);
    net::udp::socket socket;  // `from` sends here for `to`; what `to` sends back for `from` leaves from here
    int from, to;
  };
  net::awaitable<void> listen(std::shared_ptr<Way> way);
  net::awaitable<void> deliver(std::shared_ptr<Way> back, std::string bytes, milliseconds late);
  void carry(int from, int to, std::string bytes);
  std::shared_ptr<Way> way(int from, int to) const;
  double draw() { return static_cast<double>(random_() >> 11U) / 9007199254740992.0; }

  Stage& stage_;
  std::vector<int> gatekeepers_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Way>> ways_;
  metrics::Logger logger_;
  Counts counts_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace cranemux::testing
