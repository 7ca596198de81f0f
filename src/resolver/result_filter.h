// Which of discovery's words are believed; free of I/O. A list that is empty or larger than any fleet says
// more of discovery than of the nodes, and one older than what is held would bring back nodes that have gone:
// the list as it was stays in use, and discovery is asked again, later each time (Pacing).
#pragma once

#include <cstddef>
#include <cstdint>

#include "config/config.h"

namespace cranemux::resolver {

class Intake {
 public:
  enum class Verdict { taken, empty, older, crowded };
  static constexpr std::size_t kMostNodes = 4096;  // in one result
  static constexpr int kRenumbered = 3;  // so many older ones on end: discovery counts from new, and is right

  void begin(const config::ResolverResult& known);
  void moved();                   // discovery is another, whose versions are its own
  void damaged() { after_ = 0; }  // something was missed: the whole list is wanted
  Verdict judge(const config::ResolverResult& result);
  std::int64_t after() const { return after_; }  // the version that the next watch goes on from; 0: from none

 private:
  Verdict refused(Verdict why);

  std::int64_t held_ = 0, after_ = 0;
  int older_ = 0;
  bool any_ = false;  // some node has been listed
};

}  // namespace cranemux::resolver
