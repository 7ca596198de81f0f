// Instructions that an RPC takes on the platform's path, by callgrind: the same exchange with few and with
// many RPCs, and the difference between them. Also the memory of the program as it stands idle. Usage:
// rpc_instructions PROGRAM...
#include <cstdio>
#include <fstream>

#include "testing/rig.h"

namespace {

using namespace cranemux::testing;

constexpr const char* kSettings = R"({"balancers":1,"index":0,"zone":"z","quantum-ns":2000000,
  "caps":{"cancel":true,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000.0,"most-tries":4},
  "invariants":{"drain-grace-ns":1000000000,"cold-from":1},"stats":{"fields":["outstanding"],"source":"piggyback"},
  "specifics":{"most-units":4},
  "classes":[{"name":"job-status","goal-time-ns":4000000000,"give-up-ns":9000000000,"points":3.0,"semantics":"free"},
    {"name":"book-job","goal-time-ns":4000000000,"give-up-ns":9000000000,"points":5.0,"semantics":"single_shot"}],
  "contracts":[{"name":"business","per-second":5000,"peak-units":90000.0,"pays":1.2}]})";

struct Stood {
  Stage stage;
  Folder folder;
  Node node{stage, "one"};
  int port = free_port();

  std::map<std::string, std::string> environment() {
    const auto at = [](int p) { return "\"127.0.0.1:" + std::to_string(p) + '"'; };
    const auto config =
        "{\"name\":\"n0\",\"listen\":" + at(port) + ",\"discovery\":" + at(1) +
        ",\"seed\":\"5\",\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"name\":\"one\","
        "\"address\":" +
        at(node.port()) +
        ",\"zone\":\"z\",\"status\":\"active\",\"since_ms\":0}]},\"settings\":" + kSettings + "}";
    return {{"ROUTER_CONFIG", folder.write("config.json", config)}};
  }
};

// One after the other, each sent when the last one's answer is there.
double instructions(const std::string& program, int rpcs) {
  Stood stood;
  stood.node.behaviour.delay = milliseconds(0);
  const auto out = stood.folder.path("callgrind");
  Program run("/usr/bin/valgrind",
              {"--tool=callgrind", "--callgrind-out-file=" + out, program, "serve", "--log", "error"},
              stood.environment(), stood.folder.path("log"));
  if (!wait_for_listener(stood.port, milliseconds(60'000), [&] { return run.alive(); })) return 0;
  Client client(stood.stage, stood.port);
  for (int i = 0; i < rpcs; ++i) {
    client.send({});
    client.finish();
  }
  run.signal(SIGTERM);
  run.wait();
  std::ifstream in(out);
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("summary: ") || line.starts_with("totals: "))
      return std::stod(line.substr(line.find(' ')));
  }
  return 0;
}

long idle_kb(const std::string& program) {
  Stood stood;
  Program run(program, {"serve"}, stood.environment(), stood.folder.path("log"));
  if (!wait_for_listener(stood.port, milliseconds(20'000), [&] { return run.alive(); })) return 0;
  stood.stage.play(milliseconds(300));
  return run.resident_kb();
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kFew = 200, kMany = 1200;
  for (int i = 1; i < argc; ++i) {
    const double few = instructions(argv[i], kFew), many = instructions(argv[i], kMany);
    std::printf("%s: %.0f instructions an RPC, %ld KiB resident when idle\n", argv[i],
                (many - few) / (kMany - kFew), idle_kb(argv[i]));
  }
  return 0;
}
