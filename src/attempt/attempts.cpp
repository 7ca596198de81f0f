#include "attempt/attempts.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <unordered_set>

#include "attempt/begun_answer.h"
#include "attempt/trailing_bytes.h"
#include "http/chunk.h"
#include "net/loop_delay.h"

namespace cranemux::attempt {
namespace {

using cranemux::Result;
using net::Clock;
constexpr std::chrono::seconds kSweep{1};
constexpr std::chrono::milliseconds kDawdles{200};  // an answer of no told length is passed on as it comes
constexpr std::chrono::milliseconds kMaxHeldBack{1000};  // the same, while its worker pauses ...
constexpr std::chrono::milliseconds kBeforeEnd{100};     // ... and no later than this before the call ends
constexpr std::chrono::milliseconds kMostPause{
    3000};  // of its worker, from then on, where its length is not told
constexpr std::size_t kBodyPiece = 16 * 1024;
constexpr std::size_t kAnswerPiece = 4096;
constexpr std::chrono::milliseconds kBodyLook{50};     // for an answer that comes before the body's end
constexpr std::chrono::milliseconds kDrainMargin{20};  // before the grace of a drain ends
constexpr std::chrono::seconds kWary{60};              // of workers that said more than was asked for

bool readable(net::tcp::socket& socket) { return !net::peek(socket, 1).empty(); }

// Open, and nothing has come: neither bytes nor an end.
bool quiet(net::tcp::socket& socket) {
  char byte = 0;
  const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Bytes that were written and the other machine has not taken. None: the system does not tell.
std::optional<std::int64_t> untaken(net::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) return std::nullopt;
  return bytes;
}

// Drops interim answers (1xx) from the start of `buffer`, and counts their bytes in `interim`.
http::Verdict parse_answer(std::string& buffer, std::size_t& interim, http::Message& answer, bool ended) {
  std::size_t passed = 0;
  for (;;) {
    const auto verdict =
        http::parse(std::string_view(buffer).substr(passed), http::Kind::response, answer, ended);
    if (verdict.state == http::State::whole && answer.status < 200) {
      passed += answer.size;
      interim += answer.size;
      if (answer.status == 101 || interim > http::kMostHead) return {http::State::bad, 502, 0};
    } else if (passed == 0) {
      return verdict;
    } else {  // many at once are dropped in one go; what `answer` refers to has moved
      buffer.erase(0, std::exchange(passed, 0));
    }
  }
}

}  // namespace

Attempts::Attempts(net::asio::io_context& io, core::Core& core, const Limits& limits,
                   pool::Purse& connections, std::function<bool()> reclaim, metrics::Logger& logger,
                   metrics::Counters& counters)
    : io_(io),
      core_(core),
      limits_(limits),
      logger_(logger),
      counters_(counters),
      sweeper_(io),
      connections_(connections),
      reclaim_(std::move(reclaim)) {
  scope_.spawn(io_, logger_, "connection sweep", sweep());
}

Attempts::~Attempts() = default;

void Attempts::resolved(const config::ResolverResult& result, bool whole) {
  const auto stop = [&](Worker& worker, const char* state) {
    worker.entry.state = state;
    worker.stop_at = std::min(worker.stop_at, Clock::now() + limits_.drain_grace - kDrainMargin);
  };
  if (whole) {  // who is not in it is gone
    std::unordered_set<std::string_view> listed;
    for (const auto& entry : result.entries) listed.insert(entry.name);
    for (auto& [name, worker] : workers_) {
      if (!listed.contains(name)) stop(*worker, "left");
    }
  }
  for (const auto& entry : result.entries) {
    auto& worker = workers_[entry.name];
    if (!worker) worker = std::make_shared<Worker>();
    const auto& was = worker->entry;
    const bool moved =
        entry.state != "left" && (entry.since != was.since || entry.address.host != was.address.host ||
                                  entry.address.port != was.address.port);
    if (moved) {  // connections to the process before it lead nowhere
      worker->idle.clear();
      ++worker->generation;
    }
    if (entry.state == "active") {
      worker->entry = entry;
      worker->stop_at = Clock::time_point::max();
    } else {
      if (entry.state != "left") worker->entry = entry;
      stop(*worker, entry.state.c_str());
    }
  }
  forget_left();
}

void Attempts::forget_left() {
  std::erase_if(workers_, [&](const auto& item) {
    const auto& worker = *item.second;
    return worker.entry.state == "left" && worker.busy == 0;
  });
}

std::map<std::string, Attempts::Node> Attempts::nodes() const {
  std::map<std::string, Node> out;
  for (const auto& [name, worker] : workers_) {
    out[name] = {worker->entry.state, worker->idle.size(), worker->busy, worker->sent};
  }
  return out;
}

void Attempts::start(core::RpcId rpc, int attempt, const std::string& worker,
                     const core::AttemptLimits& limits, const std::shared_ptr<const core::Payload>& payload) {
  auto call = std::make_shared<Call>(io_);
  call->rpc = rpc;
  call->attempt = attempt;
  call->payload = payload;
  begin_measure(*call);
  call->give_up = call->started + limits.patience;
  call->whole_by = limits.whole_by;
  call->told = limits.told;
  call->deadline = limits.deadline;
  const auto found = workers_.find(worker);
  if (found != workers_.end()) call->worker = found->second;
  calls_[{rpc, attempt}] = call;
  scope_.spawn(io_, logger_, "call attempt", run(std::move(call)));
}

void Attempts::cancel(core::RpcId rpc, int attempt) {
  const auto found = calls_.find({rpc, attempt});
  if (found != calls_.end()) close(*found->second, Stop::cancelled);
}

void Attempts::limit_patience(core::RpcId rpc, Clock::time_point at) {
  for (auto next = calls_.lower_bound({rpc, 0}); next != calls_.end() && next->first.first == rpc; ++next) {
    auto& call = *next->second;
    call.give_up = std::min(call.give_up, at);
    call.deadline = std::min(call.deadline, at);
    if (call.timer.expiry() > at) limit(call, at);
  }
}

void Attempts::withdraw(core::RpcId rpc) {
  for (auto at = calls_.lower_bound({rpc, 0}); at != calls_.end() && at->first.first == rpc; ++at) {
    if (!at->second->written) close(*at->second, Stop::withdrawn);
  }
}

void Attempts::close(Call& call, Stop stop) {
  if (call.stop != Stop::none) return;
  call.stop = stop;
  if (call.begun) ++counters_.answers_given_up;
  call.more.cancel();
  boost::system::error_code ignored;
  if (call.connection) call.connection->socket.close(ignored);
}

// Ends the call at `at` by closing its connection; replaces the limit before.
void Attempts::limit(Call& call, Clock::time_point at) {
  call.timer.expires_at(at);
  call.timer.async_wait([this, weak = call.weak_from_this()](const boost::system::error_code& error) {
    const auto held = weak.lock();
    if (error || !held || held->timer.expiry() > Clock::now()) return;
    if (!pass_on(*held)) close(*held, Stop::timeout);
  });
}

bool Attempts::pass_on(core::RpcId rpc, int attempt) {
  const auto found = calls_.find({rpc, attempt});
  return found != calls_.end() && pass_on(*found->second);
}

// What has come may not be read yet, as after a time in which this process did not run.
bool Attempts::pass_on(Call& call) {
  if (call.stop != Stop::none || !call.written || !call.connection) return false;
  if (!static_cast<const Exchange&>(*call.payload).may_be_long()) return false;
  auto& connection = *call.connection;
  if (!call.begun && !begun_answer(connection.buffer + net::peek(connection.socket, http::kMostHead)))
    return false;
  if (std::exchange(call.passes_on, true)) return true;
  ++counters_.answers_kept_past_end;
  logger_.log(metrics::Level::debug, "attempt rpc=", call.rpc, " number=", call.attempt,
              " is not given up: its answer has begun");
  boost::system::error_code ignored;
  if (call.begun) connection.socket.cancel(ignored);
  return true;
}

net::awaitable<void> Attempts::run(std::shared_ptr<Call> call) {
  core::AttemptResult result;
  result.result = call->stop == Stop::none ? Result::connect_failed : Result::not_sent;
  auto own = static_cast<const Exchange&>(*call->payload).own_answer();
  if (own && call->stop == Stop::none) {
    result = std::move(*own);
  } else if (call->worker && call->stop == Stop::none) {
    const auto generation = call->worker->generation;
    ++call->worker->busy;
    limit(*call, std::min({call->give_up, call->whole_by, call->started + limits_.connect_timeout}));
    call->connection = reuse(*call->worker);
    const bool kept = call->connection != nullptr;
    const bool up = call->connection || co_await open(*call);
    // A drain may have begun while the connection came up.
    const bool late = Clock::now() >= std::min(call->worker->stop_at, call->whole_by);
    if (up && call->stop == Stop::none && !late) {
      limit(*call, std::min(call->give_up, call->whole_by));
      result = co_await exchange(*call);
    }
    const bool too_late = late || Clock::now() >= call->whole_by;
    if (!call->written && (call->no_room || call->stop == Stop::withdrawn || (up && late) ||
                           (call->stop == Stop::timeout && too_late))) {
      result.result = Result::not_sent;  // it has not gone out whole, and the worker is not to blame
    }
    log_end(*call, result.result, kept);
    call->timer.cancel();
    --call->worker->busy;
    if (call->connection) {
      call->connection->idle_since = Clock::now();
      // One to a worker that has gone, or to the process before it, is of no use.
      const bool lasts = call->worker->entry.state != "left" && call->worker->generation == generation;
      if (call->connection->socket.is_open() && lasts) {
        call->worker->idle.push_back(std::move(call->connection));
      } else {
        call->connection.reset();
      }
    }
  }
  result.took = taken_by_worker(*call);
  calls_.erase({call->rpc, call->attempt});
  core_.attempt_ended(call->rpc, call->attempt, std::move(result));
}

void Attempts::begin_measure(Call& call) const {
  call.started = Clock::now();
  call.delay_before = net::LoopDelay::of(io_).total(call.started);
}

std::chrono::nanoseconds Attempts::taken_by_worker(const Call& call) const {
  const auto now = Clock::now();
  const auto delay = net::LoopDelay::of(io_).total(now) - call.delay_before;
  return std::max(std::chrono::nanoseconds{}, now - call.started - delay);
}

// tools/count-attempts adds these up over a fleet.
void Attempts::log_end(const Call& call, Result result, bool kept) const {
  static constexpr std::array kNames{"ok",    "error",     "full", "timeout", "connect_failed",
                                     "reset", "cancelled", "moot"};
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - call.started);
  logger_.log(metrics::Level::debug, "attempt rpc=", call.rpc, " number=", call.attempt,
              " node=", call.worker->entry.name, " result=", kNames.at(static_cast<std::size_t>(result)),
              " ms=", took.count(), " connection=", kept ? "kept" : "new", " answer_bytes=", call.received,
              " id=", call.payload->id());
}

