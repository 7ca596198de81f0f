#include "peers/datagram_batcher.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace cranemux::peers {
namespace {

constexpr char kTagged = '\xc1';
constexpr double kBurst = 5;  // datagrams that may go at once after a quiet spell

void append(std::string& out, Tag tag, std::string_view bytes) {
  for (unsigned shift = 0; shift < 32; shift += 8) out += static_cast<char>(tag >> shift & 255U);
  out += static_cast<char>(bytes.size());
  out += bytes;
}

constexpr std::size_t kHeader = 5;  // of a message

}  // namespace

Tag tag_of(std::string_view ledger) { return XXH32(ledger.data(), ledger.size(), 0); }

bool unpack(std::string_view datagram, const std::function<void(Tag, std::string_view)>& each) {
  if (datagram.empty() || datagram[0] != kTagged || datagram.size() > kMaxDatagramBytes) return false;
  std::vector<std::pair<Tag, std::string_view>> messages;
  auto rest = datagram.substr(1);
  while (!rest.empty()) {
    if (rest.size() < kHeader) return false;
    Tag tag = 0;
    for (std::size_t i = 0; i < 4; ++i)
      tag |= static_cast<Tag>(static_cast<unsigned char>(rest[i])) << (8 * i);
    const std::size_t size = static_cast<unsigned char>(rest[4]);
    if (rest.size() < kHeader + size) return false;
    messages.emplace_back(tag, rest.substr(kHeader, size));
    rest.remove_prefix(kHeader + size);
  }
  for (const auto& [tag, bytes] : messages) each(tag, bytes);
  return true;
}

bool DatagramBatcher::enqueue(Tag tag, int to, std::string bytes) {
  if (bytes.size() > kMaxTaggedMessageBytes) return false;
  auto box = std::find_if(boxes_.begin(), boxes_.end(), [&](const auto& b) { return b.tag == tag; });
  if (box == boxes_.end()) {
    boxes_.push_back({tag, {}});
    box = boxes_.end() - 1;
  }
  box->messages.push_back({to, std::move(bytes)});
  if (++waiting_ <= kMaxQueuedMessages) return true;
  const auto fullest = std::max_element(boxes_.begin(), boxes_.end(), [](const auto& a, const auto& b) {
    return a.messages.size() < b.messages.size();
  });
  fullest->messages.pop_front();
  --waiting_;
  return false;
}

void DatagramBatcher::refill(Time now) {
  if (filled_) {
    const std::chrono::duration<double> passed = now - *filled_;
    stamps_ = std::min(kBurst, stamps_ + rate_ * passed.count());
  }
  filled_ = now;
}

std::optional<DatagramBatcher::Datagram> DatagramBatcher::next(Time now) {
  refill(now);
  if (boxes_.empty() || stamps_ < 1) return std::nullopt;
  stamps_ -= 1;
  Datagram datagram{boxes_.front().messages.front().to, {kTagged}};
  ride_along(datagram);
  // Who was first in line goes to its end.
  auto first = std::move(boxes_.front());
  boxes_.pop_front();
  if (!first.messages.empty()) boxes_.push_back(std::move(first));
  std::erase_if(boxes_, [](const auto& box) { return box.messages.empty(); });
  return datagram;
}

void DatagramBatcher::ride_along(Datagram& datagram) {
  for (auto& box : boxes_) {
    for (auto at = box.messages.begin(); at != box.messages.end();) {
      if (datagram.bytes.size() + kHeader >= kMaxDatagramBytes) return;
      if (at->to != datagram.to || datagram.bytes.size() + kHeader + at->bytes.size() > kMaxDatagramBytes) {
        ++at;
        continue;
      }
      append(datagram.bytes, box.tag, at->bytes);
      at = box.messages.erase(at);
      --waiting_;
    }
  }
}

std::optional<DatagramBatcher::Time> DatagramBatcher::next_due_at() const {
  if (boxes_.empty() || !filled_) return std::nullopt;
  const double lacks = std::max(0.0, 1 - stamps_);
  return *filled_ + std::chrono::ceil<std::chrono::nanoseconds>(
                        std::chrono::duration<double>(lacks / std::max(rate_, 1e-6)));
}

}  // namespace cranemux::peers
