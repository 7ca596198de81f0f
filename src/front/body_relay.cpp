#include "front/body_relay.h"

#include <algorithm>
#include <utility>

#include "attempt/trailing_bytes.h"
#include "http/chunk.h"

namespace cranemux::front {
namespace {

constexpr std::size_t kPiece = 16 * 1024;
constexpr int kKernel = 128 * 1024;
constexpr std::size_t kMostUnsent = 48 * 1024, kMostPressed = 4 * 1024;  // past it the worker waits
// Neither side has moved for so long: it is dead, not slow.
constexpr std::chrono::seconds kSilence{10};

}  // namespace

BodyRelay::BodyRelay(std::shared_ptr<attempt::Upstream> up, metrics::Lane* lane, metrics::Counters& counters)
    : up_(std::move(up)),
      lane_(lane),
      counters_(counters),
      reader_(up_->framing),
      room_(up_->socket.get_executor()),
      silence_(up_->socket.get_executor()) {}

std::optional<std::uint64_t> BodyRelay::length() const {
  if (up_->framing.kind == http::Framing::Kind::length) return up_->framing.length;
  return std::nullopt;
}

void BodyRelay::begin(std::shared_ptr<HttpChannel> channel) {
  channel_ = std::move(channel);
  // The kernel's own buffers would hold megabytes for each.
  boost::system::error_code ignored;
  up_->socket.set_option(net::asio::socket_base::receive_buffer_size(kKernel), ignored);
  channel_->bound_kernel(kKernel);
  net::asio::co_spawn(up_->socket.get_executor(), pump(shared_from_this()), net::asio::detached);
}

// The client has gone: the worker hears so by the end of its connection.
void BodyRelay::closed() {
  channel_.reset();
  boost::system::error_code ignored;
  up_->socket.close(ignored);
  room_.cancel();
  silence_.cancel();
}

net::awaitable<void> BodyRelay::pump(std::shared_ptr<BodyRelay>) {
  auto state = http::BodyReader::State::more;
  while (channel_) {
    std::string data;
    state = reader_.take(up_->buffer, data, ended_);
    if (up_->buffer.empty()) std::string().swap(up_->buffer);
    const bool done = state == http::BodyReader::State::done;
    if (done && !is_last()) state = http::BodyReader::State::bad;  // its last bytes stay here
    if (state == http::BodyReader::State::bad) break;
    if (!data.empty() || done) send(std::move(data), done);
    if (done || !channel_) break;
    if (!co_await wait_for_room() || !co_await read()) break;
  }
  if (channel_) end(state == http::BodyReader::State::done);
}

// Whether the body truly ends where its length or its last chunk says.
bool BodyRelay::is_last() {
  auto behind = up_->buffer;
  if (behind.size() < attempt::kMinRepetition) behind += net::peek(up_->socket, attempt::kMinRepetition);
  return attempt::classify_trailing(up_->head, behind) != attempt::Trailing::unexplained;
}

net::awaitable<bool> BodyRelay::wait_for_room() {
  while (channel_ && channel_->unsent() > (channel_->pressed() ? kMostPressed : kMostUnsent)) {
    room_.expires_after(kSilence);
    co_await room_.async_wait(net::kResult);
    if (channel_ && net::Clock::now() - channel_->took_last() >= kSilence) co_return false;
  }
  co_return channel_ != nullptr;
}

// False: the worker has broken off, or fallen silent.
net::awaitable<bool> BodyRelay::read() {
  const auto silent_by = net::Clock::now() + kSilence;
  silence_.expires_at(std::min(silent_by, std::exchange(up_->more_by, std::nullopt).value_or(silent_by)));
  silence_.async_wait(
      [this, held = std::weak_ptr(shared_from_this())](const boost::system::error_code& error) {
        boost::system::error_code ignored;
        if (!error && held.lock() && silence_.expiry() <= net::Clock::now()) up_->socket.close(ignored);
      });
  const auto error = co_await net::read_some(up_->socket, up_->buffer, kPiece);
  silence_.cancel();
  co_await net::TurnScheduler::of(up_->socket.get_executor()).turn(work_);
  ended_ = error == net::asio::error::eof;
  co_return !error || ended_;
}

void BodyRelay::send(std::string&& data, bool last) {
  const auto channel = channel_;  // it may go with what is sent
  const auto text = channel->chunks() ? http::chunk(std::move(data), last) : std::move(data);
  if (!text.empty()) channel->send(text);
}

// An answer that is not whole ends with its connection, in the middle of its framing.
void BodyRelay::end(bool whole) {
  const auto channel = std::exchange(channel_, nullptr);
  if (!whole) {
    ++counters_.answers_broken_off;
    if (lane_) ++lane_->failed;
    boost::system::error_code ignored;
    up_->socket.close(ignored);
    return channel->break_off();
  }
  if (lane_) ++lane_->completed;
  if (up_->keep_alive && up_->buffer.empty()) up_->give_back(*up_);
  channel->end_stream();
}

}  // namespace cranemux::front
