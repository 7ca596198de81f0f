#include "peers/datagram_batcher.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace cranemux::peers {
namespace {

constexpr char kTaggedDatagram = '\xc1';  // first byte of a datagram
constexpr double kBurst = 5;              // datagrams that may be sent at once after an idle time

void append_message(std::string& out, Tag tag, std::string_view bytes) {
  for (unsigned shift = 0; shift < 32; shift += 8) out += static_cast<char>(tag >> shift & 255U);
  out += static_cast<char>(bytes.size());
  out += bytes;
}

constexpr std::size_t kMessageHeaderBytes = 5;  // tag and length

}  // namespace

Tag tag_of(std::string_view ledger) { return XXH32(ledger.data(), ledger.size(), 0); }

bool unpack(std::string_view datagram, const std::function<void(Tag, std::string_view)>& each) {
  if (datagram.empty() || datagram[0] != kTaggedDatagram || datagram.size() > kMaxDatagramBytes) return false;
  std::vector<std::pair<Tag, std::string_view>> messages;
  auto rest = datagram.substr(1);
  while (!rest.empty()) {
    if (rest.size() < kMessageHeaderBytes) return false;
    Tag tag = 0;
    for (std::size_t i = 0; i < 4; ++i)
      tag |= static_cast<Tag>(static_cast<unsigned char>(rest[i])) << (8 * i);
    const std::size_t size = static_cast<unsigned char>(rest[4]);
    if (rest.size() < kMessageHeaderBytes + size) return false;
    messages.emplace_back(tag, rest.substr(kMessageHeaderBytes, size));
    rest.remove_prefix(kMessageHeaderBytes + size);
  }
  for (const auto& [tag, bytes] : messages) each(tag, bytes);
  return true;
}

bool DatagramBatcher::enqueue(Tag tag, int to, std::string bytes) {
  if (bytes.size() > kMaxTaggedMessageBytes) return false;
  auto queue =
      std::find_if(queues_.begin(), queues_.end(), [&](const auto& other) { return other.tag == tag; });
  if (queue == queues_.end()) {
    queues_.push_back({tag, {}});
    queue = queues_.end() - 1;
  }
  queue->messages.push_back({to, std::move(bytes)});
  if (++waiting_ <= kMaxQueuedMessages) return true;
  const auto longest = std::max_element(queues_.begin(), queues_.end(), [](const auto& a, const auto& b) {
    return a.messages.size() < b.messages.size();
  });
  longest->messages.pop_front();
  --waiting_;
  return false;
}

void DatagramBatcher::refill(Time now) {
  if (refilled_at_) {
    const std::chrono::duration<double> passed = now - *refilled_at_;
    send_tokens_ = std::min(kBurst, send_tokens_ + datagrams_per_s_ * passed.count());
  }
  refilled_at_ = now;
}

std::optional<DatagramBatcher::Datagram> DatagramBatcher::next(Time now) {
  refill(now);
  if (queues_.empty() || send_tokens_ < 1) return std::nullopt;
  send_tokens_ -= 1;
  Datagram datagram{queues_.front().messages.front().to, {kTaggedDatagram}};
  add_messages(datagram);
  // The ledger that was served moves to the end of the round.
  auto served = std::move(queues_.front());
  queues_.pop_front();
  if (!served.messages.empty()) queues_.push_back(std::move(served));
  std::erase_if(queues_, [](const auto& queue) { return queue.messages.empty(); });
  return datagram;
}

void DatagramBatcher::add_messages(Datagram& datagram) {
  for (auto& queue : queues_) {
    for (auto message = queue.messages.begin(); message != queue.messages.end();) {
      if (datagram.bytes.size() + kMessageHeaderBytes >= kMaxDatagramBytes) return;
      if (message->to != datagram.to ||
          datagram.bytes.size() + kMessageHeaderBytes + message->bytes.size() > kMaxDatagramBytes) {
        ++message;
        continue;
      }
      append_message(datagram.bytes, queue.tag, message->bytes);
      message = queue.messages.erase(message);
      --waiting_;
    }
  }
}

std::optional<DatagramBatcher::Time> DatagramBatcher::next_due_at() const {
  constexpr double kMinDatagramsPerSecond = 1e-6;
  if (queues_.empty() || !refilled_at_) return std::nullopt;
  const double missing_tokens = std::max(0.0, 1 - send_tokens_);
  return *refilled_at_ + std::chrono::ceil<std::chrono::nanoseconds>(std::chrono::duration<double>(
                             missing_tokens / std::max(datagrams_per_s_, kMinDatagramsPerSecond)));
}

}  // namespace cranemux::peers