// The connection used last of those that have rested, if it is surely still open: the worker's machine may
// have closed it, and soon will. A second copy of an answer that is on its way on one just used would be
// taken for the answer to the next request.
std::unique_ptr<Attempts::Connection> Attempts::reuse(Worker& worker) {
  const auto now = Clock::now(), oldest = now - limits_.connection_idle * 4 / 5;
  const auto newest = now - (now < wary_until_ ? limits_.wary_rest : limits_.rest);
  for (auto at = worker.idle.size(); at-- > 0;) {
    if (worker.idle[at]->idle_since > newest) continue;
    auto connection = std::move(worker.idle[at]);
    worker.idle.erase(worker.idle.begin() + static_cast<std::ptrdiff_t>(at));
    if (quiet(connection->socket)) {
      if (connection->idle_since > oldest) return connection;
    } else if (readable(connection->socket)) {
      too_much();
    }
  }
  return nullptr;
}

void Attempts::too_much() {
  ++counters_.attempts_overfull;
  wary_until_ = Clock::now() + kWary;
}

bool Attempts::close_oldest_idle() {
  Worker* oldest = nullptr;
  for (auto& [name, worker] : workers_) {
    if (worker->idle.empty()) continue;
    if (!oldest || worker->idle.front()->idle_since < oldest->idle.front()->idle_since) oldest = worker.get();
  }
  if (oldest) oldest->idle.pop_front();
  return oldest != nullptr;
}

