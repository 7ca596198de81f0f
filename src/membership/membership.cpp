#include "membership/membership.h"

#include <algorithm>

#include "ledger/wire_encoding.h"

namespace cranemux::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxPendingMessages = 64;  // further ones are dropped, as the network may drop any
constexpr std::size_t kMaxRelayedProbes = 64;    // probes on behalf of others that are not answered yet
constexpr std::uint64_t kMaxAgeMs = std::uint64_t{1} << 42U;
constexpr std::uint8_t kIncarnations = 64;    // they are sent in six bits and wrap around
constexpr Time kRestartWindow = seconds(10);  // starts within it count as a restart of the whole tier

// Returns true if `a` comes after `b`. Incarnations wrap around, so the later one is the one that is less
// than half of their range ahead.
bool is_later_incarnation(std::uint8_t a, std::uint8_t b) {
  const auto ahead = static_cast<std::uint8_t>((a - b) % kIncarnations);
  return ahead != 0 && ahead < kIncarnations / 2;
}

void put_generation(std::string& out, std::uint16_t number) {
  out += static_cast<char>(number & 255U);
  out += static_cast<char>(number >> 8U);
}

// Trailers have a checksum of their own: an update that was damaged in a way that the datagram's checksum
// misses would be passed on from member to member.
constexpr std::size_t kChecksumBytes = 2;
std::uint32_t checksum_of(std::string_view trailer) {
  return ledger::hash_of(trailer.substr(kChecksumBytes)) & 0xffffU;
}
bool checksum_matches(std::string_view trailer) {
  if (trailer.size() <= kChecksumBytes) return false;
  const auto checksum = checksum_of(trailer);
  return static_cast<unsigned char>(trailer[0]) == (checksum & 255U) &&
         static_cast<unsigned char>(trailer[1]) == checksum >> 8U;
}

// Reads the fields of a trailer in order. After the first field that is cut off or out of its bounds, good()
// is false and all fields read as 0.
class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  std::uint64_t varint(std::uint64_t max) {
    std::uint64_t value = 0;
    good_ = good_ && ledger::get_varint(in_, at_, value) && value <= max;
    return good_ ? value : 0;
  }
  std::uint8_t byte() {
    good_ = good_ && at_ < in_.size();
    return good_ ? static_cast<std::uint8_t>(in_[at_++]) : std::uint8_t{0};
  }
  std::uint16_t generation() {
    const unsigned low = byte(), high = byte();
    return static_cast<std::uint16_t>(low | high << 8U);
  }
  bool good() const { return good_; }
  bool at_end() const { return at_ >= in_.size(); }

 private:
  std::string_view in_;
  std::size_t at_ = 0;
  bool good_ = true;
};

DetectionSettings with_members(DetectionSettings settings, int members) {
  settings.members = members;
  return settings;
}

}  // namespace

Membership::Membership(const Settings& settings, Time now)
    : settings_(settings),
      started_at_(now),
      period_(protocol_period(with_members(settings.detection, settings.members))),
      suspicion_timeout_(membership::suspicion_timeout(with_members(settings.detection, settings.members))),
      random_(settings.seed),
      members_(static_cast<std::size_t>(settings.members)),
      next_period_(now +
                   Time(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(period_.count())))) {
  auto& self = members_[static_cast<std::size_t>(settings_.self)];
  self.state = State::alive;
  self.generation = {settings_.generation, now};
  for (auto& member : members_) member.state_since = now;
  queue_update(settings_.self);
}

std::uint64_t Membership::age_ms(Time started_at, Time now) const {
  // Rounds up: the estimate of a start time must not get later as members pass it on.
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(now - started_at).count()));
}

// ---- Sending ----

