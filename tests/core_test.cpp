// What the core does with an answer that has begun, whatever would end its request: against a stand-in for
// the attempts, with events in the order that each test gives.
#include "core/core.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cranemux::core {
namespace {

using std::chrono::milliseconds;

class FakeAttempts : public CallAttempts {
 public:
  void start(RpcId rpc, int attempt, const std::string&, const AttemptLimits& limits,
             const std::shared_ptr<const Payload>&) override {
    started.emplace_back(rpc, attempt);
    told = limits.told;
  }
  void cancel(RpcId rpc, int) override { cancelled.insert(rpc); }
  void limit_patience(RpcId, Clock::time_point) override {}
  void withdraw(RpcId) override {}
  bool pass_on(RpcId rpc, int) override {
    if (begun) passed_on.insert(rpc);
    return begun;
  }

  bool begun = false;
  std::vector<std::pair<RpcId, int>> started;
  std::set<RpcId> cancelled, passed_on;
  nanoseconds told{};
};

struct NoPeers : Peers {
  void tell(int, const std::string&) override {}
};

struct NoHost : Host {
  void turn_soon() override {}
  void turn_at(Clock::time_point) override {}
};

class FakeChannel : public Channel {
 public:
  void answer(RpcId, FinalAnswer&& answer) override { answers.push_back(std::move(answer)); }
  nanoseconds waited() const override { return has_waited; }
  bool left() override {
    if (!leave) return false;
    std::exchange(leave, nullptr)();
    return true;
  }
  std::function<void()> leave;  // once, when the core asks before an attempt: tells it that a client has gone
  std::vector<FinalAnswer> answers;
  nanoseconds has_waited{};
};

constexpr milliseconds kAim{30}, kWait{120};

class EndOfAnRpc : public ::testing::Test {
 protected:
  EndOfAnRpc() {
    core.connect(attempts, peers, host);
    core.resolved({ListScope::stored, {server("one"), server("two")}});
    core.turn();
  }
  static ServerEntry server(const std::string& id) {
    ServerEntry entry;
    entry.id = id;
    return entry;
  }
  static Settings settings() {
    Settings s;
    s.max_attempts = 4;
    for (const auto repeat : {Repeat::safe, Repeat::unsafe}) {
      ClassSettings c;
      c.name = repeat == Repeat::safe ? "look" : "book";
      c.aim = nanoseconds(kAim).count();
      c.give_up = nanoseconds(kWait).count();
      c.repeat = repeat;
      s.classes.push_back(c);
    }
    PlanSettings plan;
    plan.name = "plan";
    plan.rate = plan.burst = 1000;
    s.plans = {plan};
    s.cancel = true;
    return s;
  }
  RpcId begin(const std::string& klass, bool uploading = false) {
    RpcTerms terms;
    terms.klass = klass;
    terms.plan = "plan";
    terms.customer = "customer";
    terms.budget = kWait;
    terms.uploading = uploading;
    return core.take(terms, std::make_shared<Payload>(), channel);
  }
  RpcId take(const std::string& klass, bool uploading = false) {
    const auto rpc = begin(klass, uploading);
    core.turn();
    EXPECT_EQ(attempts.started.size(), 1U);
    return rpc;
  }
  // Past the aim, which the module ends.
  void end_the_aim() {
    for (const auto until = Clock::now() + 2 * kAim; Clock::now() < until;) core.turn();
  }
  // The module forgets what is over at its next tick.
  void pass_a_tick() {
    constexpr milliseconds kTick{10};
    for (const auto until = Clock::now() + 2 * kTick; Clock::now() < until;) core.turn();
  }
  void attempt_ends(RpcId rpc, Result result, bool stream = false) {
    AttemptResult ended;
    ended.result = result;
    if (stream) ended.stream = std::make_shared<int>();
    core.attempt_ended(rpc, 0, std::move(ended));
    core.turn();
  }

