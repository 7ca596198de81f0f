#include "tests/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>
#include <utility>

namespace cranemux::soak {
namespace {

struct Kind {
  Fault fault;
  const char* name;
  milliseconds least, most;  // how long it lasts
};

constexpr milliseconds kUntilKill{-1};  // as long as the plan's earliest kill takes

constexpr std::array kKinds{
    Kind{Fault::planned_end, "planned_end", kUntilKill, kUntilKill},
    Kind{Fault::planned_end_twice, "planned_end_twice", kUntilKill, kUntilKill},
    Kind{Fault::end_while_starting, "end_while_starting", kUntilKill, kUntilKill},
    Kind{Fault::end_in_a_crowd, "end_in_a_crowd", kUntilKill, kUntilKill},
    Kind{Fault::killed, "killed", milliseconds(50), milliseconds(2000)},
    Kind{Fault::leaders_killed, "leaders_killed", milliseconds(50), milliseconds(2000)},
    Kind{Fault::reloads, "reloads", milliseconds(100), milliseconds(100)},
    Kind{Fault::stopped, "stopped", milliseconds(150), milliseconds(2000)},
    Kind{Fault::cut_off, "cut_off", milliseconds(400), milliseconds(6000)},
    Kind{Fault::cut_one_way, "cut_one_way", milliseconds(400), milliseconds(6000)},
    Kind{Fault::all_cut_off, "all_cut_off", milliseconds(400), milliseconds(6000)},
    Kind{Fault::split, "split", milliseconds(400), milliseconds(6000)},
    Kind{Fault::loss, "loss", milliseconds(1000), milliseconds(8000)},
    Kind{Fault::nodes_stall, "nodes_stall", milliseconds(200), milliseconds(1500)},
    Kind{Fault::node_resets, "node_resets", milliseconds(500), milliseconds(3000)},
    Kind{Fault::node_declines, "node_declines", milliseconds(500), milliseconds(3000)},
    Kind{Fault::node_unlisted, "node_unlisted", milliseconds(2500), milliseconds(5000)},
    Kind{Fault::nodes_late, "nodes_late", milliseconds(500), milliseconds(3000)},
    Kind{Fault::nodes_write_slowly, "nodes_write_slowly", milliseconds(1000), milliseconds(5000)},
    Kind{Fault::crowd, "crowd", milliseconds(300), milliseconds(2500)},
};

// Beside the others, where they are asked for: seeds keep their plans.
constexpr std::array kOverlaidKinds{
    Kind{Fault::flood, "flood", milliseconds(1000), milliseconds(5000)},
    Kind{Fault::late_copies, "late_copies", milliseconds(1000), milliseconds(5000)},
    Kind{Fault::small_share, "small_share", milliseconds(1000), milliseconds(5000)},
};
constexpr milliseconds kCalmBeginning{3000};

// Draws that are the same everywhere: the standard's distributions are not.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : engine_(seed) {}
  int below(int most) { return static_cast<int>(engine_() % static_cast<std::uint64_t>(most)); }
  milliseconds between(milliseconds least, milliseconds most) {
    return least + milliseconds(below(static_cast<int>((most - least).count()) + 1));
  }

 private:
  std::mt19937_64 engine_;
};

const Kind& kind_of(Fault fault) {
  const auto is = [&](const Kind& kind) { return kind.fault == fault; };
  const auto overlaid = std::find_if(kOverlaidKinds.begin(), kOverlaidKinds.end(), is);
  return overlaid != kOverlaidKinds.end() ? *overlaid : *std::find_if(kKinds.begin(), kKinds.end(), is);
}

bool needs_peers(Fault fault) {
  return fault == Fault::leaders_killed || fault == Fault::cut_off || fault == Fault::cut_one_way ||
         fault == Fault::all_cut_off || fault == Fault::split || fault == Fault::loss;
}

std::vector<SenderPlan> draw_senders(Draws& draws) {
  std::vector<SenderPlan> out{{20, 40, 100}, {10, 20, 12}};
  for (int i = 0; i < 6; ++i) {
    const double rate = 8 + draws.below(9);
    out.push_back({rate, 2 * rate, rate / (2 + draws.below(3))});
  }
  return out;
}

}  // namespace

const char* name_of(Fault fault) { return kind_of(fault).name; }

int Plan::count(Fault fault) const {
  return static_cast<int>(
      std::count_if(events.begin(), events.end(), [&](const Event& event) { return event.fault == fault; }));
}

