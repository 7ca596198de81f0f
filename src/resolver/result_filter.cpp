#include "resolver/result_filter.h"

namespace cranemux::resolver {

void ResultFilter::start(const config::ResolverResult& known) {
  held_ = after_ = known.index;
  any_ = !known.entries.empty();
}

void ResultFilter::discovery_moved() {
  held_ = after_ = 0;
  older_ = 0;
}

ResultFilter::Verdict ResultFilter::refused(Verdict why) {
  after_ = 0;
  return why;
}

ResultFilter::Verdict ResultFilter::evaluate(const config::ResolverResult& result) {
  if (result.entries.size() > kMaxNodes) return refused(Verdict::too_large);
  if (result.snapshot && result.entries.empty() && any_) return refused(Verdict::empty);
  // Changes between versions that are past make no list; a whole one does, if discovery stands by it.
  if (result.index < held_ && (!result.snapshot || ++older_ < kOlderBeforeRenumbered))
    return refused(Verdict::older);
  older_ = 0;
  held_ = after_ = result.index;
  any_ = any_ || !result.entries.empty();
  return Verdict::accepted;
}

}  // namespace cranemux::resolver
