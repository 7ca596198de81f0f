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

unsigned code_of(const Entry& entry) {
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
  return for_each_field(message, guarded, [&](std::uint64_t& field) { return get(in, at, field); });
}

bool all_sane(std::initializer_list<std::uint64_t> figures) { return std::max(figures) <= kSaneFigure; }
bool sane(const LeaseRequest& request) {
  return request.parts >= 1 && all_sane({request.used, request.level, request.weight, request.hold,
                                         request.parts, request.owed, request.report});
}
bool sane(const Lease& lease) { return all_sane({lease.incarnation, lease.limit, lease.level}); }
bool sane(const Transfer& transfer) { return all_sane({transfer.level, transfer.number}); }
bool sane(const ShedShare& shed) { return all_sane({shed.share}); }

}  // namespace

void append(std::string& out, const Entry& entry, bool guarded) {
  out += static_cast<char>(code_of(entry) | entry.plan << 2U);
  put_fixed(out, entry.customer, 4);
  std::visit(
      [&](const auto& message) {
        for_each_field(message, guarded, [&](std::uint64_t field) {
          put(out, field);
          return true;
        });
      },
      entry.message);
}

std::optional<Entry> read_entry(std::string_view in, std::size_t& at, bool guarded) {
  if (at + kEntryHead > in.size()) return std::nullopt;
  Entry entry;
  const auto code = code_of(in, at);
  entry.plan = static_cast<unsigned char>(in[at]) >> 2U;
  entry.customer = static_cast<std::uint32_t>(fixed(in, at + 1, 4));
  at += kEntryHead;
  bool whole = false;
  if (code == kRequestCode) whole = read_message<LeaseRequest>(in, at, guarded, entry);
  if (code == kLeaseCode) whole = read_message<Lease>(in, at, guarded, entry);
  if (code == kThirdCode && guarded) whole = read_message<Transfer>(in, at, guarded, entry);
  if (code == kThirdCode && !guarded) whole = read_message<ShedShare>(in, at, guarded, entry);
  if (!whole) return std::nullopt;
  return entry;
}

bool sane(const Entry& entry) {
  return std::visit([](const auto& message) { return sane(message); }, entry.message);
}

}  // namespace cranemux::ledger