std::string Plan::text() const {
  std::ostringstream out;
  out << "seed " << seed << ": " << gatekeepers << " gatekeepers, "
      << (graphql ? "GraphQL" : "platform's form") << ", quotas " << (guarded ? "guarded" : "trusting")
      << ", " << length.count() << " ms\n"
      << "  deadlines " << safe_deadline.count() << " and " << unsafe_deadline.count() << " ms, " << leave
      << " of the clients leave, " << in_pieces << " send in pieces\n";
  for (const auto& event : events) {
    out << "  " << event.at.count() << " ms " << name_of(event.fault) << " of gatekeeper " << event.gatekeeper
        << " for " << event.lasts.count() << " ms";
    if (event.count > 0) out << ", " << event.kind << " " << event.count;
    out << "\n";
  }
  return out.str();
}

namespace {

// Floods of what is answered at once, on any front, of long requests that stop half way, or of clients that
// leave.
Event draw_flood(Draws& draws, bool graphql) {
  constexpr std::array kFloods{"health",       "new_connections", "answers_not_taken", "heads_in_pieces",
                               "empty_lines",  "unsound_form",    "long_heads",        "unsound_class",
                               "no_time_left", "half_way",        "leaving_bursts"};
  constexpr int kOnAnyFront = 4, kMostConnections = 60;
  Event event{Fault::flood, {}, {}};
  event.kind = kFloods.at(static_cast<std::size_t>(draws.below(graphql ? kOnAnyFront : kFloods.size())));
  event.count = 1 + static_cast<std::size_t>(draws.below(kMostConnections));
  return event;
}

Event draw_overlaid(Draws& draws, bool graphql) {
  constexpr int kMostBusy = 8;
  switch (draws.below(4)) {
    case 0: {
      Event event{Fault::small_share, {}, {}};
      event.count = 1 + static_cast<std::size_t>(draws.below(kMostBusy));
      return event;
    }
    case 1:
      return {Fault::late_copies, {}, {}};
    default:
      return draw_flood(draws, graphql);
  }
}

void add_floods(Plan& plan) {
  constexpr std::uint64_t kOwnDraws = 0x666c6f6f64;
  constexpr milliseconds kMostGap{4000};
  Draws draws(plan.seed ^ kOwnDraws);
  for (auto at = kCalmBeginning;;) {
    auto event = draw_overlaid(draws, plan.graphql);
    const auto& kind = kind_of(event.fault);
    event.at = at;
    event.lasts = draws.between(kind.least, kind.most);
    event.gatekeeper = draws.below(plan.gatekeepers);
    if (event.end() + kQuietEnd > plan.length) break;
    at += draws.between(milliseconds(500), kMostGap);
    plan.events.push_back(event);
  }
  std::stable_sort(plan.events.begin(), plan.events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
}

}  // namespace

Plan draw(std::uint64_t seed, milliseconds length, bool floods) {
  constexpr milliseconds kLeastGap{200}, kMostGap{2500};
  constexpr milliseconds kShortestDeadline{800};
  Draws draws(seed);
  Plan plan;
  plan.seed = seed;
  plan.length = length;
  plan.gatekeepers = 1 + draws.below(8);
  plan.guarded = draws.below(2) == 0;
  plan.graphql = draws.below(4) == 0;
  plan.safe_deadline = draws.between(kShortestDeadline, kLongestDeadline);
  plan.unsafe_deadline = draws.between(kShortestDeadline, kLongestDeadline);
  plan.leave = 0.05 * draws.below(3);
  plan.in_pieces = 0.05 * draws.below(3);
  plan.senders = draw_senders(draws);
  auto at = kCalmBeginning;
  while (true) {
    const auto& kind = kKinds[static_cast<std::size_t>(draws.below(static_cast<int>(kKinds.size())))];
    Event event{kind.fault, at, draws.between(kind.least, kind.most), draws.below(plan.gatekeepers)};
    if (kind.least == kUntilKill) event.lasts = plan.earliest_kill();
    const auto gap = draws.between(kLeastGap, kMostGap);
    if (event.end() + kQuietEnd > length) break;
    if (plan.gatekeepers == 1 && needs_peers(event.fault)) continue;
    // Some follow while the one before goes on.
    const bool beside = draws.below(4) == 0;
    at = beside ? event.at + event.lasts / 2 : event.end() + gap;
    plan.events.push_back(event);
  }
  if (floods) add_floods(plan);
  return plan;
}

}  // namespace cranemux::soak
