// Batches the messages of several ledgers into datagrams on one link, and shares the link's budget of
// datagrams among the ledgers fairly. Free of I/O: the caller passes in times and sends the datagrams.
//
// Wire format of a datagram: one byte 0xc1, which distinguishes it from the decision module's own messages
// (those start with their version), then any number of messages:
//   4 bytes   tag of the ledger (tag_of), little endian
//   1 byte    length of the message
//   ...       the message
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
// Returns the tag of a ledger: XXH32 of its name with seed 0.
Tag tag_of(std::string_view ledger);

constexpr std::size_t kMaxDatagramBytes = 256;
// A message of this size fits a datagram together with the datagram's first byte, its tag and its length.
constexpr std::size_t kMaxTaggedMessageBytes = 250;
// Of all ledgers together. Above it the oldest message of the ledger with the longest queue is dropped.
constexpr std::size_t kMaxQueuedMessages = 4096;

// Calls `each` for every message of a datagram. Returns false, without a call, if the datagram is malformed.
bool unpack(std::string_view datagram, const std::function<void(Tag, std::string_view)>& each);

class DatagramBatcher {
 public:
  using Time = std::chrono::steady_clock::time_point;
  struct Datagram {
    int to = 0;  // index of a peer
    std::string bytes;
  };

  explicit DatagramBatcher(double datagrams_per_s) : datagrams_per_s_(datagrams_per_s) {}

  // Queues a message. Returns false if a message was dropped: this one if it is larger than
  // kMaxTaggedMessageBytes, or an older one if there are more than kMaxQueuedMessages.
  bool enqueue(Tag tag, int to, std::string bytes);
  // Returns the next datagram, if a message is queued and the budget allows one. Ledgers are served round
  // robin; messages of other ledgers to the same peer are added while they fit, so a ledger with few messages
  // is not delayed by one with many.
  std::optional<Datagram> next(Time now);
  // Returns when the budget allows the next datagram; nothing while no message is queued.
  std::optional<Time> next_due_at() const;
  std::size_t waiting() const { return waiting_; }  // queued messages

 private:
  struct Message {
    int to;
    std::string bytes;
  };
  struct LedgerQueue {
    Tag tag;
    std::deque<Message> messages;
  };
  void refill(Time now);
  void add_messages(Datagram& datagram);

  double datagrams_per_s_, send_tokens_ = 1;
  std::optional<Time> refilled_at_;
  std::deque<LedgerQueue> queues_;  // of ledgers with messages, the next to be served first
  std::size_t waiting_ = 0;
};

}  // namespace cranemux::peers