void Attempts::stop() {
  sweeper_.cancel();
  for (auto& [name, worker] : workers_) worker->idle.clear();
}

// One more connection, if there may be: an idle one goes for it if there must be, an own one first.
pool::Lease Attempts::make_room() {
  auto lease = connections_.take();
  if (!lease && (close_oldest_idle() || reclaim_())) lease = connections_.take();
  return lease;
}

net::awaitable<bool> Attempts::open(Call& call) {
  auto lease = make_room();
  if (!lease) {
    ++counters_.attempts_no_room;
    logger_.log(metrics::Level::debug, "no room for a connection to ", call.worker->entry.name);
    call.no_room = true;
    co_return false;
  }
  call.connection.reset(new Connection{net::tcp::socket(io_), {}, {}, std::move(lease)});
  auto& socket = call.connection->socket;
  boost::system::error_code error;
  const auto target = net::endpoint<net::tcp>(call.worker->entry.address);
  socket.open(target.protocol(), error);
  if (error) {  // as when descriptors have run out
    ++counters_.attempts_no_room;
    call.connection.reset();
    call.no_room = true;
    co_return false;
  }
  ++counters_.worker_connections;
  socket.set_option(net::tcp::no_delay(true), error);
  std::tie(error) = co_await socket.async_connect(target, net::kResult);
  if (error) {
    boost::system::error_code ignored;
    socket.close(ignored);
  }
  co_return !error;
}

