// The core of the gatekeeper: owns the decision module and the RPCs in flight. It turns what happens into
// the module's events and the module's actions into calls on the interfaces below. It knows no wire.
// It guarantees each RPC one final answer, in time, and, but where the settings allow second copies, one call
// attempt out at a time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cranemux/decision_module.h"
#include "metrics/counters.h"
#include "metrics/logger.h"

namespace cranemux::core {

using Clock = std::chrono::steady_clock;
using RpcId = std::uint64_t;
using std::chrono::nanoseconds;

struct RpcTerms {
  std::string klass, plan, customer;
  nanoseconds budget{};  // until the client gives up
  double units = 1;
  int first = 0, spread = 1;
  bool repeat = false;
  bool uploading = false;  // its last byte has yet to come: its time begins before `uploaded`, by `waited`
};

// What call attempts carry to a worker: made by a front, read by the attempt layer only.
struct Payload {
  virtual ~Payload() = default;
  virtual bool repeatable() const { return true; }    // all of it is still held
  virtual bool shared() const { return true; }        // two attempts may send it at the same time
  virtual std::string_view id() const { return {}; }  // as its client named it, for the log
  // Told at the end of an RPC that may have run and is not of a class that may simply be repeated.
  // `patience`: for how long clients of its class come again, at most.
  virtual void may_have_run(nanoseconds /*patience*/) const {}
  std::shared_ptr<void> lasts;  // stays while the RPC, or a call attempt of it, is at work
};

enum class Ending { served, unavailable, failed };
struct FinalAnswer {
  Ending ending = Ending::failed;
  std::string body = {};              // served: the worker's
  std::shared_ptr<void> stream = {};  // served: what goes on, of a kind that front and attempts share
  metrics::Lane* lane = nullptr;      // of a stream: whoever ends it counts how
  nanoseconds retry_after{};          // unavailable: when to come back
  nanoseconds left{};                 // unavailable: of the RPC's time
  std::string_view why = {};          // for the log
  bool out = false;                   // its call attempt may still be at work
};

// The client's side of an RPC. Called once for each RPC that the client has not left.
class Channel {
 public:
  virtual ~Channel() = default;
  virtual void answer(RpcId rpc, FinalAnswer&& answer) = 0;
  // Asked before an attempt begins, as the client's end may have come behind bytes that are not read yet.
  // True: it has gone, which `abandoned` was told from within the call.
  virtual bool left() { return false; }
  // For how long, at most, the last byte of an RPC that is uploading may have been written.
  virtual nanoseconds waited() const { return {}; }
};

struct AttemptResult {
  cranemux::Result result = cranemux::Result::ok;
  nanoseconds took{};
  cranemux::LoadReport load;
  std::string body;
  double true_units = 0;
  std::shared_ptr<void> stream = {};
};

struct AttemptLimits {
  nanoseconds patience{};
  Clock::time_point whole_by = Clock::time_point::max();  // its last byte goes out by then, or never
  nanoseconds told = nanoseconds::max();                  // of its patience, at most, to the worker
  Clock::time_point deadline = Clock::time_point::max();  // of its request
};

class CallAttempts {
 public:
  virtual ~CallAttempts() = default;
  // Each start is followed by one attempt_ended, never from within the call.
  virtual void start(RpcId rpc, int attempt, const std::string& worker, const AttemptLimits& limits,
                     const std::shared_ptr<const Payload>& payload) = 0;
  virtual void cancel(RpcId rpc, int attempt) = 0;
  // The attempts of an RPC end by `at` in any case: its time runs now.
  virtual void limit_patience(RpcId rpc, Clock::time_point at) = 0;
  // The client has gone: what has not reached a worker whole never does.
  virtual void withdraw(RpcId rpc) = 0;
  // An attempt whose answer has begun, so that its client can be given it as it comes, ends with what has
  // come of it, instead of being given up. False: it has not begun.
  virtual bool pass_on(RpcId rpc, int attempt) = 0;
};

class Peers {
 public:
  virtual ~Peers() = default;
  virtual void tell(int to, const std::string& bytes) = 0;
};

class Host {  // has turn() called
 public:
  virtual ~Host() = default;
  virtual void turn_soon() = 0;
  virtual void turn_at(Clock::time_point at) = 0;  // replaces the time asked for before
};

class Core {
 public:
  // `shares`: a core whose customers' quotas this one shares, each with a module of its own.
  Core(const cranemux::Settings& settings, metrics::Logger& logger, metrics::Counters& counters,
       Core* shares = nullptr);

  void connect(CallAttempts& attempts, Peers& peers, Host& host);
  bool knows_class(const std::string& name) const;
  bool is(const std::string& klass,
          cranemux::Repeat repeat) const;                   // a class that is known, and of that kind
  nanoseconds patience_of(const std::string& klass) const;  // how long its clients wait, at most
  nanoseconds longest_patience() const;                     // of any class
  const cranemux::PlanSettings* plan(const std::string& name) const;
  const cranemux::Settings& settings() const { return settings_; }
  // A customer's store, as the module knows it here; none where it does not, or its plan has no rate.
  std::optional<cranemux::Allowance> allowance(const std::string& customer) const;

