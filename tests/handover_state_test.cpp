// What one life tells the next, without a socket: frames, records, and the decision module's memory.
#include <gtest/gtest.h>

#include "cranemux/decision_module.h"
#include "handover/state.h"

namespace cranemux::handover {
namespace {

TEST(handover_frames, a_frame_comes_back_whole_and_in_pieces) {
  const auto text = frame(Kind::spent, "payload") + frame(Kind::state, "");
  std::string in;
  Frame out;
  for (const char byte : text.substr(0, kFrameHead + 6)) {
    in += byte;
    ASSERT_EQ(take_frame(in, out), Verdict::partial);
  }
  in = text;
  ASSERT_EQ(take_frame(in, out), Verdict::whole);
  EXPECT_EQ(out.kind, Kind::spent);
  EXPECT_EQ(out.payload, "payload");
  ASSERT_EQ(take_frame(in, out), Verdict::whole);
  EXPECT_EQ(out.kind, Kind::state);
  EXPECT_EQ(take_frame(in, out), Verdict::partial);
}

// Any one byte that differs is noticed.
TEST(handover_frames, damage_is_noticed) {
  const auto good = frame(Kind::spent, "payload");
  for (std::size_t at = 0; at < good.size(); ++at) {
    auto in = good;
    in[at] = static_cast<char>(in[at] ^ 0x10);
    Frame out;
    EXPECT_NE(take_frame(in, out), Verdict::whole) << at;
  }
}

TEST(handover_state, comes_back) {
  State state;
  state.module = std::string("\0\1\2", 3);
  state.list = {
      41, true, {{"s-1", "leaving", {"10.0.0.1", 7070}, "a", 3, 2.5, std::chrono::milliseconds(77)}}};
  state.open_ids = {"a", "b"};
  state.drained = true;
  state.channels = 7;
  state.connections = 9;
  const auto bytes = pack(state);
  const auto back = unpack<State>(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->module, state.module);
  EXPECT_EQ(back->list.index, 41);
  EXPECT_EQ(back->list.entries, state.list.entries);
  EXPECT_EQ(back->open_ids, state.open_ids);
  EXPECT_TRUE(back->drained);
  EXPECT_EQ(back->channels, 7U);
  EXPECT_EQ(back->connections, 9U);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(unpack<State>(bytes.substr(0, size))) << size;  // torn
  }
  EXPECT_FALSE(unpack<State>(bytes + "x"));
}

// ---- the module's memory ------------------------------------------------------------------------

constexpr Nanos kMs = 1'000'000, kSecond = 1000 * kMs;

Settings settings() {
  Settings s;
  s.gateways = 1;
  s.classes = {{.name = "status", .aim = 400 * kMs, .give_up = 1500 * kMs}};
  s.plans = {{.name = "corner", .rate = 1, .burst = 4}, {.name = "open", .rate = 100, .burst = 200}};
  s.most_units = 4;
  s.max_attempts = 4;
  s.cancel = true;
  return s;
}

struct Play {
  explicit Play(const Settings& s) : decision_module(s) {}
  std::vector<Action> step(Nanos now, std::vector<Event> events) {
    std::vector<Action> actions;
    decision_module.step(now, events, actions);
    return actions;
  }
  static ServerList list() {
    ServerList out;
    out.scope = ListScope::stored;
    for (const auto* id : {"one", "two"}) {
      ServerEntry entry;
      entry.id = id;
      out.servers.push_back(entry);
    }
    return out;
  }
  static std::size_t sends(const std::vector<Action>& actions) {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(), [](const auto& a) { return std::holds_alternative<Send>(a); }));
  }
  DecisionModule decision_module;
};

Request request(const std::string& id, double units = 1) {
  Request out;
  out.id = id;
  out.klass = "status";
  out.plan = "corner";
  out.customer = "c";
  out.budget = 1500 * kMs;
  out.units = units;
  return out;
}

// Plans may stand in another order, or have other figures, in the next life's settings: no customer goes by
// the terms of another plan, and one whose plan is as it was keeps what it has used.
TEST(handover_module, no_customer_goes_by_another_plans_terms) {
  auto s = settings();
  Play old(s);
  old.step(10 * kSecond, {Play::list()});
  EXPECT_EQ(Play::sends(old.step(10 * kSecond + kMs, {request("1", 4)})), 1U);
  const auto state = old.decision_module.save();
  const auto allowance_after = [&](const Settings& next) {
    Play play(next);
    std::vector<Action> actions;
    EXPECT_TRUE(play.decision_module.restore(10 * kSecond + 2 * kMs, state, actions));
    return play.decision_module.allowance(10 * kSecond + 3 * kMs, "c");
  };
  ASSERT_TRUE(allowance_after(s));
  EXPECT_EQ(allowance_after(s)->rate, 1);
  std::swap(s.plans[0], s.plans[1]);
  const auto swapped = allowance_after(s);
  ASSERT_TRUE(swapped);
  EXPECT_EQ(swapped->rate, 1);
  EXPECT_EQ(swapped->burst, 4);
  EXPECT_LT(swapped->tokens, 1);
  std::swap(s.plans[0].name, s.plans[1].name);  // `corner` has the other's figures now
  EXPECT_FALSE(allowance_after(s));
  s.plans.pop_back();
  EXPECT_FALSE(allowance_after(s));
}