core::AttemptResult Attempts::broken(const Call& call) const {
  core::AttemptResult result;
  if (!call.written) {
    result.result = Result::connect_failed;
  } else if (call.stop == Stop::none) {
    result.result = Result::reset;
  } else {
    result.result = call.stop == Stop::timeout ? Result::timeout : Result::cancelled;
  }
  return result;
}

net::awaitable<core::AttemptResult> Attempts::exchange(Call& call) {
  const auto& payload = static_cast<const Exchange&>(*call.payload);
  auto& connection = *call.connection;
  auto& socket = connection.socket;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::min<std::chrono::nanoseconds>(call.give_up - Clock::now(), call.told));
  const auto message = payload.message(std::max(left, std::chrono::milliseconds(1)));
  ++call.worker->sent;
  boost::system::error_code error;
  std::size_t count = 0;
  std::tie(error, count) = co_await net::asio::async_write(socket, net::asio::buffer(message), net::kResult);
  bool whole_sent = count == message.size();
  if (const auto body = payload.body()) {
    whole_sent = whole_sent && co_await send_body(call, *body);
    begin_measure(call);  // what a worker is measured by begins with the last byte
  }
  call.written = whole_sent;
  if (call.written) core_.attempt_written(call.rpc);
  if (call.written && call.stop == Stop::none && call.whole_by < call.give_up) limit(call, call.give_up);
  http::Message answer;
  http::Verdict verdict;
  Clock::time_point first{};  // byte of the answer
  std::size_t interim = 0;    // bytes of 1xx answers, which come before the answer
  bool more_may_wait = false;
  connection.buffer.clear();
  // One whose body broke off has nothing to wait for, but a worker may have said why.
  while (!error && call.stop == Stop::none && (call.written || readable(socket))) {
    const auto had = connection.buffer.size();
    if (call.begun) end_read(call, std::min(first + kMaxHeldBack, call.give_up - kBeforeEnd));
    error = co_await net::read_some(socket, connection.buffer, kAnswerPiece);
    if (call.begun) call.more.cancel();
    const bool paused = call.begun && error == net::asio::error::operation_aborted && call.stop == Stop::none;
    if (paused) error = {};
    const auto count = connection.buffer.size() - had;
    call.received += count;
    more_may_wait = count == kAnswerPiece;
    if (call.stop != Stop::none || (error && error != net::asio::error::eof)) break;
    if (payload.may_stream() &&
        http::parse_head(connection.buffer, http::Kind::response, answer).state == http::State::whole &&
        payload.streams(answer)) {
      co_return begin_stream(call, answer);
    }
    if (first == Clock::time_point{}) first = Clock::now();
    const bool dawdles = Clock::now() - first > kDawdles;
    const bool looks = call.passes_on || (call.begun && (paused || dawdles));
    if (!error && !looks && connection.buffer.size() < verdict.need) continue;
    verdict = parse_answer(connection.buffer, interim, answer, error == net::asio::error::eof);
    // What does not fit, or dawdles, is passed on as it comes.
    const bool too_long = verdict.state == http::State::bad && verdict.status == 413;
    if (payload.may_be_long() && !error && (too_long || verdict.state == http::State::partial)) {
      const auto begun = begun_answer(connection.buffer);
      call.begun = begun.has_value();
      if (begun && (too_long || paused || dawdles || call.passes_on)) {
        auto result = begin_long(call, begun->head, begun->framing);
        if (!too_long && (paused || call.passes_on)) {
          std::static_pointer_cast<Upstream>(result.stream)->more_by =
              std::max(call.deadline, Clock::now() + kMostPause);
        }
        co_return result;
      }
    }
    if (verdict.state != http::State::partial) break;
  }
  co_return conclude(call, verdict, answer, more_may_wait);
}

