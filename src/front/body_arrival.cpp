#include "front/body_arrival.h"

#include <algorithm>
#include <utility>

namespace cranemux::front {
namespace {

constexpr std::size_t kScanPiece = std::size_t{64} * 1024;  // bytes

}  // namespace

bool BodyArrival::complete(const Look& look) {
  if (const auto left = look.reader.length_left()) return look.pending.size() + look.unread >= *left;
  const auto arrived = look.read + look.unread;
  const bool grows = std::exchange(arrived_, arrived) != arrived;
  if (grows || look.unread == 0 || arrived == scanned_) return false;
  return scan(look);
}

// Goes on where the scan before has ended, unless more than that has been read meanwhile.
bool BodyArrival::scan(const Look& look) {
  const auto unread = look.peek();
  std::string_view next = unread;
  if (scanner_ && scanned_ >= look.read) {
    next.remove_prefix(std::min<std::size_t>(scanned_ - look.read, next.size()));
  } else {
    scanner_.emplace(look.reader);
    rest_ = look.pending;
  }
  scanned_ = look.read + unread.size();
  auto state = http::BodyReader::State::more;
  while (state == http::BodyReader::State::more && !next.empty()) {
    const auto piece = next.substr(0, kScanPiece);
    next.remove_prefix(piece.size());
    rest_ += piece;
    std::string discarded;
    state = scanner_->take(rest_, discarded);
  }
  return state != http::BodyReader::State::more;
}

}  // namespace cranemux::front
