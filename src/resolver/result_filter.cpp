#include "resolver/result_filter.h"

namespace cranemux::resolver {

void Intake::begin(const config::ResolverResult& known) {
  held_ = after_ = known.index;
  any_ = !known.entries.empty();
}

void Intake::moved() {
  held_ = after_ = 0;
  older_ = 0;
}

Intake::Verdict Intake::refused(Verdict why) {
  after_ = 0;
  return why;
}

Intake::Verdict Intake::judge(const config::ResolverResult& result) {
  if (result.entries.size() > kMostNodes) return refused(Verdict::crowded);
  if (result.snapshot && result.entries.empty() && any_) return refused(Verdict::empty);
  // Changes between versions that are past make no list; a whole one does, if discovery stands by it.
  if (result.index < held_ && (!result.snapshot || ++older_ < kRenumbered)) return refused(Verdict::older);
  older_ = 0;
  held_ = after_ = result.index;
  any_ = any_ || !result.entries.empty();
  return Verdict::taken;
}

}  // namespace cranemux::resolver
