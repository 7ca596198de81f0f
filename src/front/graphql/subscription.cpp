#include "front/graphql/subscription.h"

#include <algorithm>

#include "front/graphql/exchange.h"

namespace cranemux::front {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{250}, kEase{20};
constexpr std::size_t kMostUnsent = 64 * 1024;  // past it the server waits
constexpr std::size_t kPiece = 4096;

// An event has come already; what is left is to count it.
class CountedEvent : public attempt::Exchange {
 public:
  explicit CountedEvent(double units) : units_(units) {}
  std::string message(milliseconds) const override { return {}; }
  core::AttemptResult read(const http::Message&) const override { return {}; }
  std::optional<core::AttemptResult> own_answer() const override {
    core::AttemptResult result;
    result.true_units = units_;
    return result;
  }

 private:
  const double units_;
};

}  // namespace

Subscription::Subscription(Subscriber subscriber, std::shared_ptr<attempt::Upstream> up, core::Core& core,
                           metrics::Counters& counters)
    : subscriber_(std::move(subscriber)),
      up_(std::move(up)),
      core_(core),
      counters_(counters),
      counted_(up_->socket.get_executor()),
      tick_(up_->socket.get_executor()) {}

void Subscription::begin(std::shared_ptr<HttpChannel> channel) {
  ++counters_.subscriptions_opened;
  channel_ = std::move(channel);
  net::asio::co_spawn(up_->socket.get_executor(), relay(shared_from_this()), net::asio::detached);
  net::asio::co_spawn(up_->socket.get_executor(), watch(shared_from_this()), net::asio::detached);
}

// The client has gone: the server hears so by the end of its connection.
void Subscription::closed() {
  if (std::exchange(over_, true)) return;
  boost::system::error_code ignored;
  up_->socket.close(ignored);
  up_->lease.end();
  subscriber_.place.reset();
  counted_.cancel();
  tick_.cancel();
  channel_.reset();
}

void Subscription::send(std::string_view part) {
  const auto channel = channel_;  // it may go with what is sent
  if (!channel) return;
  sent_ = net::Clock::now();
  channel->send(part);
}

void Subscription::end() {
  if (over_) return;
  send(graphql::event_text("complete", ""));
  const auto channel = channel_;
  closed();
  if (channel) channel->end_stream();
}

void Subscription::fail(const std::string& code, const std::string& what) {
  if (over_) return;
  ++counters_.subscriptions_failed;
  send(graphql::event_text("next", error_body(code, what)));
  end();
}

net::awaitable<void> Subscription::relay(std::shared_ptr<Subscription>) {
  while (!over_) {
    while (const auto event = over_ ? std::nullopt : reader_.next()) {
      if (event->name == "complete") {
        end();
        co_return;
      }
      if (event->name == "next" && !co_await pass_on(*event)) co_return;
    }
    if (over_) co_return;
    if (reader_.damaged()) {
      fail("FAILED", "the server sent what is no event");
    } else if (!co_await read()) {
      fail("FAILED", "the server ended the subscription");
    }
  }
}

// More bytes of the server's. False: none will come.
net::awaitable<bool> Subscription::read() {
  if (up_->buffer.empty()) {
    const auto error = co_await net::read_some(up_->socket, up_->buffer, kPiece);
    if (error || over_) co_return false;
  }
  co_await net::TurnScheduler::of(up_->socket.get_executor()).turn(work_);
  if (over_) co_return false;
  std::string bytes;
  bool last = false;
  if (!up_->chunked) {
    bytes = std::exchange(up_->buffer, {});
  } else {
    if (!http::take_chunks(up_->buffer, bytes, last)) co_return false;
    if (bytes.empty() && !last) {  // part of a chunk
      const auto error = co_await net::read_some(up_->socket, up_->buffer, kPiece);
      co_return !error && !over_ && up_->buffer.size() <= http::kMostBuffer;
    }
  }
  reader_.feed(bytes);
  co_return !last || !bytes.empty();
}

net::awaitable<bool> Subscription::pass_on(const graphql::Event& event) {
  double units = 1;
  try {
    const auto settled = graphql::settle(*subscriber_.admitted.priced, json::parse(event.data));
    if (!settled.fits) {
      fail("FAILED", "the server sent an event that does not fit: " + settled.why);
      co_return false;
    }
    units = std::max(1.0, settled.units);
  } catch (const json::Error&) {
    fail("FAILED", "the server sent an event that cannot be read");
    co_return false;
  }
  if (units > subscriber_.most_units) {
    fail("COST_ABOVE_BURST", "an event costs more than the plan's store ever holds");
    co_return false;
  }
  if (!co_await count(units)) co_return false;
  ++counters_.subscription_events;
  auto line = event.data;
  std::replace(line.begin(), line.end(), '\n', ' ');  // of JSON over several lines
  send(graphql::event_text("next", line));
  while (!over_ && channel_ && channel_->unsent() > kMostUnsent) {
    net::asio::steady_timer ease(up_->socket.get_executor(), kEase);
    co_await ease.async_wait(net::kResult);
  }
  co_return !over_;
}

// With the customer's quota, by the module, as any RPC: held while there is no credit, and refused in the
// end.
net::awaitable<bool> Subscription::count(double units) {
  auto terms = subscriber_.terms;
  terms.units = units;
  ending_.reset();
  counted_.expires_at(net::Clock::time_point::max());
  core_.take(std::move(terms), std::make_shared<CountedEvent>(units), shared_from_this());
  while (!over_ && !ending_) co_await counted_.async_wait(net::kResult);
  if (over_) co_return false;
  if (*ending_ == core::Ending::served) co_return true;
  fail("UNAVAILABLE", "the quota is used up: come back later");
  co_return false;
}

void Subscription::answer(core::RpcId, core::FinalAnswer&& answer) {
  ending_ = answer.ending;
  counted_.cancel();
}

// A reader that takes nothing is cut; one to whom nothing is sent gets a comment, which finds out whether it
// is there.
net::awaitable<void> Subscription::watch(std::shared_ptr<Subscription>) {
  while (!over_) {
    tick_.expires_after(kTick);
    co_await tick_.async_wait(net::kResult);
    if (over_ || !channel_) co_return;
    const auto now = net::Clock::now();
    if (channel_->unsent() > 0 && now - channel_->took_last() >= subscriber_.limits.slow_reader) {
      ++counters_.subscriptions_cut;
      const auto channel = channel_;
      closed();
      channel->cut();
      co_return;
    }
    if (channel_->unsent() == 0 && now - sent_ >= subscriber_.limits.keep_alive) send(graphql::kKeepAlive);
  }
}

}  // namespace cranemux::front
