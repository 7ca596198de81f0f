// The header of a datagram between gatekeepers that guard their quotas, and integers of fixed size.
//
//   offset  bytes  content
//   0       1      version
//   1       2      generation of the sender
//   3       3      stamp of the sender
//   6       2      echo: generation of the receiver, as the sender last received it
//   8       3      echo: stamp of the receiver in that message
//   11      1      flags: 1 the echo is valid, 2 a view follows
//   12      0-10   the sender's view as a varint, if flagged
//
// Integers of fixed size are little endian. The fields are those of a Heartbeat (leader_election.h).
#pragma once

#include <string>
#include <string_view>

#include "ledger/leader_election.h"
#include "ledger/wire_encoding.h"

namespace cranemux::ledger {

constexpr std::size_t kFixedGuardedHeaderBytes = 12;
constexpr std::size_t kMaxGuardedHeaderBytes = 22;  // with a view of ten bytes
constexpr unsigned kEchoFlag = 1, kViewFlag = 2;

// Appends the lowest `bytes` bytes of `value`, little endian.
inline void put_fixed(std::string& out, std::uint64_t value, unsigned bytes) {
  for (unsigned i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i) & 255U);
}
// Reads a little-endian integer of `bytes` bytes at `at`, all of which must be inside `in`.
inline std::uint64_t get_fixed(std::string_view in, std::size_t at, unsigned bytes) {
  std::uint64_t out = 0;
  for (unsigned i = 0; i < bytes; ++i)
    out |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[at + i])) << (8 * i);
  return out;
}

// Returns the encoded header of a datagram.
inline std::string encode_header(std::uint8_t version, std::uint16_t generation, const Heartbeat& heartbeat) {
  std::string out(1, static_cast<char>(version));
  put_fixed(out, generation, 2);
  put_fixed(out, heartbeat.stamp, 3);
  put_fixed(out, heartbeat.echo_generation, 2);
  put_fixed(out, heartbeat.echo, 3);
  out += static_cast<char>((heartbeat.has_echo ? kEchoFlag : 0) | (heartbeat.view ? kViewFlag : 0));
  if (heartbeat.view) put_varint(out, *heartbeat.view);
  return out;
}

// Decodes the header of `in` and sets `at` past it; the caller has checked the version. Returns false if it
// is truncated, has unknown flags, or a view of members beyond the tier's `members`.
inline bool decode_header(std::string_view in, int members, std::uint16_t& generation, Heartbeat& heartbeat,
                          std::size_t& at) {
  if (in.size() < kFixedGuardedHeaderBytes) return false;
  generation = static_cast<std::uint16_t>(get_fixed(in, 1, 2));
  heartbeat.stamp = static_cast<Stamp>(get_fixed(in, 3, 3));
  heartbeat.echo_generation = static_cast<std::uint16_t>(get_fixed(in, 6, 2));
  heartbeat.echo = static_cast<Stamp>(get_fixed(in, 8, 3));
  const auto flags = static_cast<unsigned char>(in[11]);
  if (flags > (kEchoFlag | kViewFlag)) return false;
  heartbeat.has_echo = (flags & kEchoFlag) != 0;
  at = kFixedGuardedHeaderBytes;
  if ((flags & kViewFlag) == 0) return true;
  View view = 0;
  if (!get_varint(in, at, view) ||
      (members < kMaxGuardedMembers && view >> static_cast<unsigned>(members) != 0))
    return false;
  heartbeat.view = view;
  return true;
}

}  // namespace cranemux::ledger