core::AttemptResult Attempts::conclude(Call& call, const http::Verdict& verdict, const http::Message& answer,
                                       bool more_may_wait) {
  auto& connection = *call.connection;
  const std::string_view read = connection.buffer;
  const bool going = call.stop == Stop::none;
  const bool whole = going && verdict.state == http::State::whole;
  auto trailing = Trailing::none;
  if (whole) {
    std::string behind(read.substr(answer.size));
    if (behind.size() < kMinRepetition && more_may_wait) {
      behind += net::peek(connection.socket, kMinRepetition);
    }
    trailing = classify_trailing(read.substr(0, answer.size), behind);
  }
  if (trailing != Trailing::none) too_much();
  const bool spoilt = (going && verdict.state == http::State::bad) || trailing == Trailing::unexplained;
  auto result = whole && !spoilt ? static_cast<const Exchange&>(*call.payload).read(answer) : broken(call);
  if (spoilt) {
    ++counters_.attempts_spoilt;
    logger_.log(metrics::Level::info, "spoilt answer of ", call.worker->entry.name,
                whole ? ": bytes behind its end that do not belong to it" : "");
    result.result = Result::error;
  }
  if (whole && trailing == Trailing::none && call.written && answer.keep_alive) {
    std::string().swap(connection.buffer);
    return result;
  }
  boost::system::error_code ignored;
  connection.socket.close(ignored);
  return result;
}

// What has come by then is passed on: the rest may take any time.
void Attempts::end_read(Call& call, Clock::time_point at) {
  call.more.expires_at(at);
  call.more.async_wait([weak = call.weak_from_this()](const boost::system::error_code& error) {
    const auto held = weak.lock();
    boost::system::error_code ignored;
    if (!error && held && held->connection) held->connection->socket.cancel(ignored);
  });
}

// False: not all of it has gone.
net::awaitable<bool> Attempts::send_body(Call& call, BodyPipe& body) {
  if (!body.rewind()) co_return false;
  call.body = BodyProgress{.since = Clock::now()};
  const bool whole = co_await write_body(call, body);
  body.on_more = {};
  call.body.reset();
  co_return whole;
}

