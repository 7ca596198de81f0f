#include "resolver/result_filter.h"

namespace cranemux::resolver {

void ResultFilter::start(const config::ResolverResult& known) {
  version_ = resume_version_ = known.index;
  had_nodes_ = !known.entries.empty();
}

void ResultFilter::discovery_moved() {
  version_ = resume_version_ = 0;
  older_lists_ = 0;
}

ResultFilter::Verdict ResultFilter::refuse(Verdict verdict) {
  resume_version_ = 0;
  return verdict;
}

ResultFilter::Verdict ResultFilter::evaluate(const config::ResolverResult& result) {
  if (result.entries.size() > kMaxNodes) return refuse(Verdict::too_large);
  if (result.snapshot && result.entries.empty() && had_nodes_) return refuse(Verdict::empty);
  // Changes to an older version cannot be applied. A full list can, once discovery has sent several of them.
  if (result.index < version_ && (!result.snapshot || ++older_lists_ < kOlderBeforeRenumbered))
    return refuse(Verdict::older);
  older_lists_ = 0;
  version_ = resume_version_ = result.index;
  had_nodes_ = had_nodes_ || !result.entries.empty();
  return Verdict::accepted;
}

}  // namespace cranemux::resolver
