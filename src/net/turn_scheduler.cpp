#include "net/turn_scheduler.h"

#include <algorithm>

namespace cranemux::net {
namespace {

namespace asio = boost::asio;

// A turn in which the process did not run is no work of its source's.
constexpr std::chrono::milliseconds kMostCharged{10};

}  // namespace

asio::execution_context::id TurnScheduler::id;

TurnScheduler::TurnScheduler(asio::execution_context& io)
    : asio::execution_context::service(io), io_(static_cast<asio::io_context&>(io)) {}

TurnScheduler::~TurnScheduler() = default;

TurnScheduler& TurnScheduler::of(asio::io_context& io) { return asio::use_service<TurnScheduler>(io); }

// What waits is destroyed, as the loop's own handlers are.
void TurnScheduler::shutdown() {
  const auto waiting = std::exchange(waiting_, {});
  posted_ = true;
}

asio::awaitable<void> TurnScheduler::turn(WorkSource& source) {
  const auto wait = [this](auto&& handler, std::shared_ptr<WorkSource::Usage> usage) {
    using Handler = std::decay_t<decltype(handler)>;
    enqueue(std::move(usage), std::make_unique<WaiterOf<Handler>>(std::forward<decltype(handler)>(handler)));
  };
  return asio::async_initiate<const asio::use_awaitable_t<>&, void()>(wait, asio::use_awaitable,
                                                                      source.usage_);
}

void TurnScheduler::enqueue(std::shared_ptr<WorkSource::Usage> usage, std::unique_ptr<Waiter> waiter) {
  const auto start = std::max(virtual_time_, usage->finish);
  waiting_.push_back({start, arrivals_++, std::move(usage), std::move(waiter)});
  std::push_heap(waiting_.begin(), waiting_.end(), later);
  post_slice();
}

void TurnScheduler::post_slice() {
  if (!std::exchange(posted_, true)) asio::post(io_, [this] { run_slice(); });
}

void TurnScheduler::run_slice() {
  posted_ = false;
  const auto end = Clock::now() + kSlice;
  do {
    run_next();
  } while (!waiting_.empty() && Clock::now() < end);
  if (!waiting_.empty()) post_slice();
}

void TurnScheduler::run_next() {
  if (waiting_.empty()) return;
  std::pop_heap(waiting_.begin(), waiting_.end(), later);
  auto next = std::move(waiting_.back());
  waiting_.pop_back();
  virtual_time_ = std::max(virtual_time_, next.start);
  const auto begin = Clock::now();
  turn_ends_ = begin + kTurn;
  next.waiter->resume();
  turn_ends_ = Clock::time_point::max();
  charge(next, Clock::now() - begin);
}

// Virtual time goes on with the work, so that sources that are always new keep none of the others waiting.
void TurnScheduler::charge(Waiting& ended, std::chrono::nanoseconds used) {
  longest_turn_ = std::max(longest_turn_, used);
  long_turns_ += used >= kLongTurn;
  const auto charged = std::min<std::chrono::nanoseconds>(used, kMostCharged);
  ended.usage->finish = std::max(ended.usage->finish, ended.start + charged / ended.usage->weight);
  virtual_time_ += charged / static_cast<std::int64_t>(waiting_.size() + 1);
}

}  // namespace cranemux::net
