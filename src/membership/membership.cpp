#include "membership/membership.h"

#include <algorithm>

#include "ledger/wire_encoding.h"

namespace cranemux::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMostOwed = 64;     // answers that wait; more are lost, as any message may be
constexpr std::size_t kMostRelayed = 64;  // probes for others under way
constexpr std::uint64_t kMostAge = std::uint64_t{1} << 42U;  // ms
constexpr std::uint8_t kIncarnations = 64;                   // they travel in six bits, and go round
constexpr Time kTogether = seconds(10);                      // starts within this are one event

// In a ring: whichever is less than half the way round ahead.
bool newer(std::uint8_t a, std::uint8_t b) {
  const auto ahead = static_cast<std::uint8_t>((a - b) % kIncarnations);
  return ahead != 0 && ahead < kIncarnations / 2;
}

void put_life(std::string& out, std::uint16_t number) {
  out += static_cast<char>(number & 255U);
  out += static_cast<char>(number >> 8U);
}

// Damage that a datagram's own sum has missed would be told on and on.
constexpr std::size_t kSum = 2;
std::uint32_t sum_of(std::string_view trailer) { return ledger::hash_of(trailer.substr(kSum)) & 0xffffU; }
bool sum_fits(std::string_view trailer) {
  if (trailer.size() <= kSum) return false;
  const auto sum = sum_of(trailer);
  return static_cast<unsigned char>(trailer[0]) == (sum & 255U) &&
         static_cast<unsigned char>(trailer[1]) == sum >> 8U;
}

class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  std::uint64_t figure(std::uint64_t most) {
    std::uint64_t value = 0;
    good_ = good_ && ledger::get_varint(in_, at_, value) && value <= most;
    return good_ ? value : 0;
  }
  std::uint8_t byte() {
    good_ = good_ && at_ < in_.size();
    return good_ ? static_cast<std::uint8_t>(in_[at_++]) : std::uint8_t{0};
  }
  std::uint16_t life() {
    const unsigned low = byte(), high = byte();
    return static_cast<std::uint16_t>(low | high << 8U);
  }
  bool good() const { return good_; }
  bool ends() const { return at_ >= in_.size(); }

 private:
  std::string_view in_;
  std::size_t at_ = 0;
  bool good_ = true;
};

DetectionSettings sized(DetectionSettings terms, int members) {
  terms.members = members;
  return terms;
}

}  // namespace

Membership::Membership(const Settings& settings, Time now)
    : settings_(settings),
      began_(now),
      period_(protocol_period(sized(settings.detection, settings.members))),
      suspicion_(membership::suspicion_timeout(sized(settings.detection, settings.members))),
      random_(settings.seed),
      members_(static_cast<std::size_t>(settings.members)),
      next_period_(now +
                   Time(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(period_.count())))) {
  auto& self = members_[static_cast<std::size_t>(settings_.self)];
  self.state = State::alive;
  self.generation = {settings_.generation, now};
  for (auto& member : members_) member.state_since = now;
  spread(settings_.self);
}

std::uint64_t Membership::age(Time began, Time now) const {
  // Rounded up: an estimate of a beginning must not get later from one to the next.
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(now - began).count()));
}

// ---- what goes out ----

std::string Membership::trailer(std::size_t room, Kind kind, int member, int asker, std::uint32_t number,
                                Time now) {
  std::string out(kSum, '\0');
  put_life(out, settings_.generation);
  ledger::put_varint(out, age(began_, now));
  out += static_cast<char>(incarnation_);
  out += static_cast<char>(kind);
  ledger::put_varint(out, static_cast<std::uint64_t>(member + 1));
  ledger::put_varint(out, static_cast<std::uint64_t>(asker + 1));
  ledger::put_varint(out, number);
  if (out.size() > room) return {};
  // What has been told least often goes first.
  std::vector<std::pair<int, int>> order;
  for (const auto& [index, news] : news_) order.emplace_back(-news.tellings, index);
  std::sort(order.begin(), order.end());
  for (const auto& [tellings, index] : order) {
    const auto& told = members_[static_cast<std::size_t>(index)];
    std::string entry;
    ledger::put_varint(entry, static_cast<std::uint64_t>(index));
    entry +=
        static_cast<char>(static_cast<unsigned>(told.state) | static_cast<unsigned>(told.incarnation) << 2U);
    put_life(entry, told.generation.number);
    ledger::put_varint(entry, age(told.generation.started_at, now));
    if (out.size() + entry.size() > room) break;
    out += entry;
    if (--news_[index].tellings <= 0) news_.erase(index);
  }
  const auto sum = sum_of(out);
  for (std::size_t i = 0; i < kSum; ++i) out[i] = static_cast<char>(sum >> (8 * i));
  return out;
}

