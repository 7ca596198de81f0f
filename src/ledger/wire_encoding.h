// Encoding of customers, integers and levels in messages between gatekeepers. Free of I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranemux::ledger {

// Returns the customer's identifier on the wire: FNV-1a of 64 bits (G. Fowler, L. C. Noll, K.-P. Vo), folded
// to 32.
inline std::uint32_t hash_of(std::string_view customer) {
  std::uint64_t h = 1469598103934665603ULL;
  for (const char c : customer) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return static_cast<std::uint32_t>(h ^ h >> 32U);
}

// Appends a varint of base 128 (LEB128, as in protobuf's encoding): seven bits a byte, the lowest first, the
// high bit set on all bytes but the last.
inline void put_varint(std::string& out, std::uint64_t value) {
  for (; value >= 128; value >>= 7U) out += static_cast<char>(value | 128U);
  out += static_cast<char>(value);
}
// Reads a varint and moves `at` past it. Returns false if it is truncated or longer than 63 bits.
inline bool get_varint(std::string_view in, std::size_t& at, std::uint64_t& value) {
  value = 0;
  for (unsigned shift = 0; at < in.size() && shift < 63; shift += 7) {
    const auto byte = static_cast<unsigned char>(in[at++]);
    value |= static_cast<std::uint64_t>(byte & 127U) << shift;
    if (byte < 128) return true;
  }
  return false;
}

// The level of a token bucket is sent in hundredths of its burst.
constexpr double kLevelSteps = 100;
// Returns `level` units of a bucket of `burst` units as sent, rounded down. A bucket without burst is full.
inline std::uint64_t encode_level(double burst, double level) {
  const double share = burst > 0 ? std::clamp(level / burst, 0.0, 1.0) : 1;
  return static_cast<std::uint64_t>(share * kLevelSteps);
}
// Returns the units for an encoded level; a level above the burst counts as the burst.
inline double decode_level(double burst, std::uint64_t encoded) {
  return burst * std::min(1.0, static_cast<double>(encoded) / kLevelSteps);
}

}  // namespace cranemux::ledger
