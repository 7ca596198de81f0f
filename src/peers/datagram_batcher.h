// Messages of several ledgers on one link: packed into datagrams, with the link's budget of datagrams shared
// out fairly. Knows no socket; times are the caller's.
//
// A datagram is a byte that tells this form from the module's own (which starts with its version), then
// messages:
//   tag (4 bytes, of the ledger's name, little endian), length (1), so many bytes.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranemux::peers {

using Tag = std::uint32_t;
Tag tag_of(std::string_view ledger);  // XXH32 of the name

constexpr std::size_t kMaxDatagramBytes = 256;       // a longer datagram may not be sent
constexpr std::size_t kMaxTaggedMessageBytes = 250;  // a message with its tag and length fits a datagram
constexpr std::size_t kMaxQueuedMessages =
    4096;  // messages; the oldest of the ledger with most waiting is dropped

// Calls `each` for every message. False: damaged, and nothing was called.
bool unpack(std::string_view datagram, const std::function<void(Tag, std::string_view)>& each);

class DatagramBatcher {
 public:
  using Time = std::chrono::steady_clock::time_point;
  struct Datagram {
    int to = 0;
    std::string bytes;
  };

  explicit DatagramBatcher(double datagrams_per_s) : rate_(datagrams_per_s) {}

  // False: a message was dropped for it, since too many wait.
  bool enqueue(Tag tag, int to, std::string bytes);
  // The next datagram, if the budget has one and something waits. Ledgers take turns; what others have for
  // the same peer rides along while it fits, so a quiet ledger loses nothing to a busy one.
  std::optional<Datagram> next(Time now);
  std::optional<Time> next_due_at() const;  // when `next` is worth calling again; none while nothing waits
  std::size_t waiting() const { return waiting_; }

 private:
  struct Message {
    int to;
    std::string bytes;
  };
  struct Box {
    Tag tag;
    std::deque<Message> messages;
  };
  void refill(Time now);
  void ride_along(Datagram& datagram);

  double rate_, stamps_ = 1;
  std::optional<Time> filled_;
  std::deque<Box> boxes_;  // of ledgers with messages, the next in turn first
  std::size_t waiting_ = 0;
};

}  // namespace cranemux::peers