  metrics::Logger logger{STDERR_FILENO, metrics::Level::error};
  metrics::Counters counters;
  FakeAttempts attempts;
  NoPeers peers;
  NoHost host;
  std::shared_ptr<FakeChannel> channel = std::make_shared<FakeChannel>();
  Core core{settings(), logger, counters};
};

TEST_F(EndOfAnRpc, IsARefusalWhereNothingHasBegun) {
  take("look");
  end_the_aim();
  ASSERT_EQ(channel->answers.size(), 1U);
  EXPECT_EQ(channel->answers[0].ending, Ending::unavailable);
  EXPECT_EQ(attempts.cancelled.size(), 1U);
}

TEST_F(EndOfAnRpc, IsTheAnswerThatHasBegun) {
  const auto rpc = take("look");
  attempts.begun = true;
  end_the_aim();
  EXPECT_EQ(channel->answers.size(), 0U);
  EXPECT_EQ(attempts.cancelled.size(), 0U);
  attempt_ends(rpc, Result::ok, true);
  ASSERT_EQ(channel->answers.size(), 1U);
  EXPECT_TRUE(channel->answers[0].stream);
  EXPECT_EQ(core.known(), 0U);
}

// Guards against a request without an answer: what had begun broke in the moment in which it was to be passed
// on, and the module has given the request up already.
TEST_F(EndOfAnRpc, IsTheModulesWordIfTheAnswerBreaksThen) {
  for (const std::string klass : {"look", "book"}) {
    attempts.begun = false;
    attempts.started.clear();
    channel->answers.clear();
    const auto rpc = take(klass);
    attempts.begun = true;
    end_the_aim();
    attempt_ends(rpc, Result::reset);
    ASSERT_EQ(channel->answers.size(), 1U) << klass;
    EXPECT_EQ(channel->answers[0].ending, klass == "look" ? Ending::unavailable : Ending::failed);
    EXPECT_EQ(core.known(), 0U);
  }
}

TEST_F(EndOfAnRpc, WaitsForTheAnswerAtTheEndOfTheProcess) {
  const auto rpc = take("look");
  attempts.begun = true;
  core.give_up();
  core.turn();
  core.give_up();
  EXPECT_EQ(channel->answers.size(), 0U);
  attempt_ends(rpc, Result::ok, true);
  EXPECT_EQ(channel->answers.size(), 1U);
}

TEST_F(EndOfAnRpc, IsACancelOnceTheClientHasLeft) {
  const auto rpc = take("look");
  attempts.begun = true;
  core.abandoned(rpc);
  core.turn();
  EXPECT_EQ(attempts.passed_on.size(), 0U);
  EXPECT_EQ(attempts.cancelled.size(), 1U);
}

// A worker is told what is left to a client whose last byte may have been written a while ago.
TEST_F(EndOfAnRpc, TellsAWorkerWhatIsLeftOfAnUpload) {
  channel->has_waited = milliseconds(50);
  take("book", true);
  EXPECT_EQ(attempts.told, kWait - milliseconds(50));
}

// Guards against a place in a worker's window that is lost for good: the client has left before a second
// attempt is begun, and the outcome of that one was told under the number of the first.
TEST_F(EndOfAnRpc, ReturnsTheSecondAttemptOfAClientThatHasLeft) {
  const auto rpc = take("look");
  channel->leave = [&] { core.abandoned(rpc); };
  attempt_ends(rpc, Result::error);
  pass_a_tick();
  EXPECT_TRUE(core.outstanding() == Outstanding{});
  EXPECT_EQ(core.unplaced_outcomes(), 0U);
}

// Whatever comes in whichever order: with no request left, nothing that was lent is still out.
RC_GTEST_FIXTURE_PROP(EndOfAnRpc, LeavesNothingOut, ()) {
  enum class Step { take, end, leave, leave_at_send, list, turn };
  std::vector<RpcId> rpcs;
  std::set<RpcId> left;
  std::size_t ended = 0;
  const auto end_next = [&](Result result) {
    if (ended == attempts.started.size()) return;
    const auto [rpc, attempt] = attempts.started[ended++];
    AttemptResult outcome;
    outcome.result = result;
    core.attempt_ended(rpc, attempt, std::move(outcome));
  };
  const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
  for (const auto step : steps) {
    switch (static_cast<Step>(step)) {
      case Step::take:
        rpcs.push_back(begin(*rc::gen::element<std::string>("look", "book")));
        break;
      case Step::end:
        end_next(*rc::gen::element(Result::ok, Result::error, Result::full, Result::reset,
                                   Result::connect_failed));
        break;
      case Step::leave:
        if (!rpcs.empty()) core.abandoned(rpcs.back());
        break;
      case Step::leave_at_send:
        channel->leave = [&] {
          if (!rpcs.empty()) core.abandoned(rpcs.back());
        };
        break;
      case Step::list:
        core.resolved({ListScope::full, {server(*rc::gen::element<std::string>("one", "two"))}});
        break;
      case Step::turn:
        core.turn();
        break;
    }
  }
  channel->leave = {};
  for (const auto rpc : rpcs) core.abandoned(rpc);
  for (int turn = 0; turn < 4; ++turn) {
    core.turn();
    while (ended < attempts.started.size()) end_next(Result::cancelled);
  }
  pass_a_tick();
  RC_ASSERT(core.outstanding() == Outstanding{});
  RC_ASSERT(core.attempts_out() == 0);
  RC_ASSERT(core.attempts_by_worker().empty());
  RC_ASSERT(core.unplaced_outcomes() == 0U);
  RC_ASSERT(core.known() == 0U);
}

}  // namespace
}  // namespace cranemux::core
