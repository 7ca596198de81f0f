#include "ledger/messages.h"

#include <algorithm>
#include <initializer_list>

#include "ledger/guarded_header.h"
#include "ledger/wire_encoding.h"

namespace cranemux::ledger {
namespace {

// Kinds of entries on the wire.
constexpr unsigned kRequestCode = 0, kLeaseCode = 1;
constexpr unsigned kThirdCode = 2;  // Transfer where quotas are guarded, else ShedShare

unsigned entry_code(const Entry& entry) {
  return std::min(static_cast<unsigned>(entry.message.index()), kThirdCode);
}

// Calls `each` for every field that is sent, in wire order, until it returns false. Returns whether all
// calls returned true.
template <typename Message, typename Each>
bool for_each_field(Message& message, bool guarded, const Each& each) {
  constexpr bool is_request = std::is_same_v<std::remove_const_t<Message>, LeaseRequest>;
  return std::apply(
      [&](auto&... field) {
        int fields_left =
            is_request && guarded ? LeaseRequest::kGuardedFields : static_cast<int>(sizeof...(field));
        return ((fields_left-- <= 0 || each(field)) && ...);
      },
      Message::fields(message));
}

template <typename Message>
bool read_message(std::string_view in, std::size_t& at, bool guarded, Entry& entry) {
  auto& message = entry.message.emplace<Message>();
  return for_each_field(message, guarded, [&](std::uint64_t& field) { return get_varint(in, at, field); });
}

bool all_plausible(std::initializer_list<std::uint64_t> values) { return std::max(values) <= kMaxFieldValue; }
bool plausible(const LeaseRequest& request) {
  return request.shards >= 1 && all_plausible({request.used, request.level, request.weight, request.hold,
                                               request.shards, request.owed, request.report});
}
bool plausible(const Lease& lease) { return all_plausible({lease.generation, lease.limit, lease.level}); }
bool plausible(const Transfer& transfer) { return all_plausible({transfer.level, transfer.number}); }
bool plausible(const ShedShare& shed) { return all_plausible({shed.share}); }

}  // namespace

void append_entry(std::string& out, const Entry& entry, bool guarded) {
  out += static_cast<char>(entry_code(entry) | entry.plan << 2U);
  put_fixed(out, entry.customer, 4);
  std::visit(
      [&](const auto& message) {
        for_each_field(message, guarded, [&](std::uint64_t field) {
          put_varint(out, field);
          return true;
        });
      },
      entry.message);
}

std::optional<Entry> read_entry(std::string_view in, std::size_t& at, bool guarded) {
  if (at + kEntryHeaderBytes > in.size()) return std::nullopt;
  Entry entry;
  const auto code = entry_code(in, at);
  entry.plan = static_cast<unsigned char>(in[at]) >> 2U;
  entry.customer = static_cast<std::uint32_t>(get_fixed(in, at + 1, 4));
  at += kEntryHeaderBytes;
  bool complete = false;
  if (code == kRequestCode) complete = read_message<LeaseRequest>(in, at, guarded, entry);
  if (code == kLeaseCode) complete = read_message<Lease>(in, at, guarded, entry);
  if (code == kThirdCode && guarded) complete = read_message<Transfer>(in, at, guarded, entry);
  if (code == kThirdCode && !guarded) complete = read_message<ShedShare>(in, at, guarded, entry);
  if (!complete) return std::nullopt;
  return entry;
}

bool plausible(const Entry& entry) {
  return std::visit([](const auto& message) { return plausible(message); }, entry.message);
}

}  // namespace cranemux::ledger
