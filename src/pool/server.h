// What the decision module has learned of a server.
#pragma once

#include "cranemux/decision_module.h"

namespace cranemux::pool {

struct Server {
  ServerEntry entry;
  int open = 0;
  double excess = 0;       // of its answer times over the mean of all, in shares of the aim
  double window = 1;       // own attempts out that it may have; parts count towards the sum
  Nanos last_ok_sent = 0;  // when the newest attempt that it answered was sent
  Nanos cut_at = 0, ejected_until = 0, ejected_for = 0, listed = 0;
  int strikes = 0;
  double cold_tokens = 1;
};

}  // namespace cranemux::pool
