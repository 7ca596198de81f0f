// One gatekeeper of a large fleet: its memory, idle and after many customers, and its processor time idle and
// by RPC, with so many peers and nodes. The peers are never there; their mail goes to a port where nobody
// listens. Usage: fleet_size PROGRAM [PEERS NODES]
#include <cstdio>
#include <cstdlib>

#include "testing/rig.h"

namespace {

using namespace cranemux::testing;

constexpr const char* kSettings = R"("caps":{"cancel":true,"peers":true,"conn-idle-ns":30000000000,
  "connect-timeout-ns":250000000.0,"most-tries":4},
  "invariants":{"drain-grace-ns":1000000000,"cold-from":1},"stats":{"fields":["inflight"],"source":"piggyback"},
  "specifics":{"most-units":4,"peer-in-per-s":40},
  "classes":[{"name":"job-status","goal-time-ns":4000000000,"give-up-ns":9000000000,"points":3.0,"semantics":"free"},
    {"name":"book-job","goal-time-ns":4000000000,"give-up-ns":9000000000,"points":5.0,"semantics":"single_shot"}],
  "contracts":[{"name":"business","per-second":50,"peak-units":90.0,"pays":1.2}]})";

std::string here(int port) { return "\"127.0.0.1:" + std::to_string(port) + '"'; }

void measure(const std::string& binary, int peers, int nodes) {
  Stage stage;
  Folder folder;
  std::vector<std::unique_ptr<Node>> stand_ins;
  for (int i = 0; i < 8; ++i) {
    stand_ins.push_back(std::make_unique<Node>(stage, "node" + std::to_string(i)));
    stand_ins.back()->behaviour.delay = milliseconds(5);
  }
  const int port = free_port(), mail = free_port(), nobody = free_port();
  std::string config = "{\"name\":\"n0\",\"listen\":" + here(port) + ",\"discovery\":" + here(1) +
                       ",\"peer_listen\":" + here(mail) + ",\"peers\":[" + here(mail);
  for (int i = 1; i < peers; ++i) config += "," + here(nobody);
  config += "],\"seed\":\"5\",\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[";
  for (int i = 0; i < nodes; ++i) {
    config += (i > 0 ? "," : "") + std::string("{\"name\":\"s") + std::to_string(i) +
              "\",\"address\":" + here(stand_ins[static_cast<std::size_t>(i) % stand_ins.size()]->port()) +
              ",\"zone\":\"z\",\"status\":\"active\",\"since_ms\":0}";
  }
  config += "]},\"settings\":{\"balancers\":" + std::to_string(peers) +
            ",\"index\":0,\"zone\":\"z\",\"quantum-ns\":2000000," + kSettings + "}";
  Program program(binary, {"serve"}, {{"ROUTER_CONFIG", folder.write("config.json", config)}},
                  folder.path("log"));
  if (!wait_for_listener(port, milliseconds(20'000), [&] { return program.alive(); })) {
    std::printf("the program did not start\n");
    return;
  }
  stage.play(milliseconds(1000));
  const auto idle_kb = program.resident_kb();
  const auto begin = program.cpu_s();
  stage.play(milliseconds(5000));
  const auto idle_s = (program.cpu_s() - begin) / 5;
  Client client(stage, port);
  constexpr int kRpcs = 4000;
  const auto before = program.cpu_s();
  client.pace(400, milliseconds(1000 * kRpcs / 400), [&](std::size_t i) {
    Ask ask;
    char text[20];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(i % 1000));
    ask.customer = text;
    ask.spread = peers;
    return ask;
  });
  client.finish();
  std::printf(
      "%3d peers, %3d nodes: idle %.1f MB and %.4f of a core; %d RPCs of 1,000 customers, %zu served: "
      "%.0f us of processor each, then %.1f MB\n",
      peers, nodes, static_cast<double>(idle_kb) / 1024, idle_s, kRpcs, client.count(200),
      (program.cpu_s() - before) * 1e6 / kRpcs, static_cast<double>(program.resident_kb()) / 1024);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  if (argc > 3) {
    measure(argv[1], std::atoi(argv[2]), std::atoi(argv[3]));
    return 0;
  }
  for (const auto& [peers, nodes] : {std::pair{2, 8}, std::pair{100, 60}, std::pair{300, 200}})
    measure(argv[1], peers, nodes);
  return 0;
}
