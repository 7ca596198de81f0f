// Call attempts on connections to workers, each carrying one at a time.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "attempt/body_pipe.h"
#include "core/core.h"
#include "http/http.h"
#include "net/net.h"
#include "pool/budget.h"

namespace cranemux::attempt {

// How a front's RPC is put to a worker, and what the worker's answer means.
class Exchange : public core::Payload {
 public:
  virtual std::string message(std::chrono::milliseconds patience) const = 0;
  virtual core::AttemptResult read(const http::Message& answer) const = 0;
  // Does an answer with this head go on for as long as the worker likes? Then `read` is not asked, and the
  // result's stream is an Upstream.
  virtual bool streams(const http::Message&) const { return false; }
  virtual bool may_stream() const { return false; }
  // May an answer be longer than is held? Then the result's stream is an Upstream, too, from its first bytes
  // on.
  virtual bool may_be_long() const { return false; }
  // What follows `message`, where that is not all of the request.
  virtual std::shared_ptr<BodyPipe> body() const { return nullptr; }
  bool shared() const override { return !may_stream() && !body(); }
  // What the gatekeeper answers itself, without a worker; nothing goes out then.
  virtual std::optional<core::AttemptResult> own_answer() const { return std::nullopt; }
};

// A connection on which an answer goes on: whoever takes it closes it, or gives it back after its last byte.
struct Upstream {
  net::tcp::socket socket;
  std::string buffer;  // what has come of the body
  bool chunked = false;
  pool::Lease lease;
  std::string node;
  std::string head = {};  // of a long answer
  http::Framing framing = {};
  bool keep_alive = false;
  // Passed on while its worker paused: more has to come by then. None: in time.
  std::optional<net::Clock::time_point> more_by = {};
  std::shared_ptr<const core::Payload> payload = {};  // its request is open until then
  std::function<void(Upstream&)> give_back = {};
  std::shared_ptr<void> here = {};  // of the attempts, which stay as long
};

struct Limits {
  std::chrono::nanoseconds connect_timeout{}, connection_idle{}, drain_grace{};
  // A second copy of an answer may come some milliseconds late: a connection rests so long before it is used
  // again, and longer for a while after a worker has said more than was asked for.
  std::chrono::nanoseconds rest = std::chrono::milliseconds(25), wary_rest = std::chrono::milliseconds(100);
  // A worker whose machine takes nothing of a body for so long is dead, not slow.
  std::chrono::nanoseconds body_silence = std::chrono::seconds(10);
};

class Attempts : public core::CallAttempts {
 public:
  // Connections are leased from `connections`, which may lend what others do not use. `reclaim` asks them for
  // one.
  Attempts(net::asio::io_context& io, core::Core& core, const Limits& limits, pool::Purse& connections,
           std::function<bool()> reclaim, metrics::Logger& logger, metrics::Counters& counters);
  ~Attempts() override;

  void resolved(const config::ResolverResult& result, bool whole);
  void start(core::RpcId rpc, int attempt, const std::string& worker, const core::AttemptLimits& limits,
             const std::shared_ptr<const core::Payload>& payload) override;
  void cancel(core::RpcId rpc, int attempt) override;
  void limit_patience(core::RpcId rpc, net::Clock::time_point at) override;
  void withdraw(core::RpcId rpc) override;
  bool pass_on(core::RpcId rpc, int attempt) override;

  struct Node {
    std::string state;
    std::size_t idle = 0, busy = 0;
    std::uint64_t sent = 0;
  };
  std::map<std::string, Node> nodes() const;

  bool close_oldest_idle();  // false: none is idle
  void stop();               // once no call is out: closes all; may go when idle()
  bool idle() const { return calls_.empty() && scope_.empty(); }

 private:
  struct Connection {
    net::tcp::socket socket;
    std::string buffer;
    net::Clock::time_point idle_since;
    pool::Lease lease;
  };
  struct Worker {
    config::ListEntry entry;
    net::Clock::time_point stop_at = net::Clock::time_point::max();  // no first byte is sent after it
    std::deque<std::unique_ptr<Connection>> idle;                    // the last used at the back
    std::size_t busy = 0;
    std::uint64_t sent = 0, generation = 0;  // of its process
  };
  enum class Stop { none, cancelled, timeout, withdrawn };
  struct BodyProgress {            // of a body that is being sent, in bytes
    std::uint64_t written = 0;     // to the kernel
    std::int64_t taken = 0;        // by the worker's machine, at the last look
    net::Clock::time_point since;  // it has taken something
  };
  struct Call : std::enable_shared_from_this<Call> {
    Call(net::asio::io_context& io) : timer(io), more(io) {}
    core::RpcId rpc = 0;
    int attempt = 0;
    std::shared_ptr<Worker> worker;
    std::unique_ptr<Connection> connection;
    net::asio::steady_timer timer,
        more;  // its limit; more of its body has come, or of its answer is waited for
    net::Clock::time_point started, give_up, whole_by, deadline;
    std::chrono::nanoseconds told{};          // of its time, at most, to the worker
    std::chrono::nanoseconds delay_before{};  // of the loop, in all, when it started
    std::shared_ptr<const core::Payload> payload;
    Stop stop = Stop::none;
    std::optional<BodyProgress> body;
    bool written = false, no_room = false;
    bool begun = false;        // its answer has, in a way that can be passed on as it comes
    bool passes_on = false;    // what has come of the answer, now
    std::size_t received = 0;  // bytes of the answer
  };

  net::awaitable<void> run(std::shared_ptr<Call> call);
  net::awaitable<bool> open(Call& call);
  net::awaitable<core::AttemptResult> exchange(Call& call);
  net::awaitable<bool> send_body(Call& call, BodyPipe& body);
  net::awaitable<bool> write_body(Call& call, BodyPipe& body);
  void end_if_silent(Call& call);
  core::AttemptResult begin_stream(Call& call, const http::Message& head);
  core::AttemptResult begin_long(Call& call, const http::Message& head, const http::Framing& framing);
  void log_end(const Call& call, cranemux::Result result, bool kept) const;
  std::unique_ptr<Connection> reuse(Worker& worker);
  void too_much();  // some worker has said more than was asked for
  core::AttemptResult broken(const Call& call) const;
  // The result of an answer that has been read, or is given up; `more_may_wait`: bytes that are not read yet.
  core::AttemptResult conclude(Call& call, const http::Verdict& verdict, const http::Message& answer,
                               bool more_may_wait);
  // How long its worker has taken: less the time in which the loop was late and could not see its answer.
  std::chrono::nanoseconds taken_by_worker(const Call& call) const;
  void begin_measure(Call& call) const;
  void limit(Call& call, net::Clock::time_point at);
  void end_read(Call& call, net::Clock::time_point at);  // without an end of the call
  bool pass_on(Call& call);
  void close(Call& call, Stop stop);
  pool::Lease make_room();
  void forget_left();
  net::awaitable<void> sweep();

  net::asio::io_context& io_;
  core::Core& core_;
  const Limits limits_;
  metrics::Logger& logger_;
  metrics::Counters& counters_;
  std::unordered_map<std::string, std::shared_ptr<Worker>> workers_;
  std::map<std::pair<core::RpcId, int>, std::shared_ptr<Call>> calls_;  // by the number of the attempt, too
  net::asio::steady_timer sweeper_;
  pool::Purse& connections_;
  const std::function<bool()> reclaim_;
  net::Clock::time_point wary_until_{};  // of workers that say more than was asked for
  net::Scope scope_;
};

}  // namespace cranemux::attempt
