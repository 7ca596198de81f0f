// Any bytes as what an operator's tool sends: one answer, on lines of text, and nothing moves that was not
// asked for.
#include "management/commands.h"
#include "target.h"

namespace {

struct Stand : cranemux::management::Operations {
  bool ready() const override { return !drained; }
  std::string stage() const override { return drained ? "drained" : "serving"; }
  std::string figures() const override { return "router_pending 0\n"; }
  void drain(bool on) override { drained = on; }
  bool drained = false;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cranemux::management;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::string_view line;
  if (read_line(text, true, line) != Reading::line) return 0;
  cranemux::fuzz::demand(line.size() <= kMostLine && line.find('\n') == line.npos);
  Stand stand;
  const auto said = answer(line, stand);
  cranemux::fuzz::demand(said.ends_with('\n'));
  cranemux::fuzz::demand(said.starts_with("done") || said.starts_with("error ") || said.ends_with("\nend\n"));
  cranemux::fuzz::demand(stand.drained == (line == "drain-on"));
  return 0;
}
