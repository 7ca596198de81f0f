#include "tests/soak_run.h"

#include <signal.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <set>

#include "json/json.h"
#include "ledger/rendezvous_hash.h"
#include "ledger/replica_placement.h"
#include "ledger/wire_encoding.h"
#include "testing/busy_core.h"
#include "testing/flood_play.h"
#include "testing/sanitized.h"
#include "testing/tier.h"

namespace cranemux::soak {
namespace {

using testing::Clock;
using testing::kSanitized;
using Answer = testing::Behaviour::Answer;

constexpr int kDescriptors = 1024, kMemoryMb = 64;  // of each gatekeeper's settings
constexpr int kCrowd = kDescriptors * 6 / 10;
constexpr milliseconds kLateCopy{4};
constexpr milliseconds kAnswerSlack{250};  // of the rules' checker
constexpr milliseconds kDrainGrace{1000};  // likewise: attempts may begin so long after a node has gone
constexpr int kFaultyReload = 2;           // of the reloads in a row

std::size_t descriptors_of(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) + "/fd", error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

class Run {
 public:
  Run(const Plan& plan, const std::string& binary, const std::string& folder)
      : plan_(plan), binary_(binary), tier_(binary, plan.gatekeepers, plan.seed) {
    tier_.rules.set_untold(testing::kFloodIds);
    tier_.quotas = plan.guarded ? "guarded" : "trusting";
    tier_.graphql = plan.graphql;
    tier_.safe_deadline = plan.safe_deadline;
    tier_.unsafe_deadline = plan.unsafe_deadline;
    tier_.leave = plan.leave;
    tier_.in_pieces = plan.in_pieces;
    for (const auto& one : plan.senders) tier_.sender(one.rate, one.burst, one.asks);
    tier_.logs = folder;
    for (const auto& event : plan.events) steps_.push_back({event});
  }

  Outcome play() {
    tier_.start();
    read_bounds();
    begin_ = Clock::now();
    tier_.play(plan_.length - kQuietEnd / 2, [this](milliseconds) { look(); });
    judge_quiet_end();
    end_all();
    judge_answers();
    judge_quotas();
    judge_logs();
    out_.requests = tier_.rules.asked_count();
    out_.served = tier_.served;
    out_.refused = tier_.refused;
    out_.failed = tier_.failed;
    return std::move(out_);
  }

 private:
  struct Step {
    Event event;
    bool begun = false, over = false;
  };
  // What a request that met it is not owed.
  struct Disturbance {
    int gatekeeper = 0;
    Clock::time_point from, until;
    bool lost = false;  // an answer at all; else, only one in time
  };
  struct Sample {
    long resident_kb;
    std::size_t descriptors, idle;
    // Idle connections are the clients' to hold, and may stand for longer than a run lasts.
    std::size_t own() const { return descriptors - std::min(descriptors, idle); }
  };

  milliseconds now() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - begin_); }
  void say(const std::string& what) { out_.timeline += std::to_string(now().count()) + " ms " + what + "\n"; }
  void breaks(const std::string& what) {
    out_.broken.push_back(what);
    say("BROKEN: " + what);
  }

  // ---- events ----

  void look() {
    for (auto& step : steps_) {
      if (!step.begun && now() >= step.event.at) {
        step.begun = true;
        say(std::string(name_of(step.event.fault)) + " begins, gatekeeper " +
            std::to_string(step.event.gatekeeper));
        begin(step.event);
      }
      if (step.begun && !step.over && now() >= step.event.end()) {
        step.over = true;
        say(std::string(name_of(step.event.fault)) + " ends");
        end(step.event);
      }
    }
    for (auto at = later_.begin(); at != later_.end();) {
      if (now() < at->first) {
        ++at;
        continue;
      }
      const auto what = at->second;
      at = later_.erase(at);
      what();
    }
    std::erase_if(tier_.absent, [this](int gatekeeper) {
      return !tier_.leaving.contains(gatekeeper) && tier_.listens(gatekeeper);
    });
    longest_turn_ = std::max(longest_turn_, now() - looked_);
    looked_ = now();
    if (now() >= next_sample_) sample();
  }
  void after(milliseconds wait, std::function<void()> what) { later_.emplace(now() + wait, std::move(what)); }

