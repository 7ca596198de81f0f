// Shares the event loop among the sources of new work: connections of clients, listening sockets, messages of
// other gatekeepers, long answers. Each waits for a turn, and a turn is bounded in time. Turns are given by
// start-time fair queueing (Goyal, Vin and Cheng, 1996): a source that has used little goes before those that
// have used much, however many wait. Between slices of turns the loop takes up what is due: timers, and the
// answers of workers.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace cranemux::net {

// What one source has had of the loop. Turns that are waited for keep it alive.
class WorkSource {
 public:
  // `weight`: so many times the share of a source of weight 1; at least 1.
  explicit WorkSource(int weight = 1) : usage_(std::make_shared<Usage>(Usage{weight, {}})) {}

 private:
  friend class TurnScheduler;
  struct Usage {
    int weight;
    std::chrono::nanoseconds finish;  // virtual time at which its last turn ended
  };
  std::shared_ptr<Usage> usage_;
};

// One for each event loop: `TurnScheduler::of(io)`. Not thread-safe, as the loop has one thread.
class TurnScheduler : public boost::asio::execution_context::service {
 public:
  using key_type = TurnScheduler;
  using Clock = std::chrono::steady_clock;
  static boost::asio::execution_context::id id;

  // After this long a turn is over, and what is left of the work waits for the next one.
  static constexpr std::chrono::microseconds kTurn{100};
  // Turns that follow one another before the loop takes up what is due.
  static constexpr std::chrono::microseconds kSlice{400};
  // A turn is counted as long from here on.
  static constexpr std::chrono::milliseconds kLongTurn{5};

  explicit TurnScheduler(boost::asio::execution_context& io);
  ~TurnScheduler() override;
  static TurnScheduler& of(boost::asio::io_context& io);
  template <typename Executor>
  static TurnScheduler& of(const Executor& executor) {
    return boost::asio::use_service<TurnScheduler>(
        boost::asio::query(executor, boost::asio::execution::context));
  }

  // Ends when a turn of the source begins; the turn lasts until the coroutine next waits for anything.
  boost::asio::awaitable<void> turn(WorkSource& source);
  // Whether the running turn has used its time. False outside of turns.
  bool over() const { return Clock::now() >= turn_ends_; }

  // While anybody holds them, no turns are given: what earlier ones have brought is not taken up yet.
  void hold() { ++holders_; }
  void release();

  std::size_t waiting() const { return waiting_.size(); }
  std::uint64_t long_turns() const { return long_turns_; }
  std::chrono::nanoseconds longest_turn() const { return longest_turn_; }

 private:
  // Whoever waits for a turn.
  struct Waiter {
    virtual ~Waiter() = default;
    virtual void resume() = 0;  // once
  };
  template <typename Handler>
  struct WaiterOf : Waiter {
    explicit WaiterOf(Handler&& handler_) : handler(std::move(handler_)) {}
    void resume() override {
      auto own = std::move(handler);
      std::move(own)();
    }
    Handler handler;
  };
  struct Waiting {
    std::chrono::nanoseconds start;  // virtual time
    std::uint64_t number;            // in the order of arrival
    std::shared_ptr<WorkSource::Usage> usage;
    std::unique_ptr<Waiter> waiter;
  };
  static bool later(const Waiting& a, const Waiting& b) {
    return std::pair(a.start, a.number) > std::pair(b.start, b.number);
  }

  void shutdown() override;
  void enqueue(std::shared_ptr<WorkSource::Usage> usage, std::unique_ptr<Waiter> waiter);
  void post_slice();
  void run_slice();
  void run_next();
  void charge_running();  // the source whose turn it is, up to now

  boost::asio::io_context& io_;
  std::vector<Waiting> waiting_;  // a heap, the next one first
  std::chrono::nanoseconds
      virtual_time_{};      // goes on with the work, divided by the weights of who takes part
  int waiting_weight_ = 0;  // of all that wait
  std::uint64_t arrivals_ = 0, long_turns_ = 0;
  std::chrono::nanoseconds longest_turn_{};
  // Of the running turn.
  std::shared_ptr<WorkSource::Usage> running_;
  Clock::time_point charged_until_;
  Clock::time_point turn_ends_ = Clock::time_point::max();
  int holders_ = 0;
  bool posted_ = false;
};

}  // namespace cranemux::net
