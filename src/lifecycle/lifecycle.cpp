#include "lifecycle/lifecycle.h"

namespace cranemux::lifecycle {
namespace {

using std::chrono::milliseconds;

// The front asks ten times a second, and new connections stop 0.2 s after a no: closed any sooner, a channel
// only comes again.
constexpr milliseconds kNoticed{300};
constexpr milliseconds kIdle{500};  // between requests: its client has had a moment to use it
// A planned end: new connections come for 0.4 s after SIGTERM.
constexpr milliseconds kStillOpen{450};

}  // namespace

std::string_view name_of(Stage stage) {
  switch (stage) {
    case Stage::starting:
      return "starting";
    case Stage::serving:
      return "serving";
    case Stage::drained:
      return "drained";
    case Stage::handing_over:
      return "handing over";
    case Stage::ending:
      return "ending";
  }
  return "unknown";
}

bool Lifecycle::begin() {
  if (stage_ != Stage::starting) return false;
  stage_ = drained_ ? Stage::drained : Stage::serving;
  return true;
}

bool Lifecycle::drain(bool on, Time now) {
  if (drained_ == on) return false;
  drained_ = on;
  if (stage_ != Stage::serving && stage_ != Stage::drained) return true;
  stage_ = on ? Stage::drained : Stage::serving;
  since_ = now;
  return true;
}

bool Lifecycle::hand_over(Time now) {
  if (handed_over_) return false;
  handed_over_ = true;
  since_ = now;
  if (stage_ != Stage::ending) stage_ = Stage::handing_over;
  return true;
}

bool Lifecycle::take_back(Time now) {
  if (!handed_over_ || stage_ == Stage::ending) return false;
  handed_over_ = false;
  since_ = now;
  stage_ = drained_ ? Stage::drained : Stage::serving;
  return true;
}

bool Lifecycle::end(Time now) {
  if (stage_ == Stage::ending) return false;
  if (!handed_over_) since_ = now;  // else its last channels are going already
  stage_ = Stage::ending;
  return true;
}

bool Lifecycle::past(Time now, milliseconds wait) const { return now - since_ >= wait; }

// `drained`: how long after an operator's word.
bool Lifecycle::leaves(Time now, milliseconds drained) const {
  switch (stage_) {
    case Stage::starting:
    case Stage::serving:
      return false;
    case Stage::drained:
      return past(now, drained);
    case Stage::handing_over:
      return true;
    case Stage::ending:
      return past(now, kStillOpen);
  }
  return false;
}

// After a hand-over new connections go to the new process at once.
bool Lifecycle::last_answer(Time now) const { return handed_over_ || leaves(now, kNoticed); }

bool Lifecycle::closes_idle(Time now) const { return handed_over_ ? past(now, kIdle) : leaves(now, kIdle); }

}  // namespace cranemux::lifecycle