  void begin(const Event& event) {
    const int one = event.gatekeeper;
    switch (event.fault) {
      case Fault::planned_end:
      case Fault::planned_end_twice:
        begin_planned_end(event);
        break;
      case Fault::end_while_starting:
        if (!takes_part(one)) break;
        kill(one, event.lasts);
        tier_.start(one);
        tier_.absent.insert(one);  // nobody goes there until it has begun once more
        tier_.leaving.insert(one);
        planned_.insert(one);
        after(milliseconds(10), [this, one] { signal(one, SIGTERM); });
        break;
      case Fault::end_in_a_crowd:
        tier_.crowd(one, kCrowd);
        begin_planned_end(event);
        after(milliseconds(20), [this, one] { tier_.crowd(one, 0); });
        break;
      case Fault::leaders_killed:
        for (const int leader : leaders_of_busy()) kill(leader, event.lasts);
        break;
      case Fault::killed:
        kill(one, event.lasts);
        break;
      case Fault::node_unlisted:
        if (tier_.unlisted.empty()) set_listed(false);
        break;
      case Fault::reloads:
        if (takes_part(one)) begin_reloads(one);
        break;
      case Fault::stopped:
        if (!takes_part(one)) break;
        signal(one, SIGSTOP);
        disturbed_.push_back({one, Clock::now(), Clock::now() + event.lasts, false});
        break;
      case Fault::crowd:
        if (takes_part(one)) tier_.crowd(one, kCrowd);
        break;
      case Fault::flood:
        floods_[one].push_back(std::make_unique<testing::FloodingClients>(
            tier_.port(one), event.count, testing::flood_kind(event.kind, tier_.senders.front()->plan())));
        break;
      case Fault::small_share:
        if (takes_part(one))
          busy_[one] = std::make_unique<testing::BusyCore>(tier_.program(one).pid(), event.count);
        break;
      default:
        set_network_and_nodes();
    }
  }

  void end(const Event& event) {
    const int one = event.gatekeeper;
    switch (event.fault) {
      case Fault::planned_end:
      case Fault::planned_end_twice:
      case Fault::end_in_a_crowd:
      case Fault::end_while_starting:
        end_planned(event);
        break;
      case Fault::leaders_killed:
        for (const int leader : leaders_of_busy()) start_again(leader);
        break;
      case Fault::killed:
        start_again(one);
        break;
      case Fault::node_unlisted:
        if (!goes_on(Fault::node_unlisted)) set_listed(true);
        break;
      case Fault::stopped:
        signal(one, SIGCONT);
        break;
      case Fault::crowd:
        tier_.crowd(one, 0);
        break;
      case Fault::flood:
        if (!floods_[one].empty()) floods_[one].pop_front();
        break;
      case Fault::small_share:
        busy_.erase(one);
        break;
      case Fault::reloads:
        break;
      default:
        set_network_and_nodes();
    }
  }

  // The quota leader of the first sender, which asks most, and its first replica.
  std::vector<int> leaders_of_busy() const {
    const auto customer = ledger::hash_of(tier_.senders.front()->name);
    const int all = plan_.gatekeepers;
    if (plan_.guarded) return ledger::ranked_members(customer, all, 2);
    return {ledger::leader_at(customer, 0, 0, 0, all, all, 0),
            ledger::leader_at(customer, 0, 1, 0, all, all, 0)};
  }
  // The second node stands in all files, or in none.
  void set_listed(bool listed) {
    const auto& name = tier_.nodes.back()->name();
    listed ? void(tier_.unlisted.erase(name)) : void(tier_.unlisted.insert(name));
    for (int g = 0; g < plan_.gatekeepers; ++g) {
      tier_.write_file(g, false);
      signal(g, SIGHUP);
    }
    listed ? tier_.rules.serves(name, Clock::now()) : tier_.rules.drained(name, Clock::now());
  }

