#include <gtest/gtest.h>

#include "management/commands.h"

namespace cranemux::management {
namespace {

struct Stand : Operations {
  bool ready() const override { return !drained; }
  std::string stage() const override { return drained ? "drained" : "serving"; }
  std::string figures() const override { return "router_pending 3\n"; }
  void drain(bool on) override { drained = on; }
  bool drained = false;
};

Reading read(std::string_view in, bool ended, std::string& out) {
  std::string_view line;
  const auto reading = read_line(in, ended, line);
  out = line;
  return reading;
}

TEST(management, lines_come_in_every_form) {
  std::string line;
  EXPECT_EQ(read("", false, line), Reading::more);
  EXPECT_EQ(read("che", false, line), Reading::more);
  EXPECT_EQ(read("che", true, line), Reading::line);  // its sender has ended its side
  EXPECT_EQ(line, "che");
  EXPECT_EQ(read("check\n", false, line), Reading::line);
  EXPECT_EQ(line, "check");
  EXPECT_EQ(read("  check \r\nvars\n", false, line), Reading::line);  // a second line is not read
  EXPECT_EQ(line, "check");
  EXPECT_EQ(read("\n", false, line), Reading::line);
  EXPECT_EQ(line, "");
  EXPECT_EQ(read(std::string(kMostLine + 1, 'a'), false, line), Reading::too_long);
  EXPECT_EQ(read(std::string(kMostLine + 1, 'a') + "\n", false, line), Reading::too_long);
}

TEST(management, answers) {
  Stand stand;
  EXPECT_EQ(answer("check", stand), "done ready\n");
  EXPECT_EQ(answer("vars", stand), "router_pending 3\nend\n");
  EXPECT_EQ(answer("drain-on", stand), "done drained\n");
  EXPECT_EQ(answer("check", stand), "error not ready: drained\n");
  EXPECT_EQ(answer("drain-on", stand), "done drained\n");
  EXPECT_EQ(answer("drain-off", stand), "done serving\n");
  EXPECT_EQ(answer("check", stand), "done ready\n");
}

TEST(management, what_is_no_command_is_an_error_with_a_reason_on_one_line) {
  Stand stand;
  for (const auto& line : std::vector<std::string>{"", "reboot", "CHECK", "check now", "\x01\xff", "check\r",
                                                   std::string(200, 'x')}) {
    const auto said = answer(line, stand);
    EXPECT_TRUE(said.starts_with("error ")) << line << ": " << said;
    EXPECT_EQ(said.find('\n'), said.size() - 1) << line;
    EXPECT_GT(said.size(), 10U);
  }
  EXPECT_FALSE(stand.drained);
}

}  // namespace
}  // namespace cranemux::management