std::string Membership::piggyback(std::size_t room, Time now) {
  return trailer(room, Kind::none, -1, -1, 0, now);
}

std::vector<Message> Membership::take_due_messages(Time now, std::size_t most) {
  std::vector<Message> out;
  for (auto& member : members_) {
    if (member.state != State::suspect || now < member.state_since + suspicion_) continue;
    const auto index = static_cast<int>(&member - members_.data());
    ++counts_.failures;
    set(index, State::failed, now);
    spread(index);
  }
  if (!settings_.probes || settings_.members < 2) return out;
  while (!owed_.empty()) {
    out.push_back(std::move(owed_.front()));
    owed_.pop_front();
  }
  std::erase_if(relayed_, [&](const Relayed& r) { return now >= r.until; });
  help(now, out, most);
  if (now >= next_period_) next_probe(now, out, most);
  return out;
}

// The probe has had no answer: others may reach the member.
void Membership::help(Time now, std::vector<Message>& out, std::size_t most) {
  if (!probe_ || probe_->helped || now < probe_->sent + helper_wait()) return;
  probe_->helped = true;
  std::vector<int> others;
  for (int i = 0; i < settings_.members; ++i) {
    if (i != settings_.self && i != probe_->member && reachable(i)) others.push_back(i);
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(others.size(), static_cast<std::size_t>(settings_.detection.indirect_probers)));
  for (const int helper : others) {
    ++counts_.indirect_probes;
    out.push_back(
        {helper, trailer(most, Kind::indirect_probe, probe_->member, settings_.self, probe_->number, now)});
  }
}

void Membership::next_probe(Time now, std::vector<Message>& out, std::size_t most) {
  next_period_ = now + period_;
  if (probe_) {
    const auto& member = members_[static_cast<std::size_t>(probe_->member)];
    if (member.state == State::alive) {
      ++counts_.suspicions;
      set(probe_->member, State::suspect, now);
      spread(probe_->member);
    }
    probe_.reset();
  }
  const int target = draw_target();
  if (target < 0) return;
  // What has been heard within the period needs no question.
  const auto& member = members_[static_cast<std::size_t>(target)];
  if (member.state == State::alive && member.last_heard != kNever && now - member.last_heard < period_)
    return;
  probe_ = Probe{target, ++number_, now, false};
  ++counts_.probes;
  out.push_back({target, trailer(most, Kind::probe, target, settings_.self, probe_->number, now)});
}

// Round by round in an order of its own (SWIM, 4.3). Those held gone are asked now and then: they may be
// back, or a split may have healed.
int Membership::draw_target() {
  for (int tries = 0; tries < 2 * settings_.members; ++tries) {
    if (round_.empty()) {
      for (int i = 0; i < settings_.members; ++i) {
        if (i != settings_.self) round_.push_back(i);
      }
      std::shuffle(round_.begin(), round_.end(), random_);
    }
    const int target = round_.back();
    round_.pop_back();
    if (member(target).state != State::failed || random_() % 4 == 0) return target;
  }
  return -1;
}

Time Membership::next_due_at() const {
  auto at = next_period_;
  if (!owed_.empty()) at = Time{0};
  if (probe_ && !probe_->helped) at = std::min(at, probe_->sent + helper_wait());
  return at;
}

// ---- what comes in ----