  // Neither gone nor about to be.
  bool takes_part(int gatekeeper) { return tier_.alive(gatekeeper) && !tier_.leaving.contains(gatekeeper); }
  bool handles(int gatekeeper, int number) {
    return tier_.alive(gatekeeper) && tier_.program(gatekeeper).catches(number);
  }
  void signal(int gatekeeper, int number) {
    if (!tier_.alive(gatekeeper)) return;
    if (number != SIGSTOP && number != SIGCONT && !handles(gatekeeper, number)) {
      // Until the program has a handler the system ends it, whatever it would do itself.
      say("gatekeeper " + std::to_string(gatekeeper) + " has no handler for signal " +
          std::to_string(number) + " yet");
      if (number != SIGTERM) return;
      ended_by_system_.insert(gatekeeper);
    }
    tier_.signal(gatekeeper, number);
  }

  void begin_planned_end(const Event& event) {
    const int one = event.gatekeeper;
    if (!takes_part(one)) return;
    planned_.insert(one);
    signal(one, SIGCONT);  // where another event has stopped it
    signal(one, SIGTERM);
    tier_.leaving.insert(one);
    if (event.fault == Fault::planned_end_twice) {
      after(milliseconds(150), [this, one] { signal(one, SIGHUP); });
      after(milliseconds(300), [this, one] { signal(one, SIGTERM); });
    }
    disturbed_.push_back({one, Clock::now() + kStillOwed, Clock::now() + event.lasts, true});
  }
  // It has ended by itself by now, or is killed; then it begins anew.
  void end_planned(const Event& event) {
    const int one = event.gatekeeper;
    if (!tier_.leaving.contains(one)) return;
    if (tier_.alive(one)) {
      // What it still serves came late; that is its right until SIGKILL.
      kill(one, milliseconds(0));
    } else if (const int code = tier_.exit_code(one); code != 0 && !ended_by_system_.contains(one)) {
      breaks("gatekeeper " + std::to_string(one) + " ended with " + std::to_string(code) + " after SIGTERM");
    }
    planned_.erase(one);
    ended_by_system_.erase(one);
    start_again(one);
  }
  void kill(int gatekeeper, milliseconds gone) {
    if (!tier_.alive(gatekeeper)) return;
    say("SIGKILL to gatekeeper " + std::to_string(gatekeeper));
    tier_.kill(gatekeeper);
    tier_.leaving.erase(gatekeeper);
    if (planned_.erase(gatekeeper) == 0)
      disturbed_.push_back({gatekeeper, Clock::now(), Clock::now() + gone, true});
  }
  void start_again(int gatekeeper) {
    if (tier_.alive(gatekeeper)) return;
    tier_.leaving.erase(gatekeeper);
    tier_.absent.insert(gatekeeper);
    tier_.start(gatekeeper);
    samples_.erase(gatekeeper);
  }
  void begin_reloads(int gatekeeper) {
    for (int i = 0; i < 5; ++i) {
      after(milliseconds(20) * i, [this, gatekeeper, i] {
        if (!handles(gatekeeper, SIGHUP)) return;  // one that starts reads the file, and a faulty one ends it
        tier_.write_file(gatekeeper, i == kFaultyReload);
        signal(gatekeeper, SIGHUP);
        if (i == 1) signal(gatekeeper, SIGUSR1);
      });
    }
    after(milliseconds(120), [this, gatekeeper] {
      tier_.write_file(gatekeeper, false);
      signal(gatekeeper, SIGHUP);
    });
  }

