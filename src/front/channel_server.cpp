#include "front/channel_server.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <tuple>

#include "front/fields.h"

namespace cranemux::front {
namespace {

using State = HttpChannel::State;
using std::chrono::milliseconds;

constexpr milliseconds kAcceptPause{20};  // where there is no room at all, or descriptors have run out
constexpr int kAcceptWeight = 8;          // usual clients that connect anew wait behind those that flood
constexpr milliseconds kSweep{100};
// A request whose last byte may have been written is answered so long before its time is over: looks are a
// sweep apart.
constexpr std::chrono::nanoseconds kEarly = 2 * kSweep;
constexpr milliseconds kLook{50};       // a request waits no longer than this before its client is looked for
constexpr milliseconds kLeaving{1000};  // the rest of a flood after the last answer
constexpr std::size_t kHeld = 1024 * 1024, kHeldPressed = 64 * 1024;  // of a body that is on its way
constexpr std::size_t kMostGathered = 16 * 1024;     // of small answers, before they are written
constexpr std::size_t kMostAhead = 16'384;           // sent on while it waits for an answer
constexpr std::size_t kMostDiscarded = 1024 * 1024;  // of what comes after the last answer

}  // namespace

HttpChannel::HttpChannel(net::tcp::socket socket, ChannelServer& server)
    : socket_(std::move(socket)), server_(server) {
  server_.channels_.insert(this);
  boost::system::error_code ignored;
  socket_.set_option(net::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

HttpChannel::~HttpChannel() { cut(); }

HttpChannel::State HttpChannel::state() const {
  if (stream_ && !stream_ends_) return State::streaming;
  if (uploading()) return paused_ ? State::waiting : State::reading;
  if (waits_ || process_queued_) return State::waiting;
  if (writing_) return State::writing;
  if (last_) return State::leaving;
  if (!in_.empty()) return State::reading;
  return spoke_ ? State::idle : State::silent;
}

// Input is read when there is some, in a turn of the channel's, into a buffer that all channels share, so
// idle ones hold none.
net::awaitable<void> HttpChannel::run() {
  const auto self = shared_from_this();
  while (!broken_) {
    if (const auto [error] = co_await socket_.async_wait(net::tcp::socket::wait_read, net::kResult); error)
      break;
    co_await server_.turns_.turn(work_);
    boost::system::error_code error;
    auto& piece = server_.piece_;
    const auto count = broken_ ? 0 : socket_.read_some(net::asio::buffer(piece), error);
    if (error == net::asio::error::would_block) continue;
    if (error || count == 0) break;
    if (last_ && !uploading()) {  // a close with unread input could destroy the last answer on its way
      discarded_ += count;
      if (discarded_ <= kMostDiscarded) continue;
      net::asio::steady_timer rest(socket_.get_executor(), kLeaving);
      co_await rest.async_wait(net::kResult);
      break;
    }
    if (in_.empty() && spoke_ && !engaged()) await_request();
    request_due_.received(net::Clock::now(), count);
    in_.append(piece.data(), count);
    if (upload_) upload_->read += count;
    uploading() ? feed() : process();
    counted();
    if (must_pause()) {
      paused_ = true;
      if (upload_) upload_->paused = net::Clock::now();
      co_return;
    }
  }
  client_left();
}

// Enough is held, or waits to be processed.
bool HttpChannel::must_pause() const {
  if (process_queued_) return true;
  return uploading() ? upload_->pipe->full() : engaged() && in_.size() > kMostAhead;
}

void HttpChannel::client_left() {
  if (waits_ && rpc_ != 0 && !broken_) server_.front_.abandoned(rpc_, context_);
  broken_ = true;
  if (!writing_) cut();
}

// While enough is held nothing is read; and what has come may not have had its turn yet.
bool HttpChannel::left() {
  if (broken_ || !(paused_ || net::Clock::now() - since_ > kLook) || !hung_up()) return false;
  const auto self = shared_from_this();  // the RPC may be all that holds it
  client_left();
  return true;
}

bool HttpChannel::hung_up() {
  pollfd look{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void HttpChannel::resume() {
  if (broken_ || process_queued_ || (uploading() ? upload_->pipe->full() : engaged())) return;
  if (!std::exchange(paused_, false)) return;
  if (uploading()) request_due_.paused(net::Clock::now() - upload_->paused);
  net::spawn(socket_.get_executor(), server_.logger_, "channel", run());
}

void HttpChannel::process() {
  if (processing_ || process_queued_) return;
  processing_ = true;
  std::size_t at = 0;
  while (can_process(at)) {
    if (at > 0 && server_.turns_.over()) {
      process_soon();
      break;
    }
    if (!process_next(at)) break;
  }
  drop_processed(at);
  processing_ = false;
  send_replies();
}

bool HttpChannel::can_process(std::size_t at) const {
  return !engaged() && !last_ && !broken_ && in_.size() > at && in_.size() - at >= need_;
}

bool HttpChannel::process_next(std::size_t& at) {
  const auto rest = std::string_view(in_).substr(at);
  http::Message message;
  auto verdict = http::parse(rest, http::Kind::request, message);
  need_ = verdict.need;
  const bool too_long = verdict.state == http::State::bad && verdict.status == 413;
  if (verdict.state == http::State::partial || too_long) {
    send_replies();  // before what is said to this one
    if (engaged() || broken_) return false;
    go_on(message);
    if (broken_) return false;
  }
  if (too_long || rest.size() > http::kMostBuffer) {
    if (at > 0) {
      drop_processed(std::exchange(at, 0));
      http::parse_head(in_, http::Kind::request, message);
    }
    if (begin_upload(message)) return false;
  }
  if (verdict.state == http::State::partial) {
    if (in_.size() - at <= http::kMostBuffer) return false;
    verdict = {http::State::bad, 413, 0};
  }
  if (verdict.state == http::State::bad) {
    at = 0;
    fail(verdict.status);
    return false;
  }
  begin(message);
  body_ = message.body.size();
  Handled handled;
  if (is_health(message.target)) {
    handled.reply = health(message.target);
  } else if (body_ > 0 && server_.bytes_ > server_.limits_.bytes) {
    ++server_.counters_.requests_no_memory;
    handled.reply = server_.front_.malformed(503);
  } else {
    handled = server_.front_.request({message, shared_from_this()});
  }
  at += message.size;
  need_ = 0;
  took(std::move(handled));
  return true;
}

void HttpChannel::drop_processed(std::size_t at) {
  in_.erase(0, std::min(at, in_.size()));
  if (in_.empty() || (last_ && !uploading())) std::string().swap(in_);
}

void HttpChannel::process_soon() {
  if (broken_ || in_.empty() || std::exchange(process_queued_, true)) return;
  net::spawn(socket_.get_executor(), server_.logger_, "channel", process_later(shared_from_this()));
}

net::awaitable<void> HttpChannel::process_later(std::shared_ptr<HttpChannel>) {
  co_await server_.turns_.turn(work_);
  process_queued_ = false;
  process();
  counted();
  resume();
}

void HttpChannel::begin(const http::Message& message) {
  last_ = !message.keep_alive;
  old_ = message.version == "HTTP/1.0";
  continued_ = false;
  waits_ = true;
  since_ = net::Clock::now();
}

void HttpChannel::took(Handled&& handled) {
  if (!handled.reply) {
    rpc_ = handled.rpc;
    if (upload_) upload_->budget = handled.budget;
    context_ = std::move(handled.context);
    return;
  }
  waits_ = false;
  body_ = 0;
  const auto status = handled.reply->status;
  if (status >= 400 && status < 500) ++server_.counters_.bad_requests;
  reply(*handled.reply);
}

// ---- bodies that are longer than is held --------------------------------------------------------

HttpChannel::Upload::Upload(std::string_view text, const http::Framing& framing, std::size_t most)
    : head(text),
      reader(framing),
      pipe(std::make_shared<attempt::BodyPipe>(
          framing.kind == http::Framing::Kind::length ? std::optional(framing.length) : std::nullopt, most)) {
}

bool HttpChannel::begin_upload(const http::Message& message) {
  int status = 0;
  const auto framing = message.size > 0 ? http::framing(message, http::Kind::request, status) : std::nullopt;
  if (!framing || framing->length > http::kMostLong) return false;
  if (auto refusal = server_.front_.long_body(message)) {  // nobody waits for what is bad anyway
    ++server_.counters_.bad_requests;
    last_ = true;
    std::string().swap(in_);
    reply(*refusal);
    return true;
  }
  if (server_.bytes_ > server_.limits_.bytes) {
    ++server_.counters_.requests_no_memory;
    fail(503);
    return true;
  }
  upload_ = std::make_unique<Upload>(std::string_view(in_).substr(0, message.size), *framing,
                                     pressed() ? kHeldPressed : kHeld);
  upload_->pipe->on_room = [weak = weak_from_this()] {
    if (const auto channel = weak.lock()) channel->resume();
  };
  in_.erase(0, message.size);
  upload_->read = in_.size();
  need_ = 0;
  feed();
  return true;
}

// What has come goes into the pipe. The module is asked once that is full, or all of it is there.
void HttpChannel::feed() {
  const auto& pipe = upload_->pipe;
  std::string data;
  const auto state = upload_->reader.take(in_, data);
  if (in_.empty()) std::string().swap(in_);
  upload_->received += data.size();
  if (state == http::BodyReader::State::bad) return fail(400);
  if (upload_->received > http::kMostLong) return fail(413);
  if (!data.empty()) pipe->put(data);
  if (state == http::BodyReader::State::done) {
    upload_->done = true;
    pipe->end();
    if (!upload_->asked) return ask(true);
    since_ = net::Clock::now();
    return begin_time({});
  }
  if (!upload_->asked && pipe->full()) ask(false);
}

void HttpChannel::ask(bool whole) {
  http::Message message;
  http::parse_head(upload_->head, http::Kind::request, message);
  const auto since = since_;
  begin(message);
  if (!whole) since_ = since;  // it is still being read
  upload_->asked = true;
  upload_->looked = net::Clock::now();
  boost::system::error_code ignored;
  if (!whole) observe_body(upload_->looked, socket_.available(ignored));
  ++server_.counters_.bodies_relayed;
  Incoming incoming{message, shared_from_this()};
  incoming.body = upload_->pipe;
  took(server_.front_.request(incoming));
}

void HttpChannel::begin_time(std::chrono::nanoseconds waited) {
  if (!std::exchange(upload_->timed, true)) server_.front_.uploaded(rpc_, waited);
}

// While the worker takes no more, the last byte may be here and stay unread. The client has done its part
// then, and its time runs: from the look before, as the byte may have come right after it.
void HttpChannel::look_for_end(net::Clock::time_point now) {
  if (broken_ || !uploading() || !upload_->asked || upload_->timed) return;
  boost::system::error_code error;
  const auto unread = socket_.available(error);
  const auto looked = std::exchange(upload_->looked, now);
  if (error) return;
  observe_body(now, unread);
  if (!upload_->arrival.complete({upload_->reader, in_, upload_->read, unread,
                                  [this, unread] { return net::peek(socket_, unread); }}))
    return begin_time_if_due();
  ++server_.counters_.bodies_ended_unread;
  server_.logger_.log(metrics::Level::debug,
                      "the end of a body has arrived and its worker takes no more: ", unread,
                      " bytes are unread");
  begin_time(now - looked);
}

void HttpChannel::observe_body(net::Clock::time_point now, std::size_t unread) {
  const auto left = upload_->reader.length_left();
  const auto length = left ? std::optional(upload_->read - in_.size() + *left) : std::nullopt;
  upload_->last_byte.look(now, upload_->read + unread, length, unread == 0);
}

// What lies in the client's own buffer is not seen from here. Its request is answered in time all the same:
// as if the last byte had been written as early as it may have been.
void HttpChannel::begin_time_if_due() {
  const auto time = waited();
  const auto& budget = upload_->budget;
  if (time <= std::chrono::nanoseconds{} || time < budget - std::min(kEarly, budget / 2)) return;
  ++server_.counters_.bodies_end_unseen;
  server_.logger_.log(metrics::Level::debug, "the end of a body may have been written for ",
                      std::chrono::duration_cast<milliseconds>(time).count(),
                      " ms and its worker takes no more, rpc=", rpc_);
  begin_time(time);
}

std::chrono::nanoseconds HttpChannel::waited() const {
  if (!upload_ || upload_->timed || upload_->done) return {};
  const auto since = upload_->last_byte.since();
  return since ? net::Clock::now() - *since : std::chrono::nanoseconds{};
}

// Whoever empties the pipe is told that no more will come.
void HttpChannel::end_upload() {
  if (const auto upload = std::exchange(upload_, nullptr)) {
    upload->pipe->on_room = {};
    upload->pipe->break_off();
  }
}

void HttpChannel::fail(int status) {
  server_.logger_.log(metrics::Level::debug, "a request that is not whole gets ", status, ", ", read(),
                      " bytes of it after ",
                      std::chrono::duration_cast<milliseconds>(net::Clock::now() - since_).count(), " ms");
  if (std::exchange(waits_, false) && rpc_ != 0) {
    server_.front_.abandoned(std::exchange(rpc_, 0), context_);
    context_.reset();
  }
  last_ = true;
  std::string().swap(in_);
  if (status >= 400 && status < 500 && status != 408) ++server_.counters_.bad_requests;
  reply(server_.front_.malformed(status));
}

// A client that has asked whether to go on with its body is told so, once.
void HttpChannel::go_on(const http::Message& message) {
  const auto expects = message.field("Expect");
  if (continued_ || message.size == 0 || !expects || !http::same_name(*expects, "100-continue")) return;
  continued_ = true;
  static constexpr std::string_view kGoOn = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::system::error_code error;
  if (socket_.write_some(net::asio::buffer(kGoOn), error) != kGoOn.size()) cut();
}

// Whether this process runs, and whether clients should come: the lifecycle alone says the latter.
Reply HttpChannel::health(std::string_view target) const {
  if (target != kReady || server_.lifecycle_.ready()) return {200, "ok\n", {}, "text/plain"};
  return {503, std::string(lifecycle::name_of(server_.lifecycle_.stage())) + "\n", {}, "text/plain"};
}

void HttpChannel::answer(core::RpcId, core::FinalAnswer&& answer) {
  rpc_ = 0;
  waits_ = false;
  body_ = 0;
  const auto context = std::move(context_);
  if (broken_) return;
  reply(server_.front_.answer(std::move(answer), context));
  process_soon();
  counted();
  resume();
}

void HttpChannel::reply(const Reply& reply) {
  if (server_.lifecycle_.last_answer(net::Clock::now())) last_ = true;
  if (uploading()) last_ = true;  // an answer before the end of its request: no more is read
  end_upload();
  auto& out = writing_ ? next_ : out_;
  out += "HTTP/1.1 " + std::to_string(reply.status) + ' ';
  out += http::reason(reply.status);
  out += "\r\nContent-Type: ";
  out += reply.type;
  out += "\r\n";
  chunks_ = false;
  if (reply.stream) {
    const auto length = reply.stream->length();
    chunks_ = reply.stream->bounded() && !length && !old_;
    if (length) out += "Content-Length: " + std::to_string(*length) + "\r\n";
    if (chunks_) out += "Transfer-Encoding: chunked\r\n";
    if (!length && !chunks_) last_ = true;  // its end is the channel's
    stream_ = reply.stream;
    stream_ends_ = false;
  } else {
    out += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n";
  }
  out += reply.fields;
  if (last_) out += "Connection: close\r\n";
  out += "\r\n";
  out += reply.body;
  const bool more_may_follow = processing_ && !reply.stream && !last_;
  if (!more_may_follow || out_.size() >= kMostGathered) send_replies();
  if (reply.stream) broken_ ? reply.stream->closed() : reply.stream->begin(shared_from_this());
}

void HttpChannel::send_replies() {
  if (!out_.empty() && !writing_ && !broken_) write();
}

bool HttpChannel::send(std::string_view part) {
  if (broken_ || !stream_ || stream_ends_) return false;
  if (writing_) {
    next_ += part;
  } else {
    out_ = part;
    sent_ = 0;
    write();
  }
  counted();
  return !broken_;
}

void HttpChannel::end_stream() {
  stream_ends_ = true;
  if (writing_ || broken_) return;
  written();
  process_soon();
  counted();
  resume();
}

bool HttpChannel::pressed() const { return server_.bytes_ > server_.limits_.bytes / 2; }

void HttpChannel::drain() {
  if (const auto stream = stream_) return stream->drain();
  close_between_requests();
}

// Most answers fit the socket's buffer and go at once; a coroutine writes the rest of others.
void HttpChannel::write() {
  boost::system::error_code error;
  sent_ += socket_.write_some(net::asio::buffer(out_), error);
  if (error && error != net::asio::error::would_block) return cut();
  if (sent_ == out_.size()) return written();
  writing_ = true;
  since_ = net::Clock::now();
  net::spawn(socket_.get_executor(), server_.logger_, "answer", write_rest(shared_from_this()));
}

// Whatever the client takes is progress.
net::awaitable<void> HttpChannel::write_rest(std::shared_ptr<HttpChannel>) {
  while (sent_ < out_.size()) {
    const auto [error, count] = co_await socket_.async_write_some(
        net::asio::buffer(out_.data() + sent_, out_.size() - sent_), net::kResult);
    if (error || broken_) {
      writing_ = false;
      cut();
      co_return;
    }
    sent_ += count;
    since_ = net::Clock::now();
    if (sent_ < out_.size()) continue;
    out_ = std::exchange(next_, {});
    sent_ = 0;
    counted();
    if (stream_ && out_.empty()) stream_->taken();
    if (broken_) co_return;
  }
  writing_ = false;
  written();
  process_soon();
  counted();
  resume();
}

void HttpChannel::written() {
  std::string().swap(out_);
  sent_ = 0;
  spoke_ = true;
  await_request();
  if (stream_ && !stream_ends_) return;
  stream_.reset();
  stream_ends_ = false;
  if (last_ && !waits_) shut();
}

// Ends the sending; the client's end, or the time limit, ends the reading.
void HttpChannel::place() {
  const auto now = state();
  const bool busy = !left_ && (now == State::waiting || now == State::writing || now == State::streaming);
  const bool idle = !left_ && now == State::idle;
  if (busy != std::exchange(in_busy_, busy)) server_.busy_ += busy ? 1 : -1;
  if (idle == in_idle_) return;
  in_idle_ = idle;
  if (idle) {
    idle_at_ = server_.idle_.insert(server_.idle_.end(), this);
  } else {
    server_.idle_.erase(idle_at_);
  }
}

void HttpChannel::shut() {
  boost::system::error_code ignored;
  socket_.shutdown(net::tcp::socket::shutdown_send, ignored);
}

void HttpChannel::cut() {
  broken_ = true;
  if (std::exchange(left_, true)) return;
  boost::system::error_code ignored;
  socket_.close(ignored);
  context_.reset();
  end_upload();
  server_.bytes_ -= std::exchange(counted_, 0);
  const auto stream = std::exchange(stream_, nullptr);
  place();
  server_.left(this);
  if (stream) stream->closed();
}

void HttpChannel::bound_kernel(int bytes) {
  boost::system::error_code ignored;
  socket_.set_option(net::asio::socket_base::send_buffer_size(bytes), ignored);
}

// Without a length a plain end would look like the whole answer.
void HttpChannel::break_off() {
  boost::system::error_code ignored;
  if (stream_ && !stream_->length() && !chunks_) {
    socket_.set_option(net::asio::socket_base::linger(true, 0), ignored);
  }
  cut();
}

void HttpChannel::counted() {
  if (broken_) return;
  place();
  server_.keep_idle_budget();
  if (broken_) return;
  count_bytes();
  if (server_.bytes_ > server_.limits_.bytes) server_.make_memory();
}

void HttpChannel::count_bytes() {
  server_.bytes_ -= counted_;
  counted_ = bytes();
  server_.bytes_ += counted_;
}

bool HttpChannel::unread() {
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void HttpChannel::await_request() {
  since_ = net::Clock::now();
  request_due_ = ArrivalDeadline(since_);
}

// What has come and is not read yet is not the client's silence.
bool HttpChannel::overdue(net::Clock::time_point now, bool crowded) {
  const auto now_in = state();
  if (now_in == State::reading) return request_due_.over(now) && !unread();
  return now - since_ >= time_limit(now_in, crowded);
}

void HttpChannel::close_between_requests() {
  const auto now = state();
  if ((now != State::idle && now != State::silent) || unread()) return;
  last_ = true;
  since_ = net::Clock::now();
  place();
  shut();
}

void HttpChannel::time_out() {
  switch (state()) {
    case State::silent:
    case State::idle:
      ++server_.counters_.channels_idle_closed;
      return close_between_requests();
    case State::reading:
      ++server_.counters_.requests_timed_out;
      return fail(408);
    case State::writing:
    case State::leaving:
      ++server_.counters_.channels_cut;
      return stream_ ? break_off() : cut();
    case State::waiting:
    case State::streaming:
      return;
  }
}

// With an answer: its last byte may have been written, and lie where it cannot be seen.
void HttpChannel::give_way() {
  ++server_.counters_.requests_no_memory;
  fail(503);
  if (broken_) return;
  place();
  count_bytes();
}

bool HttpChannel::evict() {
  const auto now = state();
  if (now == State::waiting || now == State::writing || now == State::streaming) return false;
  if (now != State::leaving && unread()) return false;
  ++server_.counters_.channels_evicted;
  if (waits_ && rpc_ != 0) server_.front_.abandoned(std::exchange(rpc_, 0), context_);
  cut();
  return true;
}

ChannelServer::ChannelServer(net::asio::io_context& io, const Door& door, const ChannelLimits& limits,
                             Front& front, const lifecycle::Lifecycle& lifecycle, metrics::Logger& logger,
                             metrics::Counters& counters)
    : io_(io),
      turns_(net::TurnScheduler::of(io)),
      accepting_(kAcceptWeight),
      acceptor_(io),
      pause_(io),
      sweeper_(io),
      limits_(limits),
      front_(front),
      lifecycle_(lifecycle),
      logger_(logger),
      counters_(counters),
      idle_budget_(limits.sockets) {
  if (door.inherited) {
    inherit(*door.inherited);
    return;
  }
  const auto at = net::endpoint<net::tcp>(door.listen);
  acceptor_.open(at.protocol());
  acceptor_.set_option(net::tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
  acceptor_.non_blocking(true);
}

// Others hold the same socket: it is never shut down, only closed here.
void ChannelServer::inherit(int fd) {
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) {
    throw config::Error("ROUTER_SOCKET_FD: " + std::to_string(fd) + " is no socket that listens");
  }
  acceptor_.assign(net::tcp::v4(), fd);
  acceptor_.non_blocking(true);
}

// Channels may outlive the server in coroutines that are never resumed.
ChannelServer::~ChannelServer() {
  for (auto* channel : channels()) channel->cut();
}

void ChannelServer::start() {
  net::spawn(io_, logger_, "accept", accept());
  net::spawn(io_, logger_, "channel sweep", sweep());
}

bool ChannelServer::make_room() {
  using Candidate = std::tuple<int, net::Clock::time_point, HttpChannel*>;
  std::vector<Candidate> candidates;
  const auto now = net::Clock::now();
  for (auto* channel : channels_) {
    const auto state = channel->state();
    if (state == State::waiting || state == State::writing || state == State::streaming) continue;
    candidates.emplace_back(eviction_rank(state, now - channel->since()), channel->since(), channel);
  }
  std::sort(candidates.begin(), candidates.end());
  return std::any_of(candidates.begin(), candidates.end(),
                     [](const auto& c) { return std::get<2>(c)->evict(); });
}

// Requests that are not whole yet go, the largest first, until the rest fits.
void ChannelServer::make_memory() {
  while (bytes_ > limits_.bytes) {
    HttpChannel* largest = nullptr;
    for (auto* channel : channels_) {
      if (channel->state() != State::reading) continue;
      if (!largest || channel->bytes() > largest->bytes()) largest = channel;
    }
    if (!largest) return;
    const auto held = largest->shared_from_this();
    held->give_way();
  }
}

// Those idle for longest go first; one on which something has come is about to be busy.
void ChannelServer::keep_idle_budget() {
  auto surplus = idle_budget_.surplus(idle_.size(), busy_);
  for (auto at = idle_.begin(); surplus > 0 && at != idle_.end(); --surplus) {
    auto* channel = *at++;
    channel->close_between_requests();
    if (channel->state() != State::idle) ++counters_.channels_over_idle_budget;
  }
}

void ChannelServer::left(HttpChannel* channel) {
  if (channels_.erase(channel) > 0 && full_) pause_.cancel();
}

net::awaitable<void> ChannelServer::sweep() {
  for (;;) {
    sweeper_.expires_after(kSweep);
    if (const auto [error] = co_await sweeper_.async_wait(net::kResult); error) co_return;
    const auto now = net::Clock::now();
    if (lifecycle_.closes_idle(now)) drain();
    const bool crowded = channels_.size() > most() / 2;
    for (auto* channel : channels()) {
      channel->look_for_end(now);
      // None of those that follow is gone: only what times out itself leaves.
      if (channel->overdue(now, crowded)) channel->time_out();
    }
  }
}

net::awaitable<void> ChannelServer::accept() {
  while (acceptor_.is_open()) {
    if (paused_ || full()) {
      co_await pause_accepting();
      continue;
    }
    const auto [error] = co_await acceptor_.async_wait(net::tcp::acceptor::wait_read, net::kResult);
    if (error && paused_) continue;
    if (error) co_return;
    co_await turns_.turn(accepting_);
    if (acceptor_.is_open() && !paused_ && !accept_some()) co_await pause_accepting();
  }
}

// All channels wait for an answer.
bool ChannelServer::full() { return full_ = channels_.size() >= most() && !make_room(); }

net::awaitable<void> ChannelServer::pause_accepting() {
  pause_.expires_after(kAcceptPause);
  co_await pause_.async_wait(net::kResult);
}

bool ChannelServer::accept_some() {
  do {
    if (full()) return true;  // `accept` looks, too
    boost::system::error_code error;
    auto socket = acceptor_.accept(error);
    if (error == net::asio::error::would_block) return true;
    if (error) {  // as when descriptors run out: it goes on, but does not spin
      ++counters_.accept_failures;
      make_room();
      return false;
    }
    ++counters_.channels_opened;
    auto channel = std::make_shared<HttpChannel>(std::move(socket), *this);
    net::spawn(io_, logger_, "channel", channel->run());
  } while (!turns_.over());
  return true;
}

void ChannelServer::drain() {
  for (auto* channel : channels()) channel->drain();
}

void ChannelServer::pause(bool paused) {
  paused_ = paused;
  boost::system::error_code ignored;
  if (paused) acceptor_.cancel(ignored);
}

void ChannelServer::stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

}  // namespace cranemux::front
