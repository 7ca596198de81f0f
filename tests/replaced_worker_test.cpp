// A new worker at the address of one that has gone, while discovery still lists that one.
#include <gtest/gtest.h>

#include <cstdlib>

#include "testing/discovery.h"
#include "testing/site.h"
#include "testing/wire.h"

namespace cranemux::testing {
namespace {

std::string entry(const std::string& name, int port, long since) {
  return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + std::to_string(port) +
         "\",\"zone\":\"z\",\"status\":\"active\",\"since_ms\":" + std::to_string(since) + "}";
}

std::string line(int index, bool whole, const std::string& entries) {
  return "{\"index\":" + std::to_string(index) + ",\"snapshot\":" + (whole ? "true" : "false") +
         ",\"endpoints\":[" + entries + "]}\n";
}

// Guards against work that is put to the old worker and reaches the new one: the connection that was kept is
// the old one's, and so is the place among the members.
TEST(replaced_worker, is_not_taken_for_the_one_before) {
  Site site(std::getenv("CRANEMUX_PROGRAM"));
  Node worker(site.stage, "worker");
  Discovery discovery(site.stage);
  discovery.answer(line(8, true, entry("old", worker.port(), 1000)));
  discovery.answer(line(9, false, entry("new", worker.port(), 2000)), Discovery::Then::stay);
  site.more["ROUTER_DISCOVERY"] = "127.0.0.1:" + std::to_string(discovery.port());
  site.start();
  ASSERT_TRUE(site.stage.play_until([&] { return discovery.calls.size() >= 2; }));
  ASSERT_TRUE(site.stage.play_until([&] { return site.figure("router_members") > 0; }));
  site.stage.play(milliseconds(300));
  EXPECT_EQ(site.figure("router_members"), 1);
  std::string body;
  for (int i = 0; i < 6; ++i) {
    site.stage.play(kConnectionRested);
    Wire wire(site.stage, site.port);
    wire.send(request("r" + std::to_string(i), "Content-Length: 0\r\n", false));
    ASSERT_TRUE(wire.answer(body));
    EXPECT_EQ(wire.status, 200);
  }
  EXPECT_EQ(worker.connections(), 1U);  // of one worker, one after another
}

}  // namespace
}  // namespace cranemux::testing