  bool goes_on(Fault fault, int* about = nullptr) const {
    for (const auto& step : steps_) {
      if (step.event.fault != fault || !step.begun || step.over) continue;
      if (about) *about = step.event.gatekeeper;
      return true;
    }
    return false;
  }
  // By all that goes on now.
  void set_network_and_nodes() {
    int off = -1, mute = -1;
    goes_on(Fault::cut_off, &off);
    goes_on(Fault::cut_one_way, &mute);
    const bool all = goes_on(Fault::all_cut_off), split = goes_on(Fault::split);
    const int half = plan_.gatekeepers / 2;
    tier_.relay->cut = [=](int from, int to) {
      return all || from == off || to == off || from == mute || (split && (from < half) != (to < half));
    };
    tier_.relay->faults = goes_on(Fault::loss)
                              ? testing::Faults{0.25, 0.1, 0.02, milliseconds(1), milliseconds(30)}
                              : testing::Faults{};
    for (std::size_t i = 0; i < tier_.nodes.size(); ++i) {
      auto& behaviour = tier_.nodes[i]->behaviour;
      behaviour = {};
      if (goes_on(Fault::late_copies)) behaviour.late_copy = kLateCopy;
      if (goes_on(Fault::nodes_late)) behaviour.delay = milliseconds(1000);
      if (goes_on(Fault::node_resets) && i == 0) behaviour.answer = Answer::reset;
      if (goes_on(Fault::node_declines) && i == 0) behaviour.answer = Answer::declined;
      if (goes_on(Fault::nodes_stall)) behaviour.answer = Answer::stall;
      tier_.nodes[i]->paced = {};
      if (goes_on(Fault::nodes_write_slowly) && !plan_.graphql) {
        tier_.nodes[i]->paced = [this](const auto&) { return draw_slow_answer(); };
      }
    }
  }
  // In chunks or to the end of its connection, of a few lumps with pauses between them.
  testing::PacedAnswer draw_slow_answer() {
    constexpr std::size_t kLumps = 3;
    constexpr int kMostPause = 1600;                                     // ms, over all
    constexpr std::size_t kLeast = testing::kHeldWhole, kMore = kLeast;  // bytes in all
    const bool chunked = tier_.random() % 2 == 0;
    const auto lumps = 1 + tier_.random() % kLumps;
    const std::string lump((kLeast + tier_.random() % kMore) / lumps + 1, 'a');
    testing::PacedAnswer answer;
    answer.ends = !chunked;
    std::string text = "HTTP/1.1 200 OK\r\n";
    text += chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    for (std::size_t i = 0; i < lumps; ++i) {
      const auto pause = i == 0 ? 5 : tier_.random() % (kMostPause / kLumps * 2);
      text += chunked ? testing::chunk(lump) : lump;
      answer.pieces.push_back({milliseconds(pause), std::exchange(text, {})});
    }
    if (chunked) answer.pieces.push_back({milliseconds(0), "0\r\n\r\n"});
    return answer;
  }

  // ---- what has to hold ----

  void sample() {
    next_sample_ = now() + milliseconds(1000);
    for (int g = 0; g < plan_.gatekeepers; ++g) {
      if (!tier_.alive(g)) continue;
      const auto& program = tier_.program(g);
      const Sample sample{program.resident_kb(), descriptors_of(program.pid()), tier_.idle_connections(g)};
      samples_[g].push_back(sample);
      if (!kSanitized && sample.resident_kb > kMemoryMb * 1024L)
        breaks("gatekeeper " + std::to_string(g) + " holds " + std::to_string(sample.resident_kb) + " KB");
      if (sample.descriptors > kDescriptors)
        breaks("gatekeeper " + std::to_string(g) + " holds " + std::to_string(sample.descriptors) +
               " descriptors");
    }
  }

  // A calm sender is served once all trouble is over, at each gatekeeper as elsewhere.
  void judge_quiet_end() {
    constexpr double kLeastServed = 0.5;
    std::map<std::string, std::pair<int, int>> served;  // of all, by customer
    tier_.answered = [&](const testing::Ask& ask, const testing::Result& result) {
      auto& [good, all] = served[ask.customer];
      good += result.status == 200;
      ++all;
    };
    tier_.play(kQuietEnd / 2, [this](milliseconds) { look(); });
    tier_.finish();
    tier_.answered = {};
    for (std::size_t i = 0; i < plan_.senders.size(); ++i) {
      const auto& [good, all] = served[tier_.senders[i]->name];
      if (plan_.senders[i].calm() && good < kLeastServed * all)
        breaks("a calm customer, " + tier_.senders[i]->name + ", had " + std::to_string(good) + " of " +
               std::to_string(all) + " served in the quiet end");
    }
    judge_growth();
  }

