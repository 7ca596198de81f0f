// How late the event loop runs: between the moment at which a timer was due and the one at which it was taken
// up, the process could not see what its workers had answered. One for each event loop: `LoopDelay::of(io)`.
#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <set>

namespace cranemux::net {

class DelayProbe;

class LoopDelay : public boost::asio::execution_context::service {
 public:
  using key_type = LoopDelay;
  using Time = std::chrono::steady_clock::time_point;
  using Span = std::chrono::nanoseconds;
  static boost::asio::execution_context::id id;

  // From here on the loop counts as late, and the delay as none of the workers'.
  static constexpr std::chrono::milliseconds kLate{5};
  // From here on it is said in the log, once in kLogEvery at most.
  static constexpr std::chrono::milliseconds kHigh{50};
  static constexpr std::chrono::seconds kLogEvery{60};

  explicit LoopDelay(boost::asio::execution_context& io) : boost::asio::execution_context::service(io) {}
  static LoopDelay& of(boost::asio::io_context& io) { return boost::asio::use_service<LoopDelay>(io); }

  Span last() const { return last_; }           // of the last timer
  Span longest() const { return longest_; }     // since the start
  std::uint64_t late() const { return late_; }  // timers that were taken up kLate or more after they were due
  // For how long the loop has been late since the start, up to now.
  Span total(Time now) const;
  // Told that the loop runs late.
  std::function<void(Span delay)> on_high;

 private:
  friend class DelayProbe;
  void shutdown() override { on_high = {}; }
  void record(Time due, Time now);
  Span uncounted(Time due, Time now) const;

  std::set<const DelayProbe*> probes_;
  Time counted_until_ = Time::min();
  Span total_{}, last_{}, longest_{};
  std::uint64_t late_ = 0;
  Time logged_ = Time::min();
};

// A timer that the loop's delay is seen by. Its owner says when it is due, and when it was taken up.
class DelayProbe {
 public:
  using Time = LoopDelay::Time;
  explicit DelayProbe(LoopDelay& loop) : loop_(loop) { loop_.probes_.insert(this); }
  ~DelayProbe() { loop_.probes_.erase(this); }
  DelayProbe(const DelayProbe&) = delete;
  DelayProbe& operator=(const DelayProbe&) = delete;

  void expect(Time due) { due_ = due; }  // replaces the time before
  void taken_up(Time now);               // the timer, or other work that does its job
  Time due() const { return due_; }

 private:
  LoopDelay& loop_;
  Time due_ = Time::max();
};

}  // namespace cranemux::net
