// Many clients that send at full speed, beside usual ones that press on nothing: each usual request has its
// final answer in time, no worker is taken for slow, memory stays flat, and those who flood are answered,
// too.
#include <gtest/gtest.h>
#include <signal.h>

#include <cstdlib>
#include <string>

#include "testing/flood_play.h"
#include "testing/sanitized.h"
#include "testing/site.h"

namespace cranemux::testing {
namespace {

constexpr long kMostGrowthKb = 4096;  // however many requests come
constexpr std::size_t kMany = 60, kFew = 6;
constexpr std::size_t kBusyForANinth = 8;  // processes on the same core
constexpr std::size_t kLong = std::size_t{256} * 1024;

class fairness : public ::testing::Test {
 protected:
  fairness() : site(std::getenv("CRANEMUX_PROGRAM")) {
    for (const auto* name : {"one", "two", "three", "four", "five", "six"}) {
      auto& node = site.node(name);
      node.behaviour.delay = milliseconds(30);
      node.body = [](const http::Message& message) {
        return message.target.starts_with("/long") ? std::string(kLong, 'a') : std::string("short");
      };
    }
    site.classes = kReportedClasses;
  }

  FloodPlay make_play(std::size_t busy = 0) {
    site.start();
    return {.stage = site.stage,
            .program = *site.life().program,
            .usual_port = site.port,
            .flooded_port = site.port,
            .log = [this] { return site.log(0); },
            .rules = &site.rules,
            .busy = busy};
  }
  void judge(const FloodFigures& figures, const FloodKind& kind) {
    std::printf("%s\n", figures.text().c_str());
    ASSERT_TRUE(site.life().program->alive()) << site.log(0);
    EXPECT_EQ(figures.late, 0U);
    // Each of the usual customers may lose its first one, which is told to come back.
    EXPECT_GE(figures.served, figures.asked * 9 / 10);
    EXPECT_EQ(figures.ejections, 0U) << site.log(0);
    if (!kSanitized) {
      EXPECT_LT(figures.growth_kb, kMostGrowthKb);
    }
    if (!kind.answered_each) return;
    EXPECT_TRUE(figures.all_answered);
    if (!kind.reconnects) {
      EXPECT_GT(figures.least_answered, 0U);
    }
  }
  void play(const std::string& name, std::size_t connections, std::size_t busy = 0,
            bool connects_anew = false) {
    const auto kind = flood_kind(name);
    auto play = make_play(busy);
    play.connects_anew = connects_anew;
    judge(play.run(connections, kind), kind);
  }

  Site site;
};

// Guards against a loop that is held by whoever sends most, incident 268959: others' answers came seconds
// late.
TEST_F(fairness, health_on_sixty_connections) { play("health", kMany); }
// The same where several processes share the core: six connections are enough.
TEST_F(fairness, health_on_six_connections_and_a_ninth_of_a_core) { play("health", kFew, kBusyForANinth); }
// Guards against an accept loop that takes one connection a turn.
TEST_F(fairness, usual_clients_that_connect_anew) { play("health", kMany, 0, true); }
TEST_F(fairness, new_connections_at_full_speed) { play("new_connections", kMany, 0, true); }
// Guards against accounts without a bound: requests that are served or held, under ever new names.
TEST_F(fairness, served_under_new_names_on_sixty_connections) { play("served_new_names", kMany); }
TEST_F(fairness, held_under_new_names_on_sixty_connections) { play("held_new_names", kMany); }

// Guards against workers that are taken for slow where it is the gatekeeper that did not run.
TEST_F(fairness, a_process_that_is_stopped_ejects_no_worker) {
  constexpr int kStops = 8;
  constexpr milliseconds kStopped{250}, kBetween{300};
  site.start();
  Client usual(site.stage, site.port, &site.rules);
  usual.flow(100, (kStopped + kBetween) * kStops, [](std::size_t) {
    Ask ask;
    ask.deadline = kStatusWait;
    return ask;
  });
  for (int i = 0; i < kStops; ++i) {
    site.stage.play(kBetween);
    site.life().program->signal(SIGSTOP);
    site.stage.play(kStopped);
    site.life().program->signal(SIGCONT);
  }
  EXPECT_TRUE(usual.finish());
  EXPECT_EQ(site.log(0).find("ejected"), std::string::npos) << site.log(0);
  EXPECT_NE(site.log(0).find("the event loop runs"), std::string::npos) << site.log(0);
  EXPECT_EQ(usual.count(0), 0U);
}

}  // namespace
}  // namespace cranemux::testing
