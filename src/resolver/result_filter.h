// Decides which results of discovery are used; free of I/O. A list that is empty, or larger than any fleet,
// points to a failure of discovery rather than of the nodes, and one that is older than the present list
// would bring back nodes that have left. Such a result is refused: the present list stays in use, and
// discovery is called again, at growing intervals (CallPacing).
#pragma once

#include <cstddef>
#include <cstdint>

#include "config/config.h"

namespace cranemux::resolver {

class ResultFilter {
 public:
  enum class Verdict { accepted, empty, older, too_large };
  static constexpr std::size_t kMaxNodes = 4096;  // in one result
  // Full lists with an older version, with no accepted result between them, that show that discovery numbers
  // its versions anew; the last of them is accepted.
  static constexpr int kOlderBeforeRenumbered = 3;

  void start(const config::ResolverResult& known);  // the list in use at first
  void discovery_moved();  // results come from another address from now on, with versions of its own
  void damaged() { resume_version_ = 0; }  // a result was lost: the full list is needed
  Verdict evaluate(const config::ResolverResult& result);
  // Returns the version after which the next watch is to continue; 0: it needs the full list.
  std::int64_t resume_version() const { return resume_version_; }

 private:
  Verdict refuse(Verdict verdict);

  std::int64_t version_ = 0, resume_version_ = 0;
  int older_lists_ = 0;     // full lists with an older version since the last accepted result
  bool had_nodes_ = false;  // any list so far had nodes
};

}  // namespace cranemux::resolver