TEST(handover_module, a_quota_that_is_used_up_stays_so) {
  Play old(settings());
  old.step(10 * kSecond, {Play::list()});
  EXPECT_EQ(Play::sends(old.step(10 * kSecond + kMs, {request("1", 4)})), 1U);
  Play next(settings());
  std::vector<Action> actions;
  ASSERT_TRUE(next.decision_module.restore(10 * kSecond + 2 * kMs, old.decision_module.save(), actions));
  EXPECT_EQ(Play::sends(next.step(10 * kSecond + 3 * kMs, {Play::list(), request("2", 4)})), 0U);
  Play fresh(settings());  // and would not be without it
  EXPECT_EQ(Play::sends(fresh.step(10 * kSecond + 3 * kMs, {Play::list(), request("2", 4)})), 1U);
}

// Spent by the old process after the hand-over: it says so, and the new one has it.
TEST(handover_module, what_is_spent_elsewhere_counts) {
  Play old(settings());
  old.step(10 * kSecond, {Play::list(), request("0", 1)});
  Play next(settings());
  std::vector<Action> actions;
  ASSERT_TRUE(next.decision_module.restore(10 * kSecond + kMs, old.decision_module.save(), actions));
  const auto said = old.step(10 * kSecond + 2 * kMs, {HandedOver{true}, request("1", 3)});
  const auto at = std::find_if(said.begin(), said.end(),
                               [](const auto& a) { return std::holds_alternative<SpentElsewhere>(a); });
  ASSERT_NE(at, said.end());
  const auto spent = std::get<SpentElsewhere>(*at);
  EXPECT_EQ(spent.units, 3);
  EXPECT_EQ(Play::sends(next.step(10 * kSecond + 3 * kMs, {Play::list(), spent, request("2", 3)})), 0U);
  // Taken back, it keeps it to itself again.
  const auto later = old.step(15 * kSecond, {HandedOver{false}, request("3", 1)});
  EXPECT_TRUE(std::none_of(later.begin(), later.end(),
                           [](const auto& a) { return std::holds_alternative<SpentElsewhere>(a); }));
}

// A server that has failed stays avoided, and one that is cold gets no second start.
TEST(handover_module, servers_are_known) {
  Play old(settings());
  old.step(10 * kSecond, {Play::list()});
  for (int i = 0; i < 8 && old.decision_module.unavailable_servers(10 * kSecond + 50 * kMs) == 0; ++i) {
    auto ask = request("r" + std::to_string(i));
    ask.plan = "open";
    ask.customer = "d";
    for (const auto& action : old.step(10 * kSecond + (i + 1) * kMs, {ask})) {
      if (const auto* send = std::get_if<Send>(&action)) {
        Outcome outcome;
        outcome.request = send->request;
        outcome.result = Result::connect_failed;
        old.step(10 * kSecond + (i + 1) * kMs, {outcome});
      }
    }
  }
  const auto now = 10 * kSecond + 50 * kMs;
  ASSERT_GT(old.decision_module.unavailable_servers(now), 0U);
  Play next(settings());
  std::vector<Action> actions;
  ASSERT_TRUE(next.decision_module.restore(now, old.decision_module.save(), actions));
  next.step(now, {Play::list()});
  EXPECT_EQ(next.decision_module.unavailable_servers(now), old.decision_module.unavailable_servers(now));
}

TEST(handover_module, what_makes_no_sense_changes_nothing) {
  Play old(settings());
  old.step(10 * kSecond, {Play::list(), request("1", 4)});
  const auto bytes = old.decision_module.save();
  std::vector<Action> actions;
  for (std::size_t size = 0; size < bytes.size(); size += 7) {
    EXPECT_FALSE(DecisionModule(settings()).restore(10 * kSecond, bytes.substr(0, size), actions));
  }
  auto other = settings();
  other.gateways = 3;  // another tier
  EXPECT_FALSE(DecisionModule(other).restore(10 * kSecond, bytes, actions));
  EXPECT_FALSE(DecisionModule(settings()).restore(5 * kSecond, bytes, actions));  // of a clock that is ahead
  auto guarded = settings();
  guarded.guarded = true;  // has a way of its own
  EXPECT_FALSE(DecisionModule(guarded).restore(10 * kSecond, bytes, actions));
  EXPECT_TRUE(DecisionModule(settings()).restore(10 * kSecond, bytes, actions));
  // Any bytes: it reads them to an end, and what it takes up lets it go on.
  std::uint32_t random = 1;
  for (int i = 0; i < 2000; ++i) {
    auto damaged = bytes;
    for (int j = 0; j < 3; ++j) {
      random = random * 1664525U + 1013904223U;
      damaged[(random >> 8U) % damaged.size()] = static_cast<char>(random >> 3U);
    }
    Play next(settings());
    if (next.decision_module.restore(10 * kSecond, damaged, actions))
      next.step(10 * kSecond + kMs, {Play::list(), request("2", 1)});
  }
}

}  // namespace
}  // namespace cranemux::handover