void Membership::record_message(int from, Time now) {
  if (from < 0 || from >= settings_.members || from == settings_.self) return;
  auto& member = members_[static_cast<std::size_t>(from)];
  member.last_heard = now;
  if (member.state != State::alive) {
    set(from, State::alive, now);
    spread(from);
  }
  if (probe_ && probe_->member == from) probe_.reset();
}

bool Membership::receive(int from, std::string_view trailer, Time now) {
  if (from < 0 || from >= settings_.members || from == settings_.self) return false;
  if (!sum_fits(trailer)) {
    ++counts_.damaged;
    return false;
  }
  Reader in(trailer.substr(kSum));
  Generation life{in.life(), {}};
  life.started_at = now - milliseconds(in.figure(kMostAge));
  const auto incarnation = in.byte();
  const auto kind = in.byte();
  const auto size = static_cast<std::uint64_t>(settings_.members);
  const int member = static_cast<int>(in.figure(size)) - 1, asker = static_cast<int>(in.figure(size)) - 1;
  const auto number = static_cast<std::uint32_t>(in.figure(0xffffffffU));
  struct Item {
    int index;
    State state;
    std::uint8_t incarnation;
    Generation generation;
  };
  std::vector<Item> items;
  while (in.good() && !in.ends()) {
    Item item{};
    item.index = static_cast<int>(in.figure(size - 1));
    const auto both = in.byte();
    item.state = static_cast<State>(both & 3U);
    item.incarnation = both >> 2U;
    item.generation = {in.life(), {}};
    item.generation.started_at = now - milliseconds(in.figure(kMostAge));
    if (item.state == State::unknown) continue;
    items.push_back(item);
  }
  if (!in.good() || kind > static_cast<std::uint8_t>(Kind::indirect_probe) || incarnation >= kIncarnations) {
    ++counts_.damaged;
    return false;
  }
  const auto& known = members_[static_cast<std::size_t>(from)];
  if (known.state != State::unknown && is_later_generation(life, known.generation) &&
      !is_same_generation(known.generation, life)) {
    ++counts_.stale_generations;  // it has come late, or was sent again
    return false;
  }
  proved(from, life, incarnation, now);
  for (const auto& item : items) news_of(item.index, item.state, item.incarnation, item.generation, now);
  act_on(from, static_cast<Kind>(kind), member, asker, number, now);
  return true;
}

// A message of its own is the best proof there is.
void Membership::proved(int from, const Generation& life, std::uint8_t incarnation, Time now) {
  auto& member = members_[static_cast<std::size_t>(from)];
  const bool fresh = member.state == State::unknown || !is_same_generation(member.generation, life);
  if (fresh) {
    ++member.generations_seen;
    if (member.state != State::unknown) ++counts_.new_generations;
    member.generation = life;
    member.incarnation = incarnation;
    spread(from);
  } else {
    member.generation.started_at = std::min(member.generation.started_at, life.started_at);
    if (newer(incarnation, member.incarnation)) member.incarnation = incarnation;
  }
  record_message(from, now);
}

void Membership::news_of(int index, State state, std::uint8_t incarnation, const Generation& life, Time now) {
  if (index == settings_.self) {
    // Rumours of this life are refuted; those of an earlier one are true.
    const bool mine =
        life.number == settings_.generation && !is_later_generation(life, {settings_.generation, began_});
    if (state == State::alive || !mine) return;
    if (incarnation == incarnation_ || newer(incarnation, incarnation_)) {
      incarnation_ = static_cast<std::uint8_t>((incarnation + 1) % kIncarnations);
      ++counts_.refutations;
      members_[static_cast<std::size_t>(index)].incarnation = incarnation_;
      spread(index);
    }
    return;
  }
  apply(index, state, incarnation, life, now);
}

