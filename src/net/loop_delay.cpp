#include "net/loop_delay.h"

namespace cranemux::net {

boost::asio::execution_context::id LoopDelay::id;

// Of a time that several timers missed, each moment counts once.
LoopDelay::Span LoopDelay::uncounted(Time due, Time now) const {
  if (now - due < kLate) return {};
  return std::max(Span{}, now - std::max(due, counted_until_));
}

LoopDelay::Span LoopDelay::total(Time now) const {
  auto due = now;
  for (const auto* probe : probes_) due = std::min(due, probe->due());
  return total_ + uncounted(due, now);
}

void LoopDelay::record(Time due, Time now) {
  const Span delay = now - due;
  last_ = delay;
  longest_ = std::max(longest_, delay);
  late_ += delay >= kLate;
  const auto more = uncounted(due, now);
  if (more > Span{}) {
    total_ += more;
    counted_until_ = now;
  }
  if (delay < kHigh || (logged_ != Time::min() && now - logged_ < kLogEvery)) return;
  logged_ = now;
  if (on_high) on_high(delay);
}

void DelayProbe::taken_up(Time now) {
  if (due_ > now) return;
  loop_.record(due_, now);
  due_ = Time::max();
}

}  // namespace cranemux::net
