// The bytes of messages between gatekeepers. Gatekeepers of one wire version understand each other whichever
// build they are, so these bytes may change only together with the version.
#include "ledger/messages.h"

#include <gtest/gtest.h>

#include <chrono>

#include "ledger/transport.h"

namespace cranemux::ledger {
namespace {

constexpr Time kNow = std::chrono::seconds(7);

TransportSettings settings_of(bool guarded) {
  TransportSettings settings;
  settings.members = 3;
  settings.generation = 0x1234;
  settings.messages_per_s = 100;
  settings.guarded = guarded;
  return settings;
}

std::string to_hex(std::string_view bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string out;
  for (const unsigned char byte : bytes) {
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 15U];
  }
  return out;
}

std::string datagram_of(bool guarded, const std::vector<Entry>& entries) {
  Transport transport(settings_of(guarded), kNow);
  for (const auto& entry : entries) transport.enqueue(1, entry);
  std::string out;
  transport.send_due(kNow, [&](int, std::string bytes) { out = std::move(bytes); });
  return out;
}

const Entry kRequest{2, 0xa1b2c3d4, LeaseRequest{300, 50, 33, 4, 9, 200, 1, 7, 102}};
const Entry kLease{1, 77, Lease{0x1234, 100000, 99, 130, 3, 1}};
const Entry kTransfer{0, 5, Transfer{4000, 128}};
const Entry kShedShare{0, 5, ShedShare{42}};

TEST(messages, bytes_for_trusting_quotas) {
  EXPECT_EQ(to_hex(datagram_of(false, {kRequest, kLease, kShedShare})),
            "08341208d4c3b2a1ac0232210409c801010766054d000000b424a08d06638201030102050000002a1dc5451a");
}

TEST(messages, bytes_for_guarded_quotas) {
  EXPECT_EQ(
      to_hex(datagram_of(true, {kRequest, kLease, kTransfer})),
      "06341200000000000000000008d4c3b2a1ac0232210409c8010107054d000000b424a08d0663820103010205000000a01f"
      "8001033d0a34120000000000000001341200fb536e4e");
}

TEST(messages, entries_decode_to_the_fields_that_were_encoded) {
  for (const bool guarded : {false, true}) {
    std::string bytes;
    for (const auto& entry : {kRequest, kLease, guarded ? kTransfer : kShedShare})
      append_entry(bytes, entry, guarded);
    std::size_t at = 0;
    const auto request = read_entry(bytes, at, guarded);
    const auto lease = read_entry(bytes, at, guarded);
    const auto third = read_entry(bytes, at, guarded);
    ASSERT_TRUE(request && lease && third);
    EXPECT_EQ(at, bytes.size());
    EXPECT_EQ(request->plan, 2U);
    EXPECT_EQ(request->customer, 0xa1b2c3d4U);
    const auto& fields = std::get<LeaseRequest>(request->message);
    EXPECT_EQ(fields.used, 300U);
    EXPECT_EQ(fields.owed, 7U);
    EXPECT_EQ(fields.report, guarded ? 0U : 102U);
    EXPECT_EQ(std::get<Lease>(lease->message).limit, 100000U);
    EXPECT_EQ(std::holds_alternative<Transfer>(third->message), guarded);
    EXPECT_EQ(std::holds_alternative<ShedShare>(third->message), !guarded);
    for (std::size_t size = 0; size < kEntryHeaderBytes + 9; ++size) {
      std::size_t start = 0;
      EXPECT_FALSE(read_entry(std::string_view(bytes).substr(0, size), start, guarded)) << size;
    }
  }
}

TEST(messages, values_that_no_gatekeeper_sends_are_implausible) {
  EXPECT_TRUE(plausible(kRequest));
  auto request = std::get<LeaseRequest>(kRequest.message);
  request.shards = 0;
  EXPECT_FALSE(plausible({0, 1, request}));
  request.shards = 1;
  request.owed = 2'000'000'000;
  EXPECT_FALSE(plausible({0, 1, request}));
  EXPECT_FALSE(plausible({0, 1, Lease{1, 2'000'000'000, 0, 0, 0, 0}}));
  EXPECT_FALSE(plausible({0, 1, Transfer{0, 2'000'000'000}}));
}

}  // namespace
}  // namespace cranemux::ledger
