#include "front/channel_server.h"

namespace cranemux::front {
namespace {

constexpr std::chrono::milliseconds kAcceptPause{20};  // where descriptors have run out
constexpr std::chrono::seconds kLinger{2};             // for a client to end its side, or finish its request

}  // namespace

HttpChannel::HttpChannel(net::tcp::socket socket, ChannelServer& server)
    : socket_(std::move(socket)), server_(server) {
  server_.channels_.insert(this);
  boost::system::error_code ignored;
  socket_.set_option(net::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

HttpChannel::~HttpChannel() { server_.channels_.erase(this); }

net::awaitable<void> HttpChannel::run() {
  const auto self = shared_from_this();
  while (!broken_) {
    const auto [error, count] = co_await socket_.async_read_some(net::asio::buffer(piece_), net::kResult);
    if (error) break;
    in_.append(piece_.data(), count);
    if (in_.size() > http::kMostBuffer) break;  // sends on while it waits for an answer
    process();
  }
  broken_ = true;
  if (waits_ && rpc_ != 0) server_.core_.abandoned(rpc_);
  boost::system::error_code ignored;
  if (!writing_) socket_.close(ignored);
}

void HttpChannel::process() {
  if (processing_) return;
  processing_ = true;
  while (!waits_ && !writing_ && !last_ && !broken_ && !in_.empty() && in_.size() >= need_) {
    http::Message message;
    const auto verdict = http::parse(in_, http::Kind::request, message);
    need_ = verdict.need;
    if (verdict.state == http::State::partial) break;
    if (verdict.state == http::State::bad) {
      ++server_.counters_.bad_requests;
      last_ = true;
      reply(server_.front_.malformed(verdict.status));
      break;
    }
    last_ = !message.keep_alive;
    waits_ = true;
    auto handled = server_.front_.request(message, shared_from_this());
    in_.erase(0, message.size);
    need_ = 0;
    if (handled.reply) {
      waits_ = false;
      if (handled.reply->status == 400) ++server_.counters_.bad_requests;
      reply(*handled.reply);
    } else {
      rpc_ = handled.rpc;
      context_ = std::move(handled.context);
    }
  }
  processing_ = false;
}

void HttpChannel::answer(core::RpcId, core::FinalAnswer&& answer) {
  rpc_ = 0;
  waits_ = false;
  const auto context = std::move(context_);
  if (broken_) return;
  reply(server_.front_.answer(std::move(answer), context));
  process();
}

void HttpChannel::reply(const Reply& reply) {
  if (server_.draining_) last_ = true;
  out_ = "HTTP/1.1 " + std::to_string(reply.status) + ' ';
  out_ += http::reason(reply.status);
  out_ += "\r\nContent-Type: ";
  out_ += reply.type;
  out_ += "\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n" + reply.fields;
  if (last_) out_ += "Connection: close\r\n";
  out_ += "\r\n";
  out_ += reply.body;
  sent_ = 0;
  write();
}

// Most answers fit the socket's buffer and go at once; a coroutine writes the rest of others.
void HttpChannel::write() {
  boost::system::error_code error;
  sent_ += socket_.write_some(net::asio::buffer(out_), error);
  if (error && error != net::asio::error::would_block) {
    broken_ = true;
    socket_.close(error);
    return;
  }
  if (sent_ == out_.size()) return written();
  writing_ = true;
  net::spawn(socket_.get_executor(), server_.logger_, "answer", write_rest(shared_from_this()));
}

net::awaitable<void> HttpChannel::write_rest(std::shared_ptr<HttpChannel> self) {
  const auto [error, count] = co_await net::asio::async_write(
      self->socket_, net::asio::buffer(self->out_.data() + self->sent_, self->out_.size() - self->sent_),
      net::kResult);
  self->writing_ = false;
  if (error || self->broken_) {
    self->broken_ = true;
    boost::system::error_code ignored;
    self->socket_.close(ignored);
    co_return;
  }
  self->written();
  self->process();
}

void HttpChannel::written() {
  out_.clear();
  idle_since_ = net::Clock::now();
  if (last_) shut();
}

// Ends the sending; the client's end, or its next request, ends the reading.
void HttpChannel::shut() {
  boost::system::error_code ignored;
  socket_.shutdown(net::tcp::socket::shutdown_send, ignored);
}

void HttpChannel::close_between_requests() {
  if (!idle() || last_ || !in_.empty()) return;
  last_ = true;
  idle_since_ = net::Clock::now();
  shut();
}

void HttpChannel::evict() {
  if (!idle()) return;
  if (!last_ && in_.empty()) return close_between_requests();
  broken_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

ChannelServer::ChannelServer(net::asio::io_context& io, const config::Address& listen,
                             std::size_t most_channels, Front& front, core::Core& core,
                             metrics::Logger& logger, metrics::Counters& counters)
    : io_(io),
      acceptor_(io),
      pause_(io),
      most_channels_(most_channels),
      front_(front),
      core_(core),
      logger_(logger),
      counters_(counters) {
  const auto at = net::endpoint<net::tcp>(listen);
  acceptor_.open(at.protocol());
  acceptor_.set_option(net::tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
}

void ChannelServer::start() { net::spawn(io_, logger_, "accept", accept()); }

// The channel that has been idle longest goes; so do those whose client does not end them, or never finishes
// its request.
void ChannelServer::make_room() {
  HttpChannel* oldest = nullptr;
  const auto slow = net::Clock::now() - kLinger;
  for (auto* channel : std::vector<HttpChannel*>(channels_.begin(), channels_.end())) {
    if (!channel->idle()) continue;
    if (!channel->settled()) {
      if (channel->idle_since() < slow) channel->evict();
    } else if (!oldest || channel->idle_since() < oldest->idle_since()) {
      oldest = channel;
    }
  }
  if (oldest) oldest->evict();
}

net::awaitable<void> ChannelServer::accept() {
  while (acceptor_.is_open()) {
    if (channels_.size() >= most_channels_) {
      make_room();
      pause_.expires_after(kAcceptPause);
      co_await pause_.async_wait(net::kResult);
      continue;
    }
    auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
    if (error == net::asio::error::operation_aborted) co_return;
    if (error) {  // as when descriptors run out: it goes on, but does not spin
      ++counters_.accept_failures;
      make_room();
      pause_.expires_after(kAcceptPause);
      co_await pause_.async_wait(net::kResult);
      continue;
    }
    ++counters_.channels_opened;
    auto channel = std::make_shared<HttpChannel>(std::move(socket), *this);
    net::spawn(io_, logger_, "channel", channel->run());
  }
}

void ChannelServer::drain() {
  draining_ = true;
  const auto channels = std::vector<HttpChannel*>(channels_.begin(), channels_.end());
  for (auto* channel : channels) channel->close_between_requests();
}

void ChannelServer::stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

}  // namespace cranemux::front
