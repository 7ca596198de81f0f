// Measures what usual clients get beside a flood of one kind, or of each: a line a kind, for the table of
// sources of work. cranemux_flood --program FILE [--kind NAME] [--connections N] [--busy N] [--seconds S]
// [--anew]
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "testing/flood_play.h"
#include "testing/site.h"

namespace {

using namespace cranemux::testing;

struct Choice {
  std::string program, kind;
  std::size_t connections = 60, busy = 0;
  int seconds = 5;
  bool connects_anew = false;
};

void measure(const Choice& choice, const std::string& kind) {
  Site site(choice.program);
  set_up_flooded(site);
  site.limits = "{\"sockets\":1024,\"memory_mb\":192}";
  site.start();
  FloodPlay play{.stage = site.stage,
                 .program = *site.life().program,
                 .usual_port = site.port,
                 .flooded_port = site.port,
                 .log = [&] { return site.log(0); },
                 .rules = &site.rules,
                 .stretch = std::chrono::seconds(choice.seconds),
                 .busy = choice.busy,
                 .connects_anew = choice.connects_anew};
  const auto figures = play.run(choice.connections, flood_kind(kind));
  std::printf("%-18s %3zu connections, %zu busy beside: %s\n", kind.c_str(), choice.connections, choice.busy,
              figures.text().c_str());
  site.life().program->signal(SIGUSR1);
  site.stage.play(milliseconds(100));
  const auto log = site.log(0);
  for (const auto* name : {"loop_delay_max_ms", "loop_late", "turn_max_ms", "turns_long"}) {
    const auto at = log.find(name);
    if (at != std::string::npos) std::printf("  %s", log.substr(at, log.find('\n', at) - at).c_str());
  }
  std::printf("\n");
  std::fflush(stdout);
}

int run(int argc, char** argv) {
  CLI::App app{"What usual clients get beside a flood"};
  Choice choice;
  app.add_option("--program", choice.program)->required();
  app.add_option("--kind", choice.kind, "none: each in turn");
  app.add_option("--connections", choice.connections);
  app.add_option("--busy", choice.busy, "processes that share the program's core");
  app.add_option("--seconds", choice.seconds);
  app.add_flag("--anew", choice.connects_anew, "usual clients connect for each request");
  CLI11_PARSE(app, argc, argv);
  const auto kinds = choice.kind.empty() ? flood_kinds() : std::vector<std::string>{choice.kind};
  for (const auto& kind : kinds) measure(choice, kind);
  return 0;
}

}  // namespace

int main(int argc, char** argv) try { return run(argc, argv); } catch (const std::exception& error) {
  std::fprintf(stderr, "%s\n", error.what());
  return 1;
}
