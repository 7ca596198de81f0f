// The checksum that ends each message between gatekeepers. That of UDP has 16 bits, is optional over IPv4,
// and is made anew by every proxy on the way, so it does not notice what such a one has damaged. A figure
// that is wrong by one byte would stay: counters of a gatekeeper only ever grow, and the true ones would
// count as overtaken from then on.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "ledger/guarded_header.h"

namespace cranemux::ledger {

constexpr std::size_t kChecksumBytes = 4;

inline void append_checksum(std::string& message) {
  put_fixed(message, XXH32(message.data(), message.size(), 0), kChecksumBytes);
}

// Takes the checksum off the end of `message`. False: it does not fit what stands before it.
inline bool strip_checksum(std::string_view& message) {
  if (message.size() < kChecksumBytes) return false;
  const auto body = message.substr(0, message.size() - kChecksumBytes);
  if (get_fixed(message, body.size(), kChecksumBytes) != XXH32(body.data(), body.size(), 0)) return false;
  message = body;
  return true;
}

}  // namespace cranemux::ledger
