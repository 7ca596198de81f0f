#include "ledger/transport.h"

#include <algorithm>
#include <random>
#include <utility>

#include "ledger/checksum.h"
#include "ledger/guarded_header.h"
#include "ledger/replica_placement.h"

namespace cranemux::ledger {
namespace {

constexpr std::uint8_t kTrusting = 8, kGuarded = 6;            // versions
constexpr std::size_t kHead = 3;                               // bytes, at least
constexpr Time kWordsGather = std::chrono::milliseconds(250);  // words of who is throttled, for one datagram
constexpr Time kSigns = std::chrono::seconds(1);   // a member set aside is heard at least so often
constexpr Time kSilent = std::chrono::seconds(3);  // without a sign: it is gone, or cut off from here
constexpr Time kLookEvery = std::chrono::milliseconds(10);

membership::Settings members_of(const TransportSettings& terms) {
  membership::Settings out;
  out.members = terms.members;
  out.self = terms.self;
  out.generation = terms.generation;
  out.seed = terms.seed;
  out.detection.messages_per_s = terms.messages_per_s;
  out.probes = false;  // votes flow to all, and prove as much
  return out;
}

Entry entry_of(const ShedNotice& word) {
  return {word.plan, word.customer, ShedShare{static_cast<std::uint64_t>(word.share)}};
}

}  // namespace

Transport::Transport(const TransportSettings& terms, Time now)
    : terms_(terms),
      peers_(static_cast<std::size_t>(terms.members)),
      tells_(terms.guarded ? 0 : notified_gatekeepers(terms.self, terms.members, terms.dedicated_leaders)),
      words_(tells_),
      posted_(now) {
  for (auto& peer : peers_) peer.heard = now;
  // Not all at once, also where all have started together.
  std::mt19937_64 random(terms.seed);
  for (int to = 0; to < tells_; ++to)
    peers_[static_cast<std::size_t>(to)].posted = now - kSigns * static_cast<int>(random() % 1000) / 1000;
  if (!terms_.guarded) return;
  rights_ = std::make_unique<LeaderElection>(terms_.members, terms_.self, terms_.generation,
                                             heartbeat_timings(terms_.members, terms_.messages_per_s), now);
  members_ = std::make_unique<membership::Membership>(members_of(terms_), now);
}

std::size_t Transport::most_head() const { return terms_.guarded ? kMaxGuardedHeaderBytes : kHead; }
std::size_t Transport::most_body() const {
  return terms_.max_datagram_bytes - std::min(terms_.max_datagram_bytes, kChecksumBytes);
}

void Transport::call(int to) {
  if (!std::exchange(peers_[static_cast<std::size_t>(to)].called, true)) posts_.push_back(to);
}

void Transport::enqueue(int to, const Entry& entry) {
  if (!terms_.enabled || to == terms_.self) return;
  std::string out;
  append_entry(out, entry, terms_.guarded);
  auto& entries = peers_[static_cast<std::size_t>(to)].entries;
  call(to);
  if (most_head() + entries.size() + out.size() <= most_body()) entries += out;
}

void Transport::notify(int to, const ShedNotice& word) { enqueue(to, entry_of(word)); }

std::string Transport::message(int to, Time now) {
  auto out = body(to, now);
  append_checksum(out);
  return out;
}

std::string Transport::body(int to, Time now) {
  auto& peer = peers_[static_cast<std::size_t>(to)];
  peer.posted = now;
  peer.called = false;
  auto entries = std::exchange(peer.entries, {});
  std::string out;
  if (!terms_.guarded) {
    out += static_cast<char>(kTrusting);
    put_fixed(out, terms_.generation, 2);
    out += entries;
    if (to < tells_) {
      words_.piggyback(to, most_body() - std::min(most_body(), out.size()), kShedShareEntryBytes,
                       [&](const ShedNotice& word) { append_entry(out, entry_of(word), terms_.guarded); });
    }
    return out;
  }
  out = encode_header(kGuarded, terms_.generation, rights_->heartbeat_for(to, now)) + entries;
  if (out.size() + 1 >= most_body()) return out;
  const auto news = members_->piggyback(most_body() - out.size() - 1, now);
  if (!news.empty()) out += static_cast<char>(kMembershipUpdatesCode) + news;
  return out;
}

bool Transport::dedicated_leader_failed(int member, Time now) const {
  return !terms_.guarded && is_dedicated_leader(member, terms_.members, terms_.dedicated_leaders) &&
         member != terms_.self && now - peers_[static_cast<std::size_t>(member)].heard > kSilent;
}

void Transport::call_gatekeepers(Time now) {
  if (tells_ == 0 || !terms_.enabled || now - looked_ < kLookEvery) return;
  looked_ = now;
  for (int to = 0; to < tells_; ++to) {
    const auto since = now - peers_[static_cast<std::size_t>(to)].posted;
    if (since >= kSigns || (since >= kWordsGather && words_.has_unsent(to))) call(to);
  }
}

void Transport::send_due(Time now, const std::function<void(int to, std::string bytes)>& send) {
  call_gatekeepers(now);
  const auto passed = static_cast<double>((now - posted_).count());
  stamps_ = std::min(terms_.burst, stamps_ + terms_.messages_per_s * passed / 1e9);
  posted_ = now;
  while (!posts_.empty() && stamps_ >= 1) {
    const int to = posts_.front();
    posts_.pop_front();
    send(to, message(to, now));
    stamps_ -= 1;
  }
}

std::optional<Transport::ReceivedMessage> Transport::receive(int from, std::string_view in, Time now) {
  if (from < 0 || from >= terms_.members || from == terms_.self) return std::nullopt;
  // Damaged: as if it were lost, which is mended by the next question.
  if (!strip_checksum(in) || in.size() < kHead) return std::nullopt;
  if (static_cast<std::uint8_t>(in[0]) != (terms_.guarded ? kGuarded : kTrusting)) return std::nullopt;
  peers_[static_cast<std::size_t>(from)].heard = now;
  ReceivedMessage out;
  out.generation = static_cast<std::uint32_t>(get_fixed(in, 1, 2));
  std::size_t at = kHead;
  if (terms_.guarded) {
    std::uint16_t life = 0;
    Heartbeat word;
    if (!decode_header(in, terms_.members, life, word, at) || !rights_->receive(from, life, word, now))
      return std::nullopt;
    out.generation |= rights_->generations_seen(from) << 16U;  // numbers may be drawn again
    members_->record_message(from, now);
  }
  while (at < in.size()) {
    if (entry_code(in, at) == kMembershipUpdatesCode && terms_.guarded) {
      members_->receive(from, in.substr(at + 1), now);
      break;
    }
    const auto entry = read_entry(in, at, terms_.guarded);
    if (!entry) break;
    const bool sheds = std::holds_alternative<ShedShare>(entry->message);
    if (sheds && !is_dedicated_leader(from, terms_.members, terms_.dedicated_leaders)) break;
    out.entries.push_back(*entry);
  }
  return out;
}

bool Transport::update_heartbeats(Time now) {
  if (!terms_.guarded) return false;
  members_->take_due_messages(now);
  if (terms_.enabled) {
    for (int to = 0; to < terms_.members; ++to) {
      if (to != terms_.self &&
          now - peers_[static_cast<std::size_t>(to)].posted >= rights_->timings().interval)
        call(to);
    }
  }
  return rights_->update_view(now);
}

Time Transport::heartbeat_check_interval() const { return rights_->timings().interval / 4; }

}  // namespace cranemux::ledger
