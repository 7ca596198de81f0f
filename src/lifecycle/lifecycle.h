// Where a gatekeeper stands between its start and its end, and what follows from it for its clients. Knows no
// clock and no socket: whoever calls brings the time.
#pragma once

#include <chrono>
#include <string_view>

namespace cranemux::lifecycle {

using Time = std::chrono::steady_clock::time_point;

enum class Stage { starting, serving, drained, handing_over, ending };
std::string_view name_of(Stage stage);

class Lifecycle {
 public:
  // What happens. Each returns false where it changes nothing.
  bool begin();                   // it can serve
  bool drain(bool on, Time now);  // the operators' word; an end or a hand-over is past undoing
  bool hand_over(Time now);       // a new process serves in its place
  bool take_back(Time now);       // ... which has ended: it serves on, unless its own end has begun
  bool end(Time now);             // SIGTERM

  Stage stage() const { return stage_; }
  bool handed_over() const { return handed_over_; }
  bool drained() const { return drained_; }  // by the operators, whatever else has come since
  // The one owner of what GET /health/ready says.
  bool ready() const { return stage_ == Stage::serving; }
  // An answer is its channel's last.
  bool last_answer(Time now) const;
  // A channel between requests is closed.
  bool closes_idle(Time now) const;

 private:
  bool past(Time now, std::chrono::milliseconds wait) const;
  bool leaves(Time now, std::chrono::milliseconds drained) const;

  Stage stage_ = Stage::starting;
  bool drained_ = false, handed_over_ = false;
  Time since_{};  // of this stage
};

}  // namespace cranemux::lifecycle
