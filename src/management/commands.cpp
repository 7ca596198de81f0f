#include "management/commands.h"

#include <algorithm>

namespace cranemux::management {

Reading read_line(std::string_view in, bool ended, std::string_view& line) {
  auto end = in.find('\n');
  if (end == std::string_view::npos) {
    if (in.size() > kMostLine) return Reading::too_long;
    if (!ended) return Reading::more;
    end = in.size();
  }
  if (end > kMostLine) return Reading::too_long;
  line = in.substr(0, end);
  while (!line.empty() && (line.back() == '\r' || line.back() == ' ' || line.back() == '\t')) {
    line.remove_suffix(1);
  }
  while (!line.empty() && (line.front() == ' ' || line.front() == '\t')) line.remove_prefix(1);
  return Reading::line;
}

std::string refusal(std::string_view why) { return "error " + std::string(why) + "\n"; }

std::string answer(std::string_view line, Operations& operations) {
  if (line.empty()) return refusal("no command; there are check, vars, drain-on and drain-off");
  if (line == "check") {
    return operations.ready() ? "done ready\n" : refusal("not ready: " + operations.stage());
  }
  if (line == "vars") return operations.figures() + "end\n";
  if (line == "drain-on" || line == "drain-off") {
    operations.drain(line == "drain-on");
    return "done " + operations.stage() + "\n";
  }
  const bool plain = std::all_of(line.begin(), line.end(), [](char c) { return c >= 0x20 && c < 0x7f; });
  if (!plain) return refusal("the line is no text");
  return refusal("unknown command; there are check, vars, drain-on and drain-off");
}

}  // namespace cranemux::management