  // Descriptors and memory in the last samples, against the first ones of the same process.
  void judge_growth() {
    constexpr std::size_t kFew = 3, kMoreDescriptors = 40;
    constexpr long kMoreKb = 8192;
    for (const auto& [gatekeeper, all] : samples_) {
      if (all.size() < 3 * kFew) continue;
      const auto& first = all[kFew];
      const auto& last = all.back();
      say("gatekeeper " + std::to_string(gatekeeper) + ": descriptors " + std::to_string(first.descriptors) +
          " to " + std::to_string(last.descriptors) + ", of them idle clients' " +
          std::to_string(first.idle) + " to " + std::to_string(last.idle) + "; " +
          std::to_string(first.resident_kb) + " to " + std::to_string(last.resident_kb) + " KB");
      if (last.own() > first.own() + kMoreDescriptors)
        breaks("gatekeeper " + std::to_string(gatekeeper) + " went from " + std::to_string(first.own()) +
               " to " + std::to_string(last.own()) + " descriptors");
      if (!kSanitized && last.resident_kb > first.resident_kb + kMoreKb)
        breaks("gatekeeper " + std::to_string(gatekeeper) + " went from " +
               std::to_string(first.resident_kb) + " to " + std::to_string(last.resident_kb) + " KB");
    }
  }

  void end_all() {
    const auto told = Clock::now();
    for (int g = 0; g < plan_.gatekeepers; ++g) {
      if (!tier_.alive(g)) breaks("gatekeeper " + std::to_string(g) + " was gone at the end");
      signal(g, SIGTERM);
    }
    const auto all_ended = [&] {
      for (int g = 0; g < plan_.gatekeepers; ++g) {
        if (tier_.alive(g)) return false;
      }
      return true;
    };
    while (!all_ended() && Clock::now() < told + plan_.earliest_kill()) tier_.stage.play(milliseconds(20));
    for (int g = 0; g < plan_.gatekeepers; ++g) {
      if (tier_.alive(g)) {
        breaks("gatekeeper " + std::to_string(g) + " did not end by itself");
      } else if (tier_.exit_code(g) != 0) {
        breaks("gatekeeper " + std::to_string(g) + " ended with " + std::to_string(tier_.exit_code(g)));
      }
    }
  }

  // An id begins as `g2-`.
  static int gatekeeper_of(const std::string& id) { return std::stoi(id.substr(1, id.find('-') - 1)); }

  // May that rule be broken for the request, by what was done to its gatekeeper meanwhile?
  bool excused(const std::string& line) const {
    const auto id = line.substr(0, line.find(' '));
    if (id.find('-') == std::string::npos) return false;
    const int gatekeeper = gatekeeper_of(id);
    const auto& all = tier_.results(gatekeeper);
    const auto at = std::find_if(all.begin(), all.end(), [&](const auto& result) { return result.id == id; });
    if (at == all.end()) return false;
    const auto says = [&](const char* words) { return line.find(words) != std::string::npos; };
    // Who is stopped answers late, and cannot know that a client has left until it goes on.
    const bool late = says("past its deadline") || says("after its client had left");
    // A file is taken up once its gatekeeper goes on.
    const bool unlisted = says("past its drain's grace");
    return std::any_of(disturbed_.begin(), disturbed_.end(), [&](const Disturbance& d) {
      const auto until = d.until + (unlisted ? kDrainGrace : milliseconds(0));
      const bool met =
          d.gatekeeper == gatekeeper && at->sent <= until && at->sent + at->took + kAnswerSlack >= d.from;
      return met && (d.lost || late || unlisted);
    });
  }
  void judge_answers() {
    for (const auto& line : tier_.rules.broken(kAnswerSlack)) {
      if (!excused(line)) breaks(line);
    }
  }