std::string Membership::trailer(std::size_t max_bytes, Kind kind, int member, int requester,
                                std::uint32_t number, Time now) {
  std::string out(kChecksumBytes, '\0');
  put_generation(out, settings_.generation);
  ledger::put_varint(out, age_ms(started_at_, now));
  out += static_cast<char>(incarnation_);
  out += static_cast<char>(kind);
  ledger::put_varint(out, static_cast<std::uint64_t>(member + 1));
  ledger::put_varint(out, static_cast<std::uint64_t>(requester + 1));
  ledger::put_varint(out, number);
  if (out.size() > max_bytes) return {};
  // Updates that have been sent least often go first.
  std::vector<std::pair<int, int>> order;
  for (const auto& [index, update] : updates_) order.emplace_back(-update.transmissions_left, index);
  std::sort(order.begin(), order.end());
  for (const auto& [transmissions_left, index] : order) {
    const auto& about = members_[static_cast<std::size_t>(index)];
    std::string entry;
    ledger::put_varint(entry, static_cast<std::uint64_t>(index));
    entry += static_cast<char>(static_cast<unsigned>(about.state) | static_cast<unsigned>(about.incarnation)
                                                                        << 2U);
    put_generation(entry, about.generation.number);
    ledger::put_varint(entry, age_ms(about.generation.started_at, now));
    if (out.size() + entry.size() > max_bytes) break;
    out += entry;
    if (--updates_[index].transmissions_left <= 0) updates_.erase(index);
  }
  const auto checksum = checksum_of(out);
  for (std::size_t i = 0; i < kChecksumBytes; ++i) out[i] = static_cast<char>(checksum >> (8 * i));
  return out;
}

std::string Membership::piggyback(std::size_t max_bytes, Time now) {
  return trailer(max_bytes, Kind::none, -1, -1, 0, now);
}

std::vector<Message> Membership::take_due_messages(Time now, std::size_t max_bytes) {
  std::vector<Message> out;
  for (auto& member : members_) {
    if (member.state != State::suspect || now < member.state_since + suspicion_timeout_) continue;
    const auto index = static_cast<int>(&member - members_.data());
    ++counts_.failures;
    set_state(index, State::failed, now);
    queue_update(index);
  }
  if (!settings_.probes || settings_.members < 2) return out;
  while (!pending_messages_.empty()) {
    out.push_back(std::move(pending_messages_.front()));
    pending_messages_.pop_front();
  }
  std::erase_if(relayed_, [&](const RelayedProbe& relayed) { return now >= relayed.expires_at; });
  send_indirect_probes(now, out, max_bytes);
  if (now >= next_period_) start_next_probe(now, out, max_bytes);
  return out;
}

// Asks other members to probe the target of a probe that is not answered: only the direct path to it may have
// failed.
void Membership::send_indirect_probes(Time now, std::vector<Message>& out, std::size_t max_bytes) {
  if (!probe_ || probe_->indirect_sent || now < probe_->sent + indirect_probe_delay()) return;
  probe_->indirect_sent = true;
  std::vector<int> probers;
  for (int i = 0; i < settings_.members; ++i) {
    if (i != settings_.self && i != probe_->member && reachable(i)) probers.push_back(i);
  }
  std::shuffle(probers.begin(), probers.end(), random_);
  probers.resize(std::min(probers.size(), static_cast<std::size_t>(settings_.detection.indirect_probers)));
  for (const int prober : probers) {
    ++counts_.indirect_probes;
    out.push_back({prober, trailer(max_bytes, Kind::indirect_probe, probe_->member, settings_.self,
                                   probe_->number, now)});
  }
}

void Membership::start_next_probe(Time now, std::vector<Message>& out, std::size_t max_bytes) {
  next_period_ = now + period_;
  if (probe_) {
    const auto& member = members_[static_cast<std::size_t>(probe_->member)];
    if (member.state == State::alive) {
      ++counts_.suspicions;
      set_state(probe_->member, State::suspect, now);
      queue_update(probe_->member);
    }
    probe_.reset();
  }
  const int target = draw_probe_target();
  if (target < 0) return;
  // A member that was heard within the last period needs no probe.
  const auto& member = members_[static_cast<std::size_t>(target)];
  if (member.state == State::alive && member.last_heard != kNever && now - member.last_heard < period_)
    return;
  probe_ = Probe{target, ++last_probe_number_, now, false};
  ++counts_.probes;
  out.push_back({target, trailer(max_bytes, Kind::probe, target, settings_.self, probe_->number, now)});
}

