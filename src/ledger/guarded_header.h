// The head of a message between gatekeepers that guard their quotas: version (1), sender's life (2), its
// stamp (3), the echoed life (2) and stamp (3), flags (1), and the view as a varint where one is told.
// Entries follow. Figures of fixed size are little endian.
#pragma once

#include <string>
#include <string_view>

#include "ledger/leader_election.h"
#include "ledger/wire_encoding.h"

namespace cranemux::ledger {

constexpr std::size_t kMaxGuardedHeaderBytes = 22;

inline void put_fixed(std::string& out, std::uint64_t value, unsigned bytes) {
  for (unsigned i = 0; i < bytes; ++i) out += static_cast<char>(value >> (8 * i) & 255U);
}
inline std::uint64_t get_fixed(std::string_view in, std::size_t at, unsigned bytes) {
  std::uint64_t out = 0;
  for (unsigned i = 0; i < bytes; ++i)
    out |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[at + i])) << (8 * i);
  return out;
}

inline std::string encode_header(std::uint8_t version, std::uint16_t life, const Heartbeat& word) {
  std::string out(1, static_cast<char>(version));
  put_fixed(out, life, 2);
  put_fixed(out, word.stamp, 3);
  put_fixed(out, word.echo_generation, 2);
  put_fixed(out, word.echo, 3);
  out += static_cast<char>((word.has_echo ? 1 : 0) | (word.view ? 2 : 0));
  if (word.view) put_varint(out, *word.view);
  return out;
}

// Moves `at` past the head. False: it is damaged. `members`: a view of others than these is none.
inline bool decode_header(std::string_view in, int members, std::uint16_t& life, Heartbeat& word,
                          std::size_t& at) {
  constexpr std::size_t kFixed = 12;
  if (in.size() < kFixed) return false;
  life = static_cast<std::uint16_t>(get_fixed(in, 1, 2));
  word.stamp = static_cast<Stamp>(get_fixed(in, 3, 3));
  word.echo_generation = static_cast<std::uint16_t>(get_fixed(in, 6, 2));
  word.echo = static_cast<Stamp>(get_fixed(in, 8, 3));
  const auto flags = static_cast<unsigned char>(in[11]);
  if (flags > 3) return false;
  word.has_echo = (flags & 1U) != 0;
  at = kFixed;
  if ((flags & 2U) == 0) return true;
  View view = 0;
  if (!get_varint(in, at, view) ||
      (members < kMaxGuardedMembers && view >> static_cast<unsigned>(members) != 0))
    return false;
  word.view = view;
  return true;
}

}  // namespace cranemux::ledger
