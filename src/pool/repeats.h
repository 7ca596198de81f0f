// What a class allows once an attempt may have run: the one place that all who repeat, or promise that a
// repeat does no harm, ask. Free of I/O.
#pragma once

#include <algorithm>
#include <limits>

#include "cranemux/decision_module.h"

namespace cranemux::pool {

// Does it do no harm if the client tries again, wherever that try is sent? No promise of an unavailable
// status may be made otherwise.
inline bool harmless_once_run(const ClassSettings& klass) {
  return klass.repeat == Repeat::safe || (klass.repeat == Repeat::keyed && klass.scope == RepeatScope::all);
}

// Does `next` drop a repeat of what `ran` may have run?
inline bool drops_repeat(const ClassSettings& klass, const ServerEntry& ran, const ServerEntry& next) {
  if (klass.repeat != Repeat::keyed) return klass.repeat == Repeat::safe;
  if (klass.scope == RepeatScope::zone) return ran.zone == next.zone;
  return klass.scope == RepeatScope::all || ran.cell == next.cell;
}

constexpr Nanos kAnyTime = std::numeric_limits<Nanos>::max();
// Until when a repeat is dropped, in the clock of `sent`: of the first attempt that may have run.
inline Nanos repeats_end(const ClassSettings& klass, Nanos sent) {
  return klass.repeat == Repeat::keyed ? sent + klass.window : kAnyTime;
}

}  // namespace cranemux::pool
