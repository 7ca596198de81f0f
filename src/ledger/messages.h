// Messages between gatekeepers about quotas, and their encoding. Each message concerns one customer; several
// share a datagram (transport.h). All counters are totals of the sender's generation, and all levels are
// absolute, so a lost, repeated or late message does no harm. Free of I/O.
//
// An entry of a datagram:
//
//   offset  bytes  content
//   0       1      bits 0 and 1: kind; bits 2 to 7: number of the plan in the settings
//   1       4      hash of the customer (wire_encoding.h), little endian
//   5       ...    the message's fields in the order of its `fields`, each as a varint (wire_encoding.h)
//
// Kinds: 0 LeaseRequest, 1 Lease, 2 Transfer (guarded quotas) or ShedShare (trusting quotas). Kind 3 is no
// entry: see kMembershipUpdatesCode.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace cranemux::ledger {

// From a gatekeeper to a customer's quota leader: what the gatekeeper has used, and what it wants to use.
struct LeaseRequest {
  std::uint64_t used = 0;    // units used in this generation; if only attempts are limited: attempts out now
  std::uint64_t level = 0;   // tokens as the sender knows them, in hundredths of the burst; 100 if unknown
  std::uint64_t weight = 0;  // sum of the weights of the held requests, in sixteenths
  std::uint64_t wanted = 0;  // units (or attempts) of the held requests; in a report: units that were shed
  std::uint64_t number = 0;  // guarded: number of this request; trusting: the sender's leader epoch
  std::uint64_t hold = 0;    // time until the held requests are refused, in 10 ms
  std::uint64_t shards = 0;  // number of shards of the ledger, at least 1
  std::uint64_t owed = 0;    // trusting: units of `used` beyond the limit of the last lease; else 0
  // Trusting only. 0: a request; 1: a report, which needs no answer; 2 or more: a report of a sender that
  // sheds load, and 2 + the share that it admits, in hundredths.
  std::uint64_t report = 0;

  template <typename Self>
  static auto fields(Self& self) {
    return std::tie(self.used, self.level, self.weight, self.wanted, self.number, self.hold, self.shards,
                    self.owed, self.report);
  }
  static constexpr int kGuardedFields = 8;  // sent where quotas are guarded: all but `report`
};

// The leader's answer to a LeaseRequest.
struct Lease {
  std::uint64_t generation = 0;  // lower 16 bits of the generation of the gatekeeper that asked
  std::uint64_t limit = 0;       // units that it may use in all of that generation, or attempts out at once
  std::uint64_t level = 0;       // tokens left, in hundredths of the burst
  std::uint64_t number = 0;      // `number` of the request that is answered
  std::uint64_t pause = 0;       // time to wait before the next request, in 50 ms
  std::uint64_t open = 0;  // 1: the sender has leadership (guarded), or its token bucket is far from empty

  template <typename Self>
  static auto fields(Self& self) {
    return std::tie(self.generation, self.limit, self.level, self.number, self.pause, self.open);
  }
};

// Guarded only: passes the tokens of a ledger to its next leader.
struct Transfer {
  std::uint64_t level = 0;   // tokens, in hundredths of a unit
  std::uint64_t number = 0;  // counts the sender's transfers

  template <typename Self>
  static auto fields(Self& self) {
    return std::tie(self.level, self.number);
  }
};

// Trusting only, from a dedicated quota leader: the share of the customer's requests to admit.
struct ShedShare {
  std::uint64_t share = 0;  // in hundredths

  template <typename Self>
  static auto fields(Self& self) {
    return std::tie(self.share);
  }
};

// A message with the plan and the customer that it concerns.
struct Entry {
  std::uint32_t plan = 0;      // number of the plan in the settings, under 64
  std::uint32_t customer = 0;  // hash_of the customer's name
  std::variant<LeaseRequest, Lease, Transfer, ShedShare> message;
};

constexpr std::size_t kEntryHeaderBytes = 5;                         // kind and plan, customer
constexpr std::size_t kShedShareEntryBytes = kEntryHeaderBytes + 1;  // with a share of at most 127
// Guarded only, in place of an entry's kind: the rest of the datagram holds membership updates.
constexpr unsigned kMembershipUpdatesCode = 3;
// Largest accepted value of a field, in the field's own unit. No gatekeeper sends more, so a larger value
// comes from a damaged or faulty message.
constexpr std::uint64_t kMaxFieldValue = 1'000'000'000;

// Returns the kind of the entry that starts at `at`, which must be inside `in`.
inline unsigned entry_code(std::string_view in, std::size_t at) {
  return static_cast<unsigned char>(in[at]) & 3U;
}
// Appends the encoded entry to `out`.
void append_entry(std::string& out, const Entry& entry, bool guarded);
// Decodes the entry at `at` and moves `at` past it. Returns nothing if the entry is truncated, or of a kind
// that this mode of quotas does not have.
std::optional<Entry> read_entry(std::string_view in, std::size_t& at, bool guarded);
// Returns whether a gatekeeper could have sent these values: a request has at least one shard, and no field
// exceeds kMaxFieldValue. Fields that the receiver bounds itself (`wanted`, `number` of a request or a lease,
// `pause`, `open`) are not checked.
bool plausible(const Entry& entry);

}  // namespace cranemux::ledger
