// Many pools and routes in one program: its memory, the time of a reload, and what an RPC takes. Usage:
// many_pools PROGRAM [POOLS] [ROUTES] [RPCS]
#include <cstdio>
#include <cstdlib>

#include "testing/rig.h"

namespace {

using namespace cranemux::testing;

void arrange(Rig& rig, int pools, int routes) {
  rig.file.pools.clear();
  rig.file.routes.clear();
  for (int i = 0; i < pools; ++i)
    rig.file.pools["pool" + std::to_string(i)] = "nodes: [@n" + std::to_string(i % 4) + "]";
  for (int i = 0; i < routes; ++i) {
    rig.file.routes.push_back("host: s" + std::to_string(i) + ".example.org, path: /api, pool: pool" +
                              std::to_string(i % pools));
  }
}

void measure(Rig& rig, int rpcs, int routes) {
  Client client(rig.stage, rig.port);
  const auto before = rig.program->cpu_s();
  client.pace(1000, milliseconds(rpcs), [&](std::size_t i) {
    Ask ask;
    ask.host = "s" + std::to_string(i * 7919 % static_cast<std::size_t>(routes)) + ".example.org";
    ask.target = "/api/x";
    char text[20];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(i % 500));
    ask.customer = text;
    return ask;
  });
  client.finish();
  std::printf("rpcs %d served %zu, cpu us an rpc %.0f, p50 %.2f ms p99 %.2f ms, memory %ld KiB\n", rpcs,
              client.count(200), (rig.program->cpu_s() - before) * 1e6 / rpcs,
              percentile_ms(client.results(), 0.5), percentile_ms(client.results(), 0.99),
              rig.program->resident_kb());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  const int pools = argc > 2 ? std::atoi(argv[2]) : 200, routes = argc > 3 ? std::atoi(argv[3]) : 10'000;
  const int rpcs = argc > 4 ? std::atoi(argv[4]) : 20'000;
  for (const auto& [p, r] : {std::pair{1, 1}, std::pair{pools, routes}}) {
    Rig rig(argv[1]);
    arrange(rig, p, r);
    const auto start = Clock::now();
    rig.start();
    const std::chrono::duration<double, std::milli> up = Clock::now() - start;
    std::printf("%d pools, %d routes: ready after %.0f ms, memory %ld KiB\n", p, r, up.count(),
                rig.program->resident_kb());
    measure(rig, rpcs, r);
    rig.file.pools["one-more"] = "nodes: [@n0]";
    Client meanwhile(rig.stage, rig.port);
    rig.write();
    rig.program->signal(SIGHUP);
    meanwhile.pace(500, milliseconds(2000), [&](std::size_t) {
      Ask ask;
      ask.host = "s0.example.org";
      return ask;
    });
    meanwhile.finish();
    std::printf(
        "reload with one pool more (%zu taken up): RPCs meanwhile p50 %.2f ms p99 %.2f ms, longest %.2f ms\n",
        rig.counter("reloads"), percentile_ms(meanwhile.results(), 0.5),
        percentile_ms(meanwhile.results(), 0.99), percentile_ms(meanwhile.results(), 1));
  }
  return 0;
}
