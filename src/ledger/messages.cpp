#include "ledger/messages.h"

#include <algorithm>
#include <initializer_list>

#include "ledger/guarded_header.h"
#include "ledger/wire_encoding.h"

namespace cranemux::ledger {
namespace {

constexpr std::uint64_t kSaneFigure = 1'000'000'000;
constexpr unsigned kRequestCode = 0, kLeaseCode = 1;
constexpr unsigned kThirdCode = 2;  // a transfer where quotas are guarded, else a shed share

unsigned entry_code(const Entry& entry) {
  return std::min(static_cast<unsigned>(entry.message.index()), kThirdCode);
}

// Calls `each` for every field that travels, until it returns false.
template <typename Message, typename Each>
bool for_each_field(Message& message, bool guarded, const Each& each) {
  constexpr bool is_request = std::is_same_v<std::remove_const_t<Message>, LeaseRequest>;
  return std::apply(
      [&](auto&... field) {
        int left = is_request && guarded ? LeaseRequest::kGuardedFields : static_cast<int>(sizeof...(field));
        return ((left-- <= 0 || each(field)) && ...);
      },
      Message::fields(message));
}

template <typename Message>
bool read_message(std::string_view in, std::size_t& at, bool guarded, Entry& entry) {
  auto& message = entry.message.emplace<Message>();
  return for_each_field(message, guarded, [&](std::uint64_t& field) { return get_varint(in, at, field); });
}

bool all_sane(std::initializer_list<std::uint64_t> figures) { return std::max(figures) <= kSaneFigure; }
bool plausible(const LeaseRequest& request) {
  return request.shards >= 1 && all_sane({request.used, request.level, request.weight, request.hold,
                                          request.shards, request.owed, request.report});
}
bool plausible(const Lease& lease) { return all_sane({lease.generation, lease.limit, lease.level}); }
bool plausible(const Transfer& transfer) { return all_sane({transfer.level, transfer.number}); }
bool plausible(const ShedShare& shed) { return all_sane({shed.share}); }

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
  bool whole = false;
  if (code == kRequestCode) whole = read_message<LeaseRequest>(in, at, guarded, entry);
  if (code == kLeaseCode) whole = read_message<Lease>(in, at, guarded, entry);
  if (code == kThirdCode && guarded) whole = read_message<Transfer>(in, at, guarded, entry);
  if (code == kThirdCode && !guarded) whole = read_message<ShedShare>(in, at, guarded, entry);
  if (!whole) return std::nullopt;
  return entry;
}

bool plausible(const Entry& entry) {
  return std::visit([](const auto& message) { return plausible(message); }, entry.message);
}

}  // namespace cranemux::ledger