// SWIM, 4.2: of one life the later incarnation wins, of one incarnation the worse news; a later life beats
// all.
void Membership::apply(int index, State state, std::uint8_t incarnation, const Generation& life, Time now) {
  auto& member = members_[static_cast<std::size_t>(index)];
  if (state == State::alive) member.last_vouched_for = now;
  if (member.state == State::unknown ||
      (is_later_generation(member.generation, life) && !is_same_generation(member.generation, life))) {
    if (member.state != State::unknown) ++counts_.new_generations;
    ++member.generations_seen;
    member.generation = life;
    member.incarnation = incarnation;
    set(index, state, now);
    spread(index);
    return;
  }
  if (!is_same_generation(member.generation, life)) return;
  member.generation.started_at = std::min(member.generation.started_at, life.started_at);
  const bool later = newer(incarnation, member.incarnation);
  const bool worse = incarnation == member.incarnation && state > member.state;
  // Hearsay does not stand against what was heard here just now.
  const bool contradicted =
      state != State::alive && !later && member.last_heard != kNever && now - member.last_heard < period_;
  if ((!later && !worse) || contradicted) return;
  member.incarnation = incarnation;
  if (member.state == state) return;
  set(index, state, now);
  spread(index);
}

void Membership::act_on(int from, Kind kind, int member, int asker, std::uint32_t number, Time now) {
  constexpr std::size_t kAnswerBytes = 64;
  const auto owe = [&](int to, Kind what, int about, int whom, std::uint32_t which) {
    if (owed_.size() >= kMostOwed) return;
    owed_.push_back({to, trailer(kAnswerBytes, what, about, whom, which, now)});
  };
  if (kind == Kind::probe) {
    ++counts_.answers;
    owe(from, Kind::answer, settings_.self, asker, number);
  } else if (kind == Kind::indirect_probe && member >= 0 && member != settings_.self && asker >= 0) {
    if (relayed_.size() < kMostRelayed) relayed_.push_back({member, asker, number, now + period_});
    owe(member, Kind::probe, member, asker, number);
  } else if (kind == Kind::answer && member >= 0) {
    // Of a probe for another: its answer is passed on. A helper's answer to ours proves the member, not only
    // it.
    for (const auto& r : relayed_) {
      if (r.member == member && r.number == number) owe(r.asker, Kind::answer, member, r.asker, number);
    }
    std::erase_if(relayed_, [&](const Relayed& r) { return r.member == member && r.number == number; });
    if (probe_ && probe_->member == member && probe_->number == number && asker == settings_.self) {
      members_[static_cast<std::size_t>(member)].last_vouched_for = now;
      probe_.reset();
    }
  }
}

void Membership::set(int index, State state, Time now) {
  auto& member = members_[static_cast<std::size_t>(index)];
  member.state = state;
  member.state_since = now;
}

void Membership::spread(int index) { news_[index].tellings = transmissions(settings_.members); }

// ---- what it comes to ----

int Membership::count(State state) const {
  int out = 0;
  for (int i = 0; i < settings_.members; ++i) out += i != settings_.self && member(i).state == state;
  return out;
}

TierCondition Membership::tier_condition(Time now) const {
  const int others = settings_.members - 1;
  if (others < 1) return TierCondition::healthy;
  const int lost = count(State::failed) + count(State::suspect);
  if (lost == 0) {
    // Everyone has begun at about the time when this one did.
    int young = 0;
    for (int i = 0; i < settings_.members; ++i) {
      const auto& m = member(i);
      young +=
          i != settings_.self && m.state == State::alive && m.generation.started_at + kTogether >= began_;
    }
    const bool all = young == others && now - began_ < 3 * kTogether;
    return all ? TierCondition::all_restarted : TierCondition::healthy;
  }
  if (lost == others && now - began_ > suspicion_) return TierCondition::isolated;
  // Several that were lost together, and are not back one by one, are behind a split rather than dead.
  Time first = Time::max(), last = Time::min();
  for (int i = 0; i < settings_.members; ++i) {
    const auto& m = member(i);
    if (i == settings_.self || (m.state != State::failed && m.state != State::suspect)) continue;
    first = std::min(first, m.last_heard);
    last = std::max(last, m.last_heard);
  }
  const bool together = lost >= 2 && last - first <= 2 * period_ * std::max(1, settings_.members - 1);
  return together ? TierCondition::split : TierCondition::some_failed;
}

}  // namespace cranemux::membership