// Returns the next member to probe, or -1. Each round probes all members in a new random order (SWIM, 4.3).
// Failed members are probed in one of four rounds on average, since they may have restarted, or a split may
// have ended.
int Membership::draw_probe_target() {
  for (int tries = 0; tries < 2 * settings_.members; ++tries) {
    if (probe_order_.empty()) {
      for (int i = 0; i < settings_.members; ++i) {
        if (i != settings_.self) probe_order_.push_back(i);
      }
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    const int target = probe_order_.back();
    probe_order_.pop_back();
    if (member(target).state != State::failed || random_() % 4 == 0) return target;
  }
  return -1;
}

Time Membership::next_due_at() const {
  auto at = next_period_;
  if (!pending_messages_.empty()) at = Time{0};
  if (probe_ && !probe_->indirect_sent) at = std::min(at, probe_->sent + indirect_probe_delay());
  return at;
}

// ---- Receiving ----

void Membership::record_message(int from, Time now) {
  if (from < 0 || from >= settings_.members || from == settings_.self) return;
  auto& member = members_[static_cast<std::size_t>(from)];
  member.last_heard = now;
  if (member.state != State::alive) {
    set_state(from, State::alive, now);
    queue_update(from);
  }
  if (probe_ && probe_->member == from) probe_.reset();
}

bool Membership::receive(int from, std::string_view trailer, Time now) {
  if (from < 0 || from >= settings_.members || from == settings_.self) return false;
  if (!checksum_matches(trailer)) {
    ++counts_.damaged;
    return false;
  }
  Reader in(trailer.substr(kChecksumBytes));
  Generation generation{in.generation(), {}};
  generation.started_at = now - milliseconds(in.varint(kMaxAgeMs));
  const auto incarnation = in.byte();
  const auto kind = in.byte();
  const auto size = static_cast<std::uint64_t>(settings_.members);
  const int member = static_cast<int>(in.varint(size)) - 1, requester = static_cast<int>(in.varint(size)) - 1;
  const auto number = static_cast<std::uint32_t>(in.varint(0xffffffffU));
  struct Update {
    int index;
    State state;
    std::uint8_t incarnation;
    Generation generation;
  };
  std::vector<Update> updates;
  while (in.good() && !in.at_end()) {
    Update update{};
    update.index = static_cast<int>(in.varint(size - 1));
    const auto state_and_incarnation = in.byte();
    update.state = static_cast<State>(state_and_incarnation & 3U);
    update.incarnation = state_and_incarnation >> 2U;
    update.generation = {in.generation(), {}};
    update.generation.started_at = now - milliseconds(in.varint(kMaxAgeMs));
    if (update.state == State::unknown) continue;
    updates.push_back(update);
  }
  if (!in.good() || kind > static_cast<std::uint8_t>(Kind::indirect_probe) || incarnation >= kIncarnations) {
    ++counts_.damaged;
    return false;
  }
  const auto& known = members_[static_cast<std::size_t>(from)];
  if (known.state != State::unknown && is_later_generation(generation, known.generation) &&
      !is_same_generation(known.generation, generation)) {
    ++counts_.stale_generations;  // delayed or duplicated by the network
    return false;
  }
  record_sender(from, generation, incarnation, now);
  for (const auto& update : updates)
    receive_update(update.index, update.state, update.incarnation, update.generation, now);
  handle_kind(from, static_cast<Kind>(kind), member, requester, number, now);
  return true;
}

// A message from the member itself overrides what others report about it.
void Membership::record_sender(int from, const Generation& generation, std::uint8_t incarnation, Time now) {
  auto& member = members_[static_cast<std::size_t>(from)];
  const bool new_generation =
      member.state == State::unknown || !is_same_generation(member.generation, generation);
  if (new_generation) {
    ++member.generations_seen;
    if (member.state != State::unknown) ++counts_.new_generations;
    member.generation = generation;
    member.incarnation = incarnation;
    queue_update(from);
  } else {
    member.generation.started_at = std::min(member.generation.started_at, generation.started_at);
    if (is_later_incarnation(incarnation, member.incarnation)) member.incarnation = incarnation;
  }
  record_message(from, now);
}

void Membership::receive_update(int index, State state, std::uint8_t incarnation,
                                const Generation& generation, Time now) {
  if (index == settings_.self) {
    // Only suspicions of the current generation are refuted: an earlier one has indeed ended.
    const bool own_generation = generation.number == settings_.generation &&
                                !is_later_generation(generation, {settings_.generation, started_at_});
    if (state == State::alive || !own_generation) return;
    if (incarnation == incarnation_ || is_later_incarnation(incarnation, incarnation_)) {
      incarnation_ = static_cast<std::uint8_t>((incarnation + 1) % kIncarnations);
      ++counts_.refutations;
      members_[static_cast<std::size_t>(index)].incarnation = incarnation_;
      queue_update(index);
    }
    return;
  }
  apply_update(index, state, incarnation, generation, now);
}

// A later generation overrides all that is known. Within one generation the later incarnation wins, and
// within one incarnation the larger State (SWIM, 4.2).
void Membership::apply_update(int index, State state, std::uint8_t incarnation, const Generation& generation,
                              Time now) {
  auto& member = members_[static_cast<std::size_t>(index)];
  if (state == State::alive) member.last_vouched_for = now;
  if (member.state == State::unknown || (is_later_generation(member.generation, generation) &&
                                         !is_same_generation(member.generation, generation))) {
    if (member.state != State::unknown) ++counts_.new_generations;
    ++member.generations_seen;
    member.generation = generation;
    member.incarnation = incarnation;
    set_state(index, state, now);
    queue_update(index);
    return;
  }
  if (!is_same_generation(member.generation, generation)) return;
  member.generation.started_at = std::min(member.generation.started_at, generation.started_at);
  const bool later = is_later_incarnation(incarnation, member.incarnation);
  const bool worse = incarnation == member.incarnation && state > member.state;
  // A message from the member itself within the last period outweighs another member's suspicion.
  const bool contradicted =
      state != State::alive && !later && member.last_heard != kNever && now - member.last_heard < period_;
  if ((!later && !worse) || contradicted) return;
  member.incarnation = incarnation;
  if (member.state == state) return;
  set_state(index, state, now);
  queue_update(index);
}

void Membership::handle_kind(int from, Kind kind, int member, int requester, std::uint32_t number, Time now) {
  constexpr std::size_t kMaxReplyBytes = 64;
  const auto enqueue = [&](int to, Kind what, int target, int whom, std::uint32_t which) {
    if (pending_messages_.size() >= kMaxPendingMessages) return;
    pending_messages_.push_back({to, trailer(kMaxReplyBytes, what, target, whom, which, now)});
  };
  if (kind == Kind::probe) {
    ++counts_.answers;
    enqueue(from, Kind::answer, settings_.self, requester, number);
  } else if (kind == Kind::indirect_probe && member >= 0 && member != settings_.self && requester >= 0) {
    if (relayed_.size() < kMaxRelayedProbes) relayed_.push_back({member, requester, number, now + period_});
    enqueue(member, Kind::probe, member, requester, number);
  } else if (kind == Kind::answer && member >= 0) {
    // The answer to a relayed probe is passed on to its requester. An answer to this member's own probe
    // proves that the target is alive, also where an indirect prober passed it on.
    for (const auto& relayed : relayed_) {
      if (relayed.member == member && relayed.number == number)
        enqueue(relayed.requester, Kind::answer, member, relayed.requester, number);
    }
    std::erase_if(relayed_, [&](const RelayedProbe& relayed) {
      return relayed.member == member && relayed.number == number;
    });
    if (probe_ && probe_->member == member && probe_->number == number && requester == settings_.self) {
      members_[static_cast<std::size_t>(member)].last_vouched_for = now;
      probe_.reset();
    }
  }
}

void Membership::set_state(int index, State state, Time now) {
  auto& member = members_[static_cast<std::size_t>(index)];
  member.state = state;
  member.state_since = now;
}

void Membership::queue_update(int index) {
  updates_[index].transmissions_left = transmissions(settings_.members);
}

// ---- Condition of the tier ----

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
    // Counts the members that started no earlier than shortly before this one.
    int restarted = 0;
    for (int i = 0; i < settings_.members; ++i) {
      const auto& m = member(i);
      restarted += i != settings_.self && m.state == State::alive &&
                   m.generation.started_at + kRestartWindow >= started_at_;
    }
    const bool all_restarted = restarted == others && now - started_at_ < 3 * kRestartWindow;
    return all_restarted ? TierCondition::all_restarted : TierCondition::healthy;
  }
  if (lost == others && now - started_at_ > suspicion_timeout_) return TierCondition::isolated;
  // Members that were last heard at about the same time are more likely behind a network split than failed.
  Time first_lost = Time::max(), last_lost = Time::min();
  for (int i = 0; i < settings_.members; ++i) {
    const auto& m = member(i);
    if (i == settings_.self || (m.state != State::failed && m.state != State::suspect)) continue;
    first_lost = std::min(first_lost, m.last_heard);
    last_lost = std::max(last_lost, m.last_heard);
  }
  const bool lost_together =
      lost >= 2 && last_lost - first_lost <= 2 * period_ * std::max(1, settings_.members - 1);
  return lost_together ? TierCondition::split : TierCondition::some_failed;
}

}  // namespace cranemux::membership
