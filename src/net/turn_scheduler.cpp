#include "net/turn_scheduler.h"

#include <algorithm>

namespace cranemux::net {
namespace {

namespace asio = boost::asio;

// A turn in which the process did not run is no work of its source's.
constexpr std::chrono::nanoseconds kMostCharged = TurnScheduler::kSlice;

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
  const auto wait = [this](auto&& handler, const std::shared_ptr<WorkSource::Usage>& usage) {
    using Handler = std::decay_t<decltype(handler)>;
    enqueue(usage, std::make_unique<WaiterOf<Handler>>(std::forward<decltype(handler)>(handler)));
  };
  return asio::async_initiate<const asio::use_awaitable_t<>&, void()>(wait, asio::use_awaitable,
                                                                      source.usage_);
}

void TurnScheduler::enqueue(std::shared_ptr<WorkSource::Usage> usage, std::unique_ptr<Waiter> waiter) {
  if (usage == running_) charge_running();
  // Who comes back is as far behind as those that are served next, so it goes before them.
  const auto start = std::max<std::chrono::nanoseconds>(virtual_time_ - kTurn, usage->finish);
  waiting_weight_ += usage->weight;
  waiting_.push_back({start, arrivals_++, std::move(usage), std::move(waiter)});
  std::push_heap(waiting_.begin(), waiting_.end(), later);
  post_slice();
}

void TurnScheduler::release() {
  if (--holders_ == 0 && !waiting_.empty()) post_slice();
}

void TurnScheduler::post_slice() {
  if (holders_ == 0 && !std::exchange(posted_, true)) asio::post(io_, [this] { run_slice(); });
}

void TurnScheduler::run_slice() {
  posted_ = false;
  if (holders_ > 0) return;
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
  waiting_weight_ -= next.usage->weight;
  virtual_time_ = std::max(virtual_time_, next.start);
  next.usage->finish = std::max(next.usage->finish, next.start);
  running_ = next.usage;
  const auto begin = Clock::now();
  charged_until_ = begin;
  turn_ends_ = begin + kTurn;
  next.waiter->resume();
  turn_ends_ = Clock::time_point::max();
  charge_running();
  running_.reset();
  const auto used = charged_until_ - begin;
  longest_turn_ = std::max<std::chrono::nanoseconds>(longest_turn_, used);
  long_turns_ += used >= kLongTurn;
}

// Virtual time goes on with the work, so sources that are always new keep none of the others waiting.
void TurnScheduler::charge_running() {
  const auto now = Clock::now();
  const auto used = std::min<std::chrono::nanoseconds>(now - charged_until_, kMostCharged);
  charged_until_ = now;
  running_->finish += used / running_->weight;
  virtual_time_ += used / (waiting_weight_ + running_->weight);
}

}  // namespace cranemux::net
