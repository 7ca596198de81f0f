#include "scale/hollow.h"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <barrier>
#include <cmath>
#include <fstream>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>

#include "ledger/replica_placement.h"
#include "ledger/wire_encoding.h"
#include "scale/store.h"

namespace cranemux::scale {
namespace {

constexpr Nanos kSecond = 1'000'000'000, kMs = 1'000'000;
constexpr Nanos kBegin = 100 * kSecond;                 // no clock begins at 0
constexpr double kFaultCounts = 60;                     // seconds after the beginning of a fault
constexpr double kNotice = 1.3, kNoticeMost = 4.2;      // discovery's, of a lost or returned zone, in seconds
constexpr double kBackoff = 0.02, kBackoffMost = 0.16;  // of a client's retry, in seconds

Nanos nanos(double seconds) { return std::llround(seconds * kSecond); }
// Of the calling thread: what runs beside it does not count.
double processor_ns() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) * 1e9 + static_cast<double>(at.tv_nsec);
}
double resident_kb() {
  std::ifstream in("/proc/self/statm");
  double size = 0, resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

double seconds(Nanos at) { return static_cast<double>(at - kBegin) / kSecond; }

// ---- what moves between gatekeepers, and through the clock of one --------------------------------

struct Try {
  int customer = 0, units = 1, service = 0, left = 0;  // retries that are left
  bool booking = false, again = false;
  Nanos first_at = 0, at = 0;
};
struct Datagram {
  int from = 0;
  std::string bytes;
};
struct Answer {
  std::uint64_t request = 0;
  int attempt = 0;
  Result result = Result::ok;
  Nanos sent = 0;
};
struct Tick {
  int service = 0;
  Nanos at = 0;
};
struct Listed {  // discovery tells of a zone's workers
  int zone = 0;
  bool back = false;
};
struct Restart {};
struct Arrives {};
using What = std::variant<Try, Datagram, Answer, Tick, Listed, Restart, Arrives>;

struct Due {
  Nanos at = 0;
  std::uint64_t order = 0;
  What what;
  bool operator>(const Due& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
};

struct Spent {  // or refused
  Nanos at = 0;
  std::int32_t customer = 0;
  std::int16_t units = 0;
  bool refused = false;
};

struct Counts {
  double tries = 0, served = 0, sent = 0, sent_bytes = 0, come = 0, come_bytes = 0, lost = 0, drowned = 0;
  double mail_ns = 0, clock_ns = 0, request_ns = 0;
  std::vector<float> held_ms;
  std::vector<Spent> spent;
};

class Fleet;

class Hollow {
 public:
  Hollow(Fleet& fleet, int index);
  void run(Nanos until);
  void put(Nanos at, What what) { due_.push({at, ++order_, std::move(what)}); }
  struct Out {
    int to = 0;
    Nanos at = 0;
    What what;
  };
  std::vector<Out> out;  // to other gatekeepers, since the last window
  Counts counts;

 private:
  struct Pending {
    Try of;
    int attempts = 0;
    std::uint32_t over = 0;  // a bit for each attempt that has ended
    bool answered = false;
  };
  void begin();
  void feed(int service, const std::vector<Event>& events, double& cost);
  void carry_out(int service, const Action& action);
  void end(std::uint64_t id, bool refused);
  ServerEntry entry_of(int worker) const;
  ServerList list_of(int service) const;

  void on(const Try& one);
  void on(const Datagram& mail);
  void on(const Answer& answer);
  void on(const Tick& tick);
  void on(const Listed& listed);
  void on(const Restart&);
  void on(const Arrives&);
  double drawn() { return static_cast<double>(random_() >> 11U) / 9007199254740992.0; }

  Fleet& fleet_;
  const int index_;
  std::mt19937_64 random_;
  Nanos now_ = kBegin;
  std::uint64_t order_ = 0, ids_ = 0;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::vector<DecisionModule> modules_;  // by service; the first one's quotas are all of theirs
  std::vector<Nanos> ticks_;             // by service
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::vector<Nanos> zone_back_;  // by zone: when its workers started, by discovery; 0: long ago, -1: gone
  std::unique_ptr<Arrivals> arrivals_;
  Arrival next_;
  double intake_ = 0;  // datagrams that may be taken in
  Nanos taken_ = kBegin;
};

class Fleet {
 public:
  Fleet(const Scenario& scenario, int threads);
  std::vector<Row> play();

  const Scenario& s;
  const std::vector<Customer> customers;
  int zone_of(int gatekeeper) const { return gatekeeper * s.zones / s.members(); }
  int region_of(int gatekeeper) const { return zone_of(gatekeeper) * s.regions / s.zones; }
  bool lost_zone(int zone, Nanos now) const;
  bool counts_at(Nanos now) const { return now >= kBegin + nanos(s.warm_s); }
  // Way of a datagram: nothing where it is cut or lost.
  bool carries(int from, int to, Nanos now, double draw) const;
  Nanos delay(int from, int to, double draw) const;
  Nanos end() const { return kBegin + nanos(s.warm_s + s.seconds); }

 private:
  void plan_faults();
  std::vector<Row> rows(double memory_kb);

  const int threads_;
  const double before_kb_;
  std::vector<std::unique_ptr<Hollow>> gatekeepers_;
};

// ---- one gatekeeper ------------------------------------------------------------------------------

Hollow::Hollow(Fleet& fleet, int index)
    : fleet_(fleet),
      index_(index),
      random_(fleet.s.seed * 1'000'003 + static_cast<std::uint64_t>(index)),
      zone_back_(static_cast<std::size_t>(fleet.s.zones), 0) {
  begin();
  if (index_ >= fleet_.s.gatekeepers) return;
  arrivals_ = std::make_unique<Arrivals>(fleet.s, fleet.customers, index);
  next_ = arrivals_->next();
  put(kBegin + nanos(next_.at_s), Arrives{});
}

ServerEntry Hollow::entry_of(int worker) const {
  const int zone = worker % fleet_.s.zones;
  const auto back = zone_back_[static_cast<std::size_t>(zone)];
  return {std::to_string(worker),
          "z" + std::to_string(zone),
          0,
          back < 0 ? ServerState::removed : ServerState::running,
          1,
          std::max<Nanos>(0, back)};
}

ServerList Hollow::list_of(int service) const {
  ServerList list{ListScope::stored, {}};
  for (int w = service; w < fleet_.s.workers; w += fleet_.s.services) list.servers.push_back(entry_of(w));
  return list;
}

void Hollow::begin() {
  auto settings = fleet_.s.settings();
  settings.index = index_;
  settings.zone = "z" + std::to_string(fleet_.zone_of(index_));
  modules_.clear();
  pending_.clear();
  ticks_.assign(static_cast<std::size_t>(fleet_.s.services), 0);
  for (int service = 0; service < fleet_.s.services; ++service) {
    settings.seed = random_();
    service == 0 ? modules_.emplace_back(settings) : modules_.emplace_back(settings, modules_.front());
  }
  for (int service = 0; service < fleet_.s.services; ++service) {
    double begun = 0;
    feed(service, {list_of(service)}, begun);
  }
}

void Hollow::run(Nanos until) {
  while (!due_.empty() && due_.top().at < until) {
    // The queue orders by time alone, so what has come out of it may be moved.
    auto due = std::move(const_cast<Due&>(due_.top()));
    due_.pop();
    now_ = due.at;
    std::visit([this](const auto& what) { on(what); }, due.what);
  }
}

void Hollow::feed(int service, const std::vector<Event>& events, double& cost) {
  std::vector<Action> actions;
  const double from = processor_ns();
  modules_[static_cast<std::size_t>(service)].step(now_, events, actions);
  if (fleet_.counts_at(now_)) cost += processor_ns() - from;
  for (const auto& action : actions) carry_out(service, action);
}

void Hollow::carry_out(int service, const Action& action) {
  if (const auto* timer = std::get_if<SetTimer>(&action)) {
    ticks_[static_cast<std::size_t>(service)] = timer->at;
    put(timer->at, Tick{service, timer->at});
  } else if (const auto* tell = std::get_if<SendToPeer>(&action)) {
    const bool counts_now = fleet_.counts_at(now_);
    counts.sent += counts_now;
    counts.sent_bytes += counts_now * static_cast<double>(tell->bytes.size());
    if (fleet_.carries(index_, tell->to, now_, drawn()))
      out.push_back(
          {tell->to, now_ + fleet_.delay(index_, tell->to, drawn()), Datagram{index_, tell->bytes}});
    else
      counts.lost += counts_now;
  } else if (const auto* send = std::get_if<Send>(&action)) {
    const auto id = std::stoull(send->request);
    auto& pending = pending_.at(id);
    if (pending.attempts == 0) {
      if (fleet_.counts_at(now_))
        counts.held_ms.push_back(static_cast<float>(now_ - pending.of.at) / static_cast<float>(kMs));
      counts.spent.push_back({now_, pending.of.customer, static_cast<std::int16_t>(pending.of.units), false});
    }
    const int zone = std::stoi(send->server) % fleet_.s.zones;
    const auto work = nanos(-std::log(1 - drawn()) * fleet_.s.work_ms / 1000);
    const bool late = work > send->timeout || fleet_.lost_zone(zone, now_);
    put(now_ + (late ? send->timeout : work),
        Answer{id, pending.attempts++, late ? Result::timeout : Result::ok, now_});
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    put(now_, Answer{std::stoull(cancel->request), cancel->attempt, Result::cancelled, now_});
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    end(std::stoull(refuse->request), true);
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    end(std::stoull(fail->request), false);
  }
}

void Hollow::end(std::uint64_t id, bool refused) {
  const auto at = pending_.find(id);
  if (at == pending_.end()) return;
  at->second.answered = true;
  auto again = at->second.of;
  if (at->second.attempts == 0 && refused)
    counts.spent.push_back({now_, again.customer, static_cast<std::int16_t>(again.units), true});
  if (at->second.attempts == 0) pending_.erase(at);
  if (!refused || again.left <= 0) return;
  const auto& customer = fleet_.customers[static_cast<std::size_t>(again.customer)];
  const auto wait = nanos(kBackoff + (kBackoffMost - kBackoff) * drawn());
  const int place = static_cast<int>(drawn() * customer.spread);
  --again.left;
  again.again = true;
  out.push_back({(customer.first + place) % fleet_.s.gatekeepers, now_ + wait, again});
}

void Hollow::on(const Arrives&) {
  Try one{next_.customer, next_.units, next_.service, fleet_.s.retries, next_.booking, false, now_, now_};
  next_ = arrivals_->next();
  put(std::max(now_, kBegin + nanos(next_.at_s)), Arrives{});
  on(one);
}

void Hollow::on(const Try& come) {
  const auto id = ++ids_;
  auto one = come;
  one.at = now_;
  const auto& customer = fleet_.customers[static_cast<std::size_t>(one.customer)];
  const auto settings_give_up = one.booking ? 2000 * kMs : 1500 * kMs;
  Request request;
  request.id = std::to_string(id);
  request.klass = one.booking ? "book" : "look";
  request.plan = "p" + std::to_string(customer.plan);
  request.customer = customer.id;
  request.budget = settings_give_up - (now_ - one.first_at);
  request.units = one.units;
  request.first = customer.first;
  request.spread = customer.spread;
  request.repeat = one.again;
  counts.tries += fleet_.counts_at(now_);
  pending_[id].of = one;
  feed(one.service, {request}, counts.request_ns);
}

void Hollow::on(const Datagram& mail) {
  const bool counts_now = fleet_.counts_at(now_);
  counts.come += counts_now;
  counts.come_bytes += counts_now * static_cast<double>(mail.bytes.size());
  const double most = index_ < fleet_.s.gatekeepers ? fleet_.s.mail_in_per_s : fleet_.s.control_in_per_s;
  intake_ =
      std::min(most, intake_ + most * static_cast<double>(now_ - std::exchange(taken_, now_)) / kSecond);
  if (intake_ < 1) {
    counts.drowned += counts_now;
    return;
  }
  intake_ -= 1;
  feed(0, {PeerMessage{mail.from, mail.bytes}}, counts.mail_ns);
}

void Hollow::on(const Answer& answer) {
  const auto at = pending_.find(answer.request);
  if (at == pending_.end()) return;
  auto& pending = at->second;
  const auto bit = 1U << static_cast<unsigned>(answer.attempt);
  if ((pending.over & bit) != 0) return;
  pending.over |= bit;
  const bool last = !pending.answered && answer.result == Result::ok;
  if (last) counts.served += fleet_.counts_at(now_);
  pending.answered = pending.answered || last;
  const int service = pending.of.service;
  const auto id = answer.request;
  feed(service, {Outcome{std::to_string(id), answer.attempt, answer.result, now_ - answer.sent, last, 0, {}}},
       counts.request_ns);
  const auto now_at = pending_.find(id);
  if (now_at == pending_.end() || !now_at->second.answered) return;
  if (now_at->second.over == (1U << static_cast<unsigned>(now_at->second.attempts)) - 1)
    pending_.erase(now_at);
}

void Hollow::on(const Tick& tick) {
  if (ticks_[static_cast<std::size_t>(tick.service)] != tick.at) return;  // set anew since
  feed(tick.service, {Timer{1}}, counts.clock_ns);
}

void Hollow::on(const Listed& listed) {
  zone_back_[static_cast<std::size_t>(listed.zone)] = listed.back ? now_ : -1;
  for (int service = 0; service < fleet_.s.services; ++service) {
    ServerList list{ListScope::changes, {}};
    for (int w = service; w < fleet_.s.workers; w += fleet_.s.services) {
      if (w % fleet_.s.zones == listed.zone) list.servers.push_back(entry_of(w));
    }
    if (!list.servers.empty()) feed(service, {list}, counts.clock_ns);
  }
}

void Hollow::on(const Restart&) { begin(); }

// ---- all of them ---------------------------------------------------------------------------------

Fleet::Fleet(const Scenario& scenario, int threads)
    : s(scenario),
      customers(customers_of(scenario)),
      threads_(std::max(1, threads)),
      before_kb_(resident_kb()) {
  for (int g = 0; g < s.members(); ++g) gatekeepers_.push_back(std::make_unique<Hollow>(*this, g));
  plan_faults();
}

bool Fleet::lost_zone(int zone, Nanos now) const {
  return std::any_of(s.faults.begin(), s.faults.end(), [&](const Fault& f) {
    return f.kind == FaultKind::zone_lost && f.zone == zone && now >= kBegin + nanos(f.at_s) &&
           now < kBegin + nanos(f.at_s + f.for_s);
  });
}

bool Fleet::carries(int from, int to, Nanos now, double draw) const {
  for (const auto& f : s.faults) {
    const bool on = now >= kBegin + nanos(f.at_s) && now < kBegin + nanos(f.at_s + f.for_s);
    if (on && f.kind == FaultKind::regions_cut && region_of(from) != region_of(to)) return false;
    if (on && f.kind == FaultKind::zone_lost && (zone_of(from) == f.zone || zone_of(to) == f.zone))
      return false;
  }
  if (zone_of(from) == zone_of(to)) return draw >= s.zone_loss;
  return draw >= (region_of(from) == region_of(to) ? s.region_loss : s.cross_loss);
}

Nanos Fleet::delay(int from, int to, double draw) const {
  const double least = zone_of(from) == zone_of(to)       ? s.zone_ms
                       : region_of(from) == region_of(to) ? s.region_ms
                                                          : s.cross_ms;
  return nanos((least + s.jitter_ms * draw) / 1000);
}

void Fleet::plan_faults() {
  std::mt19937_64 random(s.seed + 77);
  const auto drawn = [&] { return static_cast<double>(random() >> 11U) / 9007199254740992.0; };
  for (const auto& f : s.faults) {
    const auto at = kBegin + nanos(f.at_s);
    if (f.kind == FaultKind::restart) {
      std::vector<int> order(static_cast<std::size_t>(s.gatekeepers));
      std::iota(order.begin(), order.end(), 0);
      std::shuffle(order.begin(), order.end(), random);
      for (int i = 0; i < std::min(f.gatekeepers, s.gatekeepers); ++i)
        gatekeepers_[static_cast<std::size_t>(order[static_cast<std::size_t>(i)])]->put(
            at + nanos(f.for_s * drawn()), Restart{});
    } else if (f.kind == FaultKind::kill_keepers) {
      const auto& customer = customers[static_cast<std::size_t>(f.customer)];
      for (int rank = 0; rank < 2; ++rank) {
        const int keeper = ledger::leader_at(ledger::hash_of(customer.id), 0, rank, customer.first,
                                             customer.spread, s.members(), s.control_machines);
        gatekeepers_[static_cast<std::size_t>(keeper)]->put(at, Restart{});
      }
    } else if (f.kind == FaultKind::zone_lost) {
      for (auto& gatekeeper : gatekeepers_) {
        gatekeeper->put(at + nanos(kNotice + (kNoticeMost - kNotice) * drawn()), Listed{f.zone, false});
        gatekeeper->put(at + nanos(f.for_s + kNotice + (kNoticeMost - kNotice) * drawn()),
                        Listed{f.zone, true});
      }
    }
  }
}

std::vector<Row> Fleet::play() {
  // Nothing reaches another gatekeeper sooner than this, so each plays so far alone.
  const auto window = std::max<Nanos>(100'000, nanos(std::min({s.zone_ms, s.region_ms, s.cross_ms}) / 1000));
  Nanos until = kBegin;
  const auto step = [&]() noexcept {
    for (auto& gatekeeper : gatekeepers_) {
      for (auto& out : gatekeeper->out)
        gatekeepers_[static_cast<std::size_t>(out.to)]->put(std::max(out.at, until), std::move(out.what));
      gatekeeper->out.clear();
    }
    until += window;
  };
  step();
  std::barrier turn(threads_, step);
  {
    std::vector<std::jthread> workers;
    for (int t = 0; t < threads_; ++t) {
      workers.emplace_back([&, t] {
        while (until <= end()) {
          for (std::size_t g = static_cast<std::size_t>(t); g < gatekeepers_.size();
               g += static_cast<std::size_t>(threads_))
            gatekeepers_[g]->run(until);
          turn.arrive_and_wait();
        }
      });
    }
  }
  return rows(resident_kb() - before_kb_);
}

double at_part(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

// By Behaviour's order.
constexpr std::array kBehaviours{"calm", "full", "heavy", "spiky"};

// What customers got, by their perfect stores.
struct Kept {
  double units = 0, beyond = 0, tries = 0, refused = 0, room = 0, half = 0;
  void add(const Spent& one, Store& store, double now_s, bool counts) {
    if (one.refused) {
      const double level = store.level(now_s);
      tries += counts;
      refused += counts;
      room += counts && level >= one.units;
      half += counts && level >= std::max<double>(one.units, store.burst() / 2);
      return;
    }
    const double over = store.take(one.units, now_s);
    tries += counts;
    units += counts * one.units;
    beyond += counts * over;
  }
};

std::vector<Row> Fleet::rows(double memory_kb) {
  std::vector<Row> out;
  const auto add = [&](const std::string& measure, const std::string& unit, double value) {
    out.push_back({"", s.seed, "hollow", s.name, static_cast<double>(s.gatekeepers),
                   static_cast<double>(s.workers), static_cast<double>(s.services),
                   static_cast<double>(s.customers), 0, s.requests_per_s, measure, unit, value});
  };
  // Of the gatekeepers, and, as `machine_...`, of the members set aside.
  const auto by_gatekeeper = [&](const std::string& measure, const std::string& unit, auto figure) {
    const auto serving = gatekeepers_.begin() + s.gatekeepers;
    const auto add_role = [&](const std::string& name, auto from, auto to) {
      std::vector<double> values;
      for (; from != to; ++from) values.push_back(figure((*from)->counts));
      if (values.empty()) return;
      add(name, unit,
          std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size()));
      add(name + "_p99", unit, at_part(values, 0.99));
    };
    add_role(measure, gatekeepers_.begin(), serving);
    add_role("machine_" + measure, serving, gatekeepers_.end());
  };
  by_gatekeeper("mail_out", "datagrams/s", [&](const Counts& c) { return c.sent / s.seconds; });
  by_gatekeeper("mail_in", "datagrams/s", [&](const Counts& c) { return c.come / s.seconds; });
  by_gatekeeper("bytes_out", "B/s", [&](const Counts& c) { return c.sent_bytes / s.seconds; });
  by_gatekeeper("bytes_in", "B/s", [&](const Counts& c) { return c.come_bytes / s.seconds; });
  by_gatekeeper("control_cpu", "percent",
                [&](const Counts& c) { return (c.mail_ns + c.clock_ns) / s.seconds / 1e7; });
  by_gatekeeper("mail_cpu", "percent", [&](const Counts& c) { return c.mail_ns / s.seconds / 1e7; });
  by_gatekeeper("request_cpu", "percent", [&](const Counts& c) { return c.request_ns / s.seconds / 1e7; });
  Counts all;
  std::vector<Spent> spent;
  std::vector<double> held;
  for (auto& g : gatekeepers_) {
    const auto& c = g->counts;
    all.tries += c.tries;
    all.sent += c.sent;
    all.lost += c.lost;
    all.drowned += c.drowned;
    all.served += c.served;
    held.insert(held.end(), c.held_ms.begin(), c.held_ms.end());
    spent.insert(spent.end(), c.spent.begin(), c.spent.end());
    g->counts.spent = {};
  }
  add("memory", "KB", memory_kb / static_cast<double>(gatekeepers_.size()));
  add("mail_per_try", "datagrams", all.sent / std::max(1.0, all.tries));
  add("mail_lost", "percent", 100 * all.lost / std::max(1.0, all.sent));
  add("mail_drowned", "percent", 100 * all.drowned / std::max(1.0, all.sent));
  add("served", "percent", 100 * all.served / std::max(1.0, all.tries));
  for (const auto& [name, part] :
       {std::pair{"held_p50", 0.5}, {"held_p90", 0.9}, {"held_p99", 0.99}, {"held_p999", 0.999}})
    add(name, "ms", at_part(held, part));

  const auto plans = s.settings().plans;
  std::vector<Store> stores;
  for (const auto& customer : customers) {
    const auto& plan = plans[static_cast<std::size_t>(customer.plan)];
    stores.emplace_back(plan.rate, plan.burst);
  }
  std::stable_sort(spent.begin(), spent.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  Kept kept, faulty;
  std::array<double, kBehaviours.size()> room{};  // refused with room in all that counts, by behaviour
  for (const auto& one : spent) {
    const double now_s = seconds(one.at);
    const bool in_fault = std::any_of(s.faults.begin(), s.faults.end(), [&](const Fault& f) {
      return now_s >= f.at_s && now_s < f.at_s + f.for_s + kFaultCounts;
    });
    auto& store = stores[static_cast<std::size_t>(one.customer)];
    const auto behaviour = customers[static_cast<std::size_t>(one.customer)].behaviour;
    if (one.refused && counts_at(one.at))
      room[static_cast<std::size_t>(behaviour)] += store.level(now_s) >= one.units;
    (in_fault ? faulty : kept).add(one, store, now_s, counts_at(one.at));
  }
  const auto add_kept = [&](const std::string& prefix, const Kept& k) {
    const double tries = std::max(1.0, k.tries);
    add(prefix + "beyond", "percent of units", 100 * k.beyond / std::max(1.0, k.units));
    add(prefix + "refused", "percent of tries", 100 * k.refused / tries);
    add(prefix + "refused_with_room", "percent of tries", 100 * k.room / tries);
    add(prefix + "refused_with_half", "percent of tries", 100 * k.half / tries);
  };
  for (std::size_t i = 0; i < room.size(); ++i)
    add(std::string("room_") + kBehaviours[i], "percent of tries",
        100 * room[i] / std::max(1.0, kept.tries + faulty.tries));
  if (kept.tries > 0) add_kept("", kept);
  if (faulty.tries > 0) add_kept("fault_", faulty);
  return out;
}

}  // namespace

std::vector<Row> play_hollow(const Scenario& scenario, int threads) {
  return Fleet(scenario, threads).play();
}

}  // namespace cranemux::scale