  // Printed before anything runs.
  void read_bounds() {
    const int restarts = plan_.count(Fault::planned_end) + plan_.count(Fault::planned_end_twice) +
                         2 * plan_.count(Fault::end_while_starting) + plan_.count(Fault::killed) +
                         plan_.count(Fault::end_in_a_crowd) + 2 * plan_.count(Fault::leaders_killed);
    const int splits = plan_.count(Fault::cut_off) + plan_.count(Fault::cut_one_way) +
                       plan_.count(Fault::all_cut_off) + plan_.count(Fault::split) +
                       plan_.count(Fault::stopped);
    std::string out;
    const int code = testing::run(
        binary_,
        {"quota-bound", tier_.path(0, "services") + ".yaml", "--json", "--delay-ms", "30", "--loss", "0.25",
         "--restarts-per-minute", std::to_string(restarts), "--splits-per-minute", std::to_string(splits)},
        out);
    if (code != 0) return breaks("quota-bound: " + out);
    const auto told = json::parse(out);
    for (const auto& plan : *told.find("plans")->array())
      bounds_[*plan.find("plan")->string()] = plan.find("beyond")->as_double(-1);
  }
  // Attempts are counted when the stand-in nodes see them: where this process was held up itself, what was
  // sent in that time looks as if it were sent at once.
  void judge_quotas() {
    say("longest turn of the stand-ins: " + std::to_string(longest_turn_.count()) + " ms");
    for (const auto& sender : tier_.senders) {
      const auto worst = tier_.rules.worst_excess(sender->name, sender->rate, sender->burst);
      const auto held_up = sender->rate * std::chrono::duration<double>(longest_turn_).count();
      const auto bound = bounds_[sender->plan()] + held_up;
      if (worst.units <= bound) continue;
      breaks(sender->name + " got " + std::to_string(worst.units) + " units beyond its quota of " +
             std::to_string(sender->rate) + " a second; the bound is " + std::to_string(bound));
      say_who_sent(*sender, worst);
    }
  }
  // Units of the customer in the window, by gatekeeper and `kSlice`.
  void say_who_sent(const testing::Sender& sender, const testing::Rules::Excess& window) {
    constexpr milliseconds kSlice{500};
    std::map<std::int64_t, std::vector<double>> slices;
    for (const auto& one : tier_.rules.spent_by(sender.name)) {
      if (one.at < window.from || one.at > window.until) continue;
      const auto slice = std::chrono::duration_cast<milliseconds>(one.at - begin_) / kSlice;
      auto& units = slices.try_emplace(slice, static_cast<std::size_t>(plan_.gatekeepers), 0.0).first->second;
      units[static_cast<std::size_t>(gatekeeper_of(one.id))] += one.units;
    }
    for (const auto& [slice, units] : slices) {
      out_.timeline += "  from " + std::to_string((slice * kSlice).count()) + " ms, by gatekeeper:";
      for (const double part : units) out_.timeline += " " + std::to_string(std::lround(part));
      out_.timeline += "\n";
    }
  }
  void judge_logs() {
    for (int g = 0; g < plan_.gatekeepers; ++g) {
      std::ifstream in(tier_.path_of_log(g));
      for (std::string line; std::getline(in, line);) {
        if (line.find("runtime error:") != std::string::npos || line.find("Sanitizer") != std::string::npos)
          breaks("log of gatekeeper " + std::to_string(g) + ": " + line);
      }
    }
  }

  const Plan& plan_;
  const std::string binary_;
  testing::Tier tier_;
  Clock::time_point begin_;
  std::vector<Step> steps_;
  std::multimap<milliseconds, std::function<void()>> later_;
  std::vector<Disturbance> disturbed_;
  std::set<int> planned_;          // ends by SIGTERM
  std::set<int> ended_by_system_;  // likewise, before it had a handler for it
  std::map<int, std::list<std::unique_ptr<testing::FloodingClients>>> floods_;  // by gatekeeper
  std::map<int, std::unique_ptr<testing::BusyCore>> busy_;
  std::map<int, std::vector<Sample>> samples_;  // of each process, since its start
  milliseconds next_sample_{0}, looked_{0}, longest_turn_{0};
  std::map<std::string, double> bounds_;
  Outcome out_;
};

}  // namespace

Outcome play(const Plan& plan, const std::string& binary, const std::string& folder) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/plan.txt") << plan.text();
  auto outcome = Run(plan, binary, folder).play();
  std::ofstream(folder + "/timeline.txt") << outcome.timeline;
  return outcome;
}

}  // namespace cranemux::soak