  std::string guard_report() const;  // see DecisionModule

  RpcId take(RpcTerms terms, std::shared_ptr<const Payload> payload, std::shared_ptr<Channel> channel);
  // The last byte of an RPC that was uploading has been on this machine for `waited`, at most.
  void uploaded(RpcId rpc, nanoseconds waited);
  void abandoned(RpcId rpc);        // its client has gone
  void attempt_written(RpcId rpc);  // its last byte has gone to the worker
  void attempt_ended(RpcId rpc, int attempt, AttemptResult&& result);
  void resolved(cranemux::ServerList&& list);
  void peer_said(int from, std::string bytes);
  void leaving();  // the gatekeeper is about to end
  // Of a process that is replaced: what the next one must know, after which that one decides; and the other
  // way.
  std::string hand_over(std::function<void(const cranemux::SpentElsewhere&)> spent);
  void take_back();
  bool take_over(const std::string& state);  // before the first turn. False: it could not be used
  void spent_elsewhere(const cranemux::SpentElsewhere& spent);
  // Answers all that is left, as the process is about to end.
  void give_up();
  void turn();  // steps of the module, with what has happened since the last turn, in bounded time
  // What has happened and was not taken up yet, in events.
  std::size_t events_waiting() const { return events_.size() + batch_.size() - batch_taken_; }

  void forget_all() { rpcs_.clear(); }  // at the process's end: what is left has no answer

  std::size_t in_flight() const { return unanswered_; }
  // Attempts without an end: by the module's count, and by the core's own.
  cranemux::Outstanding outstanding() const { return module_.outstanding(); }
  int attempts_out() const;
  std::map<std::string, int> attempts_by_worker() const { return module_.attempts_by_server(); }
  std::uint64_t unplaced_outcomes() const { return module_.unplaced_outcomes(); }
  std::size_t avoided() const;                        // workers in the list that the module sends nothing now
  std::size_t known() const { return rpcs_.size(); }  // with those answered whose call attempt is still out
  // What customers have asked for, and units sent on, for the console; the last ones only where they are
  // many.
  struct Use {
    std::string plan;
    double units = 0;
    RpcId last = 0;
    std::uint64_t rpcs = 0, unavailable = 0;
  };
  const std::map<std::string, Use>& use() const { return use_; }

 private:
  struct Rpc {
    RpcTerms terms;
    std::shared_ptr<const Payload> payload;
    std::shared_ptr<Channel> channel;  // none once answered
    Clock::time_point guard;           // answered by the core itself by then
    metrics::Lane* lane = nullptr;     // of its class
    const cranemux::ClassSettings* klass = nullptr;
    int attempts = 0, out = 0;  // that the module has numbered, and those begun without an end
    bool may_have_run = false;
    Clock::time_point taken = Clock::now();
    std::optional<FinalAnswer> otherwise;  // given if the answer that has begun cannot be passed on
  };
  using Rpcs = std::unordered_map<RpcId, Rpc>;

  template <typename What>
  void push(What&& event) {
    events_.emplace_back(std::forward<What>(event));
    if (!std::exchange(turn_asked_, true)) host_->turn_soon();
  }
  Rpc* find(const std::string& id, RpcId& number);
  const cranemux::ClassSettings* class_of(const std::string& name) const;
  static bool harmless(const Rpc& rpc);  // may be called unavailable
  bool may_send(const Rpc& rpc) const;
  void finish(RpcId id, Rpc& rpc, FinalAnswer&& answer);
  void end(RpcId id, Rpc& rpc, FinalAnswer&& answer);
  bool passes_on(RpcId id, const Rpc& rpc);
  void log_answer(RpcId id, const Rpc& rpc, const FinalAnswer& answer);
  void give_up(RpcId id);
  void drop_if_over(RpcId id);
  void count_use(const RpcTerms& terms);
  void carry_out(const cranemux::Action& action);
  void send(const cranemux::Send& send);
  void guard_deadlines(Clock::time_point now);
  void add_due_timers(Clock::time_point now);
  bool next_events();  // the next ones of `batch_`, into `stepping_`; false: there are none
  void count(cranemux::Result result);

  const cranemux::Settings settings_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  CallAttempts* attempts_ = nullptr;
  Peers* peers_ = nullptr;
  Host* host_ = nullptr;
  cranemux::DecisionModule module_;
  // In the order in which they happened: those of the running step, those taken up next, and newer ones.
  std::vector<cranemux::Event> stepping_, batch_, events_;
  std::size_t batch_taken_ = 0;
  std::vector<cranemux::Action> actions_;
  std::multimap<Clock::time_point, std::uint64_t> timers_;
  std::set<std::pair<Clock::time_point, RpcId>> guards_;
  Rpcs rpcs_;
  std::map<std::string, Use> use_;
  RpcId last_id_ = 0;
  std::size_t unanswered_ = 0;
  std::function<void(const cranemux::SpentElsewhere&)> spent_;  // told while another process serves
  bool turn_asked_ = false;
};

}  // namespace cranemux::core
