// Which of discovery's words are believed; free of I/O. A list that is empty or larger than any fleet says
// more of discovery than of the nodes, and one older than what is held would bring back nodes that have gone:
// the list as it was stays in use, and discovery is asked again, later each time (CallPacing).
#pragma once

#include <cstddef>
#include <cstdint>

#include "config/config.h"

namespace cranemux::resolver {

class ResultFilter {
 public:
  enum class Verdict { accepted, empty, older, too_large };
  static constexpr std::size_t kMaxNodes = 4096;  // in one result
  static constexpr int kOlderBeforeRenumbered =
      3;  // so many older ones on end: discovery counts from new, and is right

  void start(const config::ResolverResult& known);
  void discovery_moved();         // discovery is another, whose versions are its own
  void damaged() { after_ = 0; }  // something was missed: the whole list is wanted
  Verdict evaluate(const config::ResolverResult& result);
  std::int64_t resume_version() const {
    return after_;
  }  // the version that the next watch goes on from; 0: from none

 private:
  Verdict refused(Verdict why);

  std::int64_t held_ = 0, after_ = 0;
  int older_ = 0;
  bool any_ = false;  // some node has been listed
};

}  // namespace cranemux::resolver