// As it comes, and in chunks where nobody knows its length.
net::awaitable<bool> Attempts::write_body(Call& call, BodyPipe& body) {
  auto& socket = call.connection->socket;
  const bool chunks = !body.length().has_value();
  body.on_more = [&call] { call.more.cancel(); };
  while (call.stop == Stop::none && !body.broken()) {
    auto piece = body.take(kBodyPiece);
    const bool last = body.ended();
    if (piece.empty() && !last) {
      if (!quiet(socket)) break;  // an answer before the end, or no worker any more
      call.more.expires_after(kBodyLook);
      co_await call.more.async_wait(net::kResult);
      continue;
    }
    if (chunks) piece = http::chunk(std::move(piece), last);
    const auto [error, count] =
        co_await net::asio::async_write(socket, net::asio::buffer(piece), net::kResult);
    if (error) co_return false;
    call.body->written += count;
    if (last) co_return true;
  }
  co_return false;
}

// Once its worker's machine has taken nothing of its body for too long. Such a call has not run.
void Attempts::end_if_silent(Call& call) {
  if (!call.body || !call.connection || !call.connection->socket.is_open()) return;
  const auto queued = untaken(call.connection->socket);
  if (!queued) return;
  const auto now = Clock::now();
  const auto taken = static_cast<std::int64_t>(call.body->written) - *queued;
  const bool moves = std::exchange(call.body->taken, taken) != taken;
  if (moves || *queued == 0) call.body->since = now;
  if (now - call.body->since >= limits_.body_silence) close(call, Stop::timeout);
}

// The connection leaves this layer with the stream; the attempt has ended well.
core::AttemptResult Attempts::begin_stream(Call& call, const http::Message& head) {
  auto& connection = *call.connection;
  const bool chunked = http::same_name(head.field("Transfer-Encoding").value_or(""), "chunked");
  connection.buffer.erase(0, head.size);
  core::AttemptResult result;
  result.stream =
      std::make_shared<Upstream>(Upstream{std::move(connection.socket), std::move(connection.buffer), chunked,
                                          std::move(connection.lease), call.worker->entry.name});
  call.connection.reset();
  return result;
}

// For the module the attempt has ended well: the rest is between the worker and the client.
core::AttemptResult Attempts::begin_long(Call& call, const http::Message& head,
                                         const http::Framing& framing) {
  auto result = static_cast<const Exchange&>(*call.payload).read(head);
  result.body.clear();
  const bool keep_alive = head.keep_alive && framing.kind != http::Framing::Kind::until_end;
  auto& connection = *call.connection;
  auto head_bytes = connection.buffer.substr(0, head.size);
  connection.buffer.erase(0, head.size);
  auto up = std::make_shared<Upstream>(Upstream{std::move(connection.socket), std::move(connection.buffer),
                                                framing.kind == http::Framing::Kind::chunked,
                                                std::move(connection.lease), call.worker->entry.name});
  up->head = std::move(head_bytes);
  up->framing = framing;
  up->keep_alive = keep_alive;
  up->payload = call.payload;
  up->here = scope_.here();
  up->give_back = [this, worker = call.worker, generation = call.worker->generation](Upstream& done) {
    if (worker->entry.state == "left" || worker->generation != generation) return;
    auto idle = std::make_unique<Connection>(
        Connection{std::move(done.socket), {}, Clock::now(), std::move(done.lease)});
    worker->idle.push_back(std::move(idle));
  };
  ++counters_.answers_relayed;
  result.stream = std::move(up);
  call.connection.reset();
  return result;
}

net::awaitable<void> Attempts::sweep() {
  for (;;) {
    sweeper_.expires_after(kSweep);
    const auto [error] = co_await sweeper_.async_wait(net::kResult);
    if (error) co_return;
    forget_left();
    for (auto& [key, call] : calls_) end_if_silent(*call);
    const auto oldest = Clock::now() - limits_.connection_idle * 4 / 5;
    for (auto& [name, worker] : workers_) {
      while (!worker->idle.empty() && worker->idle.front()->idle_since < oldest) {
        worker->idle.pop_front();
      }
    }
  }
}

}  // namespace cranemux::attempt
