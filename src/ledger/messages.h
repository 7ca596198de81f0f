// Messages between gatekeepers about quotas, with their fields in the order in which they travel, each a
// varint. A message stands for one customer; several share a datagram (transport.h). All figures are totals
// of the sender's incarnation or levels, so a message that is lost, repeated or late does no harm. Free of
// I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace cranemux::ledger {

// To the customer's quota leader: what its sender has used, and what it wants to use.
struct LeaseRequest {
  std::uint64_t used = 0;    // units of this incarnation; attempts that are out, where the plan bounds those
  std::uint64_t level = 0;   // of the token bucket, as the sender knows it, in hundredths of the burst
  std::uint64_t weight = 0;  // of the requests that it holds, in sixteenths
  std::uint64_t wanted = 0;  // units, by what it holds; of a report: units that were refused by a shed share
  std::uint64_t number = 0;  // guarded: of the request; trusting: of the sender's changes of leader
  std::uint64_t hold = 0;    // what it holds is refused after so long, in 10 ms
  std::uint64_t shards = 0;  // that the token bucket is divided into; at least one
  std::uint64_t owed = 0;    // of `used`: beyond the last lease
  std::uint64_t report = 0;  // trusting only: 0, 1 where nobody waits for an answer, 2 and the shed share

  template <typename Self>
  static auto fields(Self& self) {
    return std::tie(self.used, self.level, self.weight, self.wanted, self.number, self.hold, self.shards,
                    self.owed, self.report);
  }
  static constexpr int kGuardedFields = 8;  // of them
};

// The leader's answer.
struct Lease {
  std::uint64_t generation = 0;  // of who asked, its lower 16 bits
  std::uint64_t limit = 0;   // units that it may have used in all that incarnation; or attempts out at once
  std::uint64_t level = 0;   // of the token bucket, in hundredths of the burst
  std::uint64_t number = 0;  // of the request that is answered
  std::uint64_t pause = 0;   // until the next request is wanted, in 50 ms
  std::uint64_t open =
      0;  // guarded: the sender has the right to lead; trusting: its bucket is far from empty

  template <typename Self>
  static auto fields(Self& self) {
    return std::tie(self.generation, self.limit, self.level, self.number, self.pause, self.open);
  }
};

// Guarded only: a token bucket on its way to its next leader.
struct Transfer {
  std::uint64_t level = 0;   // in hundredths of a unit
  std::uint64_t number = 0;  // of the sender's transfers

  template <typename Self>
  static auto fields(Self& self) {
    return std::tie(self.level, self.number);
  }
};

// Trusting only, from a dedicated quota leader: so much of what is asked for the customer may go.
struct ShedShare {
  std::uint64_t share = 0;  // in hundredths

  template <typename Self>
  static auto fields(Self& self) {
    return std::tie(self.share);
  }
};

struct Entry {
  std::uint32_t plan = 0;  // its number in the settings, under 64
  std::uint32_t customer = 0;
  std::variant<LeaseRequest, Lease, Transfer, ShedShare> message;
};

constexpr std::size_t kEntryHeaderBytes = 5;                         // bytes: kind and plan, customer
constexpr std::size_t kShedShareEntryBytes = kEntryHeaderBytes + 1;  // of an entry with a share up to 100
constexpr unsigned kMembershipUpdatesCode = 3;  // in place of an entry's kind: news of members follow

inline unsigned entry_code(std::string_view in, std::size_t at) {
  return static_cast<unsigned char>(in[at]) & 3U;
}
void append_entry(std::string& out, const Entry& entry, bool guarded);
// Moves `at` past the entry. None: it is damaged, or of a kind that this form of quotas has not.
std::optional<Entry> read_entry(std::string_view in, std::size_t& at, bool guarded);
// Are its figures such that a gatekeeper may have sent them?
bool plausible(const Entry& entry);

}  // namespace cranemux::ledger
