// The checksum at the end of each message between gatekeepers. UDP's own has 16 bits, is optional over IPv4
// and is computed anew by every proxy on the way, so it does not detect what a proxy has damaged. A counter
// with one wrong byte would persist: a gatekeeper's counters only grow, so from then on its true counters
// would be taken for overtaken ones.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "ledger/guarded_header.h"

namespace cranemux::ledger {

constexpr std::size_t kChecksumBytes = 4;  // XXH32 with seed 0, little endian

// Appends the checksum of `message` to it.
inline void append_checksum(std::string& message) {
  put_fixed(message, XXH32(message.data(), message.size(), 0), kChecksumBytes);
}

// Removes the checksum from the end of `message`. Returns false, and leaves `message` as it is, if it is too
// short or the checksum does not match.
inline bool strip_checksum(std::string_view& message) {
  if (message.size() < kChecksumBytes) return false;
  const auto body = message.substr(0, message.size() - kChecksumBytes);
  if (get_fixed(message, body.size(), kChecksumBytes) != XXH32(body.data(), body.size(), 0)) return false;
  message = body;
  return true;
}

}  // namespace cranemux::ledger
