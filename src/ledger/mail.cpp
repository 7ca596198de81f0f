#include "ledger/mail.h"

#include <algorithm>
#include <utility>

#include "ledger/frame.h"

namespace cranemux::ledger {
namespace {

constexpr std::uint8_t kTrusting = 6, kGuarded = 5;  // versions
constexpr std::size_t kHead = 3, kEntry = 5;
constexpr int kFigures[2][4] = {{9, 6, -1, -1}, {8, 6, 2, -1}};  // by kind; -1: there is none

membership::Settings members_of(const MailTerms& terms) {
  membership::Settings out;
  out.members = terms.members;
  out.self = terms.self;
  out.life = terms.life;
  out.seed = terms.seed;
  out.terms.messages_per_s = terms.messages_per_s;
  out.probes = false;  // votes flow to all, and prove as much
  return out;
}

}  // namespace

Mail::Mail(const MailTerms& terms, Time now)
    : terms_(terms), peers_(static_cast<std::size_t>(terms.members)), posted_(now) {
  if (!terms_.guarded) return;
  rights_ = std::make_unique<Rights>(terms_.members, terms_.self, terms_.life,
                                     beats_of(terms_.members, terms_.messages_per_s), now);
  members_ = std::make_unique<membership::Membership>(members_of(terms_), now);
}

std::size_t Mail::most_head() const { return terms_.guarded ? kMostHead : kHead; }

void Mail::call(int to) {
  if (!std::exchange(peers_[static_cast<std::size_t>(to)].called, true)) posts_.push_back(to);
}

void Mail::write(int to, const Entry& entry) {
  if (!terms_.flows) return;
  std::string out(1, static_cast<char>(static_cast<unsigned>(entry.kind) | entry.plan << 2U));
  put_fixed(out, entry.customer, 4);
  const int figures = kFigures[terms_.guarded][static_cast<std::size_t>(entry.kind)];
  for (int i = 0; i < figures; ++i) put(out, entry.figures[static_cast<std::size_t>(i)]);
  auto& entries = peers_[static_cast<std::size_t>(to)].entries;
  call(to);
  if (most_head() + entries.size() + out.size() <= terms_.message_bytes) entries += out;
}

std::string Mail::message(int to, Time now) {
  auto& peer = peers_[static_cast<std::size_t>(to)];
  peer.posted = now;
  peer.called = false;
  auto entries = std::exchange(peer.entries, {});
  std::string out;
  if (!terms_.guarded) {
    out += static_cast<char>(kTrusting);
    put_fixed(out, terms_.life, 2);
    return out + entries;
  }
  out = head(kGuarded, terms_.life, rights_->say(to, now)) + entries;
  if (out.size() + 1 >= terms_.message_bytes) return out;
  const auto news = members_->ride(terms_.message_bytes - out.size() - 1, now);
  if (!news.empty()) out += static_cast<char>(Kind::news) + news;
  return out;
}

void Mail::post(Time now, const std::function<void(int to, std::string bytes)>& send) {
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

std::optional<Mail::Letter> Mail::read(int from, std::string_view in, Time now) {
  if (from < 0 || from >= terms_.members || from == terms_.self || in.size() < kHead) return std::nullopt;
  if (static_cast<std::uint8_t>(in[0]) != (terms_.guarded ? kGuarded : kTrusting)) return std::nullopt;
  Letter out;
  out.life = static_cast<std::uint32_t>(fixed(in, 1, 2));
  std::size_t at = kHead;
  if (terms_.guarded) {
    std::uint16_t life = 0;
    Word word;
    if (!read_head(in, terms_.members, life, word, at) || !rights_->heard(from, life, word, now))
      return std::nullopt;
    out.life |= rights_->epoch(from) << 16U;  // numbers may be drawn again
    members_->heard(from, now);
  }
  while (at < in.size()) {
    Entry entry;
    const auto first = static_cast<unsigned char>(in[at]);
    entry.kind = static_cast<Kind>(first & 3U);
    entry.plan = first >> 2U;
    if (entry.kind == Kind::news && terms_.guarded) {
      members_->told(from, in.substr(at + 1), now);
      break;
    }
    const int figures = kFigures[terms_.guarded][first & 3U];
    if (figures < 0 || at + kEntry > in.size()) break;
    entry.customer = static_cast<std::uint32_t>(fixed(in, at + 1, 4));
    at += kEntry;
    bool whole = true;
    for (int i = 0; i < figures && whole; ++i)
      whole = get(in, at, entry.figures[static_cast<std::size_t>(i)]);
    if (!whole) break;
    out.entries.push_back(entry);
  }
  return out;
}

bool Mail::beat(Time now) {
  if (!terms_.guarded) return false;
  members_->due(now);
  if (terms_.flows) {
    for (int to = 0; to < terms_.members; ++to) {
      if (to != terms_.self && now - peers_[static_cast<std::size_t>(to)].posted >= rights_->beats().beat)
        call(to);
    }
  }
  return rights_->look(now);
}

Time Mail::every() const { return rights_->beats().beat / 4; }

}  // namespace cranemux::ledger
