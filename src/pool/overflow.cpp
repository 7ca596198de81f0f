#include "pool/overflow.h"

namespace cranemux::pool {
namespace {

constexpr std::chrono::milliseconds kLeast{20};  // with less no answer can be had

}  // namespace

bool may_overflow(const Spill& spill) {
  if (!spill.safe || spill.first_usable || !spill.second_usable || spill.left < kLeast) return false;
  return !spill.first_took || (spill.unavailable && !spill.attempt_out);
}

}  // namespace cranemux::pool
