// Many clients that send at full speed, beside usual ones that press on nothing: each usual request has its
// final answer in time, no worker is taken for slow, memory stays flat, and those who flood are answered,
// too.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>

#include "testing/discovery.h"
#include "testing/flood_play.h"
#include "testing/sanitized.h"
#include "testing/site.h"

namespace cranemux::testing {
namespace {

constexpr long kMostGrowthKb = 4096;  // however many requests come
constexpr milliseconds kShortStretch{2000};
constexpr std::size_t kMany = 60, kFew = 6;
constexpr std::size_t kBusyForANinth = 8;  // processes on the same core

class fairness : public ::testing::Test {
 protected:
  fairness() : site(std::getenv("CRANEMUX_PROGRAM")) { set_up_flooded(site); }

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
  // Beside a source of work that the test starts itself.
  void play_beside(const std::function<void()>& turn) {
    auto play = make_play();
    play.stretch = kShortStretch;
    std::atomic<bool> ends{false};
    std::thread source([&] {
      while (!ends) turn();
    });
    const auto figures = play.run(0, flood_kind("health"));
    ends = true;
    source.join();
    judge(figures, {.make = {}, .answered_each = false});
  }
  void play(const std::string& name, std::size_t connections, std::size_t busy = 0,
            bool connects_anew = false) {
    const auto kind = flood_kind(name);
    auto play = make_play(busy);
    play.connects_anew = connects_anew;
    judge(play.run(connections, kind), kind);
  }
  void play_short(const std::string& name, std::size_t connections = kMany, std::size_t busy = 0) {
    const auto kind = flood_kind(name);
    auto play = make_play(busy);
    play.stretch = kShortStretch;
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

// Each further kind of request, with a whole core: sixty connections.
TEST_F(fairness, unsound_requests) { play_short("unsound_class"); }
TEST_F(fairness, requests_without_a_plan) { play_short("unknown_plan"); }
TEST_F(fairness, requests_of_no_form) { play_short("unsound_form"); }
// Guards against events that come faster than the module takes them up.
TEST_F(fairness, requests_without_time_left) { play_short("no_time_left"); }
TEST_F(fairness, requests_over_quota) { play_short("over_quota"); }
TEST_F(fairness, answers_that_nobody_takes) { play_short("answers_not_taken"); }
TEST_F(fairness, heads_in_pieces) { play_short("heads_in_pieces"); }
TEST_F(fairness, long_heads) { play_short("long_heads"); }
TEST_F(fairness, empty_lines) { play_short("empty_lines"); }
TEST_F(fairness, bodies) { play_short("long_bodies"); }
TEST_F(fairness, interim_answers) { play_short("interim_answers"); }
// The same with six connections and a ninth of a core: those that are answered by the module, and new
// connections.
TEST_F(fairness, requests_without_time_left_on_a_ninth_of_a_core) {
  play_short("no_time_left", kFew, kBusyForANinth);
}
TEST_F(fairness, empty_lines_on_a_ninth_of_a_core) { play_short("empty_lines", kFew, kBusyForANinth); }
TEST_F(fairness, new_connections_on_a_ninth_of_a_core) {
  play_short("new_connections", kFew, kBusyForANinth);
}
// As many connections as descriptors allow.
TEST_F(fairness, health_on_as_many_connections_as_there_may_be) {
  site.limits = "{\"sockets\":1024,\"memory_mb\":192}";
  auto kind = flood_kind("health");
  kind.answered_each = false;  // what has been sent by then takes half a minute
  auto play = make_play();
  play.stretch = kShortStretch;
  const auto figures = play.run(500, kind);
  judge(figures, kind);
  EXPECT_GT(figures.answered, 0U);
}

// Guards against a feed that holds the loop: lists of the largest size, in one piece and one right after
// another.
TEST_F(fairness, lists_of_the_largest_size) {
  constexpr int kLists = 40, kServers = 4000;
  Discovery discovery(site.stage);
  site.more["ROUTER_DISCOVERY"] = "127.0.0.1:" + std::to_string(discovery.port());
  std::string lines = Discovery::head();
  for (int i = 0; i < kLists; ++i) {
    std::string entries;
    for (int n = 0; n < kServers; ++n) {
      entries += (n > 0 ? "," : "") + std::string("{\"name\":\"other-") + std::to_string(n) +
                 "\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"status\":\"leaving\",\"since_ms\":" +
                 std::to_string(1000 + i) + "}";
    }
    lines += Discovery::chunk("{\"index\":" + std::to_string(8 + i) + ",\"snapshot\":false,\"endpoints\":[" +
                              entries + "]}\n");
  }
  discovery.raw(lines, Discovery::Then::stay);
  auto play = make_play();
  play.stretch = kShortStretch;
  judge(play.run(0, flood_kind("health")), {.make = {}, .answered_each = false});
  EXPECT_EQ(site.figure("router_members"), kServers + 6);
}

// Guards against messages of other gatekeepers, or of strangers, that hold the loop.
TEST_F(fairness, datagrams_at_full_speed) {
  net::asio::io_context io;
  net::udp::socket socket(io, net::udp::v4());
  const net::udp::endpoint to(net::asio::ip::address_v4::loopback(),
                              static_cast<std::uint16_t>(site.mail_port()));
  const std::string message(256, 'm');
  play_beside([&] {
    boost::system::error_code ignored;
    socket.send_to(net::asio::buffer(message), to, 0, ignored);
  });
}

// Guards against operators' calls that hold the loop.
TEST_F(fairness, operators_calls_at_full_speed) {
  auto play = make_play();
  play.stretch = kShortStretch;
  play.flooded_port = site.life().management;
  FloodKind calls;
  calls.make = [](std::size_t) { return std::string("vars\n"); };
  calls.reconnects = true;
  calls.answered_each = false;
  judge(play.run(kFew, calls), calls);
}

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
