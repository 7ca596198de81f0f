// The bytes of messages between gatekeepers: gatekeepers of one version understand each other whatever they
// were built from, so these change with the version only.
#include "ledger/messages.h"

#include <gtest/gtest.h>

#include <chrono>

#include "ledger/transport.h"

namespace cranemux::ledger {
namespace {

constexpr Time kNow = std::chrono::seconds(7);

TransportSettings terms_of(bool guarded) {
  TransportSettings terms;
  terms.members = 3;
  terms.generation = 0x1234;
  terms.messages_per_s = 100;
  terms.guarded = guarded;
  return terms;
}

std::string in_hex(std::string_view bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string out;
  for (const unsigned char byte : bytes) {
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 15U];
  }
  return out;
}

std::string datagram_of(bool guarded, const std::vector<Entry>& entries) {
  Transport mail(terms_of(guarded), kNow);
  for (const auto& entry : entries) mail.enqueue(1, entry);
  std::string out;
  mail.send_due(kNow, [&](int, std::string bytes) { out = std::move(bytes); });
  return out;
}

const Entry kRequest{2, 0xa1b2c3d4, LeaseRequest{300, 50, 33, 4, 9, 200, 1, 7, 102}};
const Entry kLease{1, 77, Lease{0x1234, 100000, 99, 130, 3, 1}};
const Entry kTransfer{0, 5, Transfer{4000, 128}};
const Entry kShed{0, 5, ShedShare{42}};

TEST(messages, bytes_of_trusting_quotas) {
  EXPECT_EQ(in_hex(datagram_of(false, {kRequest, kLease, kShed})),
            "08341208d4c3b2a1ac0232210409c801010766054d000000b424a08d06638201030102050000002a1dc5451a");
}

TEST(messages, bytes_of_guarded_quotas) {
  EXPECT_EQ(
      in_hex(datagram_of(true, {kRequest, kLease, kTransfer})),
      "06341200000000000000000008d4c3b2a1ac0232210409c8010107054d000000b424a08d0663820103010205000000a01f"
      "8001033d0a34120000000000000001341200fb536e4e");
}

TEST(messages, fields_come_back_as_they_were_written) {
  for (const bool guarded : {false, true}) {
    std::string bytes;
    for (const auto& entry : {kRequest, kLease, guarded ? kTransfer : kShed})
      append_entry(bytes, entry, guarded);
    std::size_t at = 0;
    const auto request = read_entry(bytes, at, guarded);
    const auto lease = read_entry(bytes, at, guarded);
    const auto last = read_entry(bytes, at, guarded);
    ASSERT_TRUE(request && lease && last);
    EXPECT_EQ(at, bytes.size());
    EXPECT_EQ(request->plan, 2U);
    EXPECT_EQ(request->customer, 0xa1b2c3d4U);
    const auto& told = std::get<LeaseRequest>(request->message);
    EXPECT_EQ(told.used, 300U);
    EXPECT_EQ(told.owed, 7U);
    EXPECT_EQ(told.report, guarded ? 0U : 102U);
    EXPECT_EQ(std::get<Lease>(lease->message).limit, 100000U);
    EXPECT_EQ(std::holds_alternative<Transfer>(last->message), guarded);
    EXPECT_EQ(std::holds_alternative<ShedShare>(last->message), !guarded);
    for (std::size_t size = 0; size < kEntryHeaderBytes + 9; ++size) {
      std::size_t from = 0;
      EXPECT_FALSE(read_entry(std::string_view(bytes).substr(0, size), from, guarded)) << size;
    }
  }
}

TEST(messages, figures_that_nobody_sends_are_not_sane) {
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
