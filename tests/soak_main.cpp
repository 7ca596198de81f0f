// The soak: runs of the real program under trouble that a seed draws, with the rules looking on.
//
//     tests/soak --seed 7 --runs 50 --seconds 40 --jobs 4
#include <CLI/CLI.hpp>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

#include "testing/program.h"
#include "tests/soak_run.h"

namespace {

using namespace cranemux;
using std::chrono::milliseconds;

struct Arguments {
  std::uint64_t seed = 1;
  int runs = 1, seconds = 30, jobs = 1;
  std::string program, folder = "soak";
  bool alone = false;   // one run in this process
  bool floods = false;  // beside what the seeds draw
};

std::string folder_of(const Arguments& arguments, std::uint64_t seed) {
  return arguments.folder + "/seed-" + std::to_string(seed);
}

soak::Plan plan_of(const Arguments& arguments, std::uint64_t seed) {
  return soak::draw(seed, milliseconds(arguments.seconds * 1000), arguments.floods);
}

// How often each fault was drawn.
std::string drawn(const soak::Plan& plan) {
  std::map<std::string, int> counts;
  for (const auto& event : plan.events) ++counts[soak::name_of(event.fault)];
  std::string out;
  for (const auto& [name, count] : counts)
    out += (out.empty() ? "" : " ") + name + (count > 1 ? "*" + std::to_string(count) : "");
  return out;
}

int play_alone(const Arguments& arguments) {
  const auto plan = plan_of(arguments, arguments.seed);
  const auto outcome = soak::play(plan, arguments.program, folder_of(arguments, arguments.seed));
  std::cout << outcome.requests << " requests, " << outcome.served << " served, " << outcome.refused
            << " refused, " << outcome.failed << " failed\n";
  for (const auto& line : outcome.broken) std::cout << "BROKEN: " << line << '\n';
  return outcome.broken.empty() ? 0 : 1;
}

struct Row {
  std::uint64_t seed = 0;
  int code = 0;
  std::string output;
};

// A run is a process of its own, so one that crashes takes no other with it.
Row play_in_a_process(const Arguments& arguments, const std::string& self, std::uint64_t seed) {
  std::vector<std::string> words{"--alone",
                                 "--seed",
                                 std::to_string(seed),
                                 "--seconds",
                                 std::to_string(arguments.seconds),
                                 "--program",
                                 arguments.program,
                                 "--folder",
                                 arguments.folder};
  if (arguments.floods) words.emplace_back("--floods");
  Row row;
  row.seed = seed;
  row.code = testing::run(self, words, row.output);
  return row;
}

std::vector<Row> play_all(const Arguments& arguments, const std::string& self) {
  std::vector<Row> rows(static_cast<std::size_t>(arguments.runs));
  std::atomic<int> next = 0;
  std::mutex printing;
  const auto work = [&] {
    for (int i = next++; i < arguments.runs; i = next++) {
      auto& row = rows[static_cast<std::size_t>(i)];
      row = play_in_a_process(arguments, self, arguments.seed + static_cast<std::uint64_t>(i));
      const std::lock_guard lock(printing);
      std::cout << "seed " << row.seed << ": " << (row.code == 0 ? "held" : "BROKEN") << ", "
                << row.output.substr(0, row.output.find('\n')) << std::endl;
    }
  };
  std::vector<std::jthread> workers;
  workers.reserve(static_cast<std::size_t>(arguments.jobs));
  for (int i = 0; i < std::min(arguments.jobs, arguments.runs); ++i) workers.emplace_back(work);
  workers.clear();
  return rows;
}

void print_table(const Arguments& arguments, const std::vector<Row>& rows) {
  std::cout << "\nseed  s  broken rules  requests  faults drawn\n";
  for (const auto& row : rows) {
    std::size_t broken = row.code == 0 ? 0 : 1;
    for (std::size_t at = row.output.find("BROKEN"); at != std::string::npos;
         at = row.output.find("BROKEN", at + 1))
      broken += at != row.output.find("BROKEN");
    std::cout << row.seed << "  " << arguments.seconds << "  " << broken << "  "
              << row.output.substr(0, row.output.find(' ')) << "  " << drawn(plan_of(arguments, row.seed))
              << '\n';
  }
  for (const auto& row : rows) {
    if (row.code == 0) continue;
    std::cout << "\nseed " << row.seed << ", kept in " << folder_of(arguments, row.seed)
              << "; again: tests/soak --seed " << row.seed << " --seconds " << arguments.seconds
              << (arguments.floods ? " --floods" : "") << '\n'
              << row.output;
  }
}

int run_soak(int count, char** words) {
  Arguments arguments;
  CLI::App app{"Runs the program under trouble drawn from a seed, and says which rules were broken."};
  app.add_option("--seed", arguments.seed, "of the first run; each next one has the next seed")->required();
  app.add_option("--runs", arguments.runs, "how many")->check(CLI::Range(1, 100'000));
  app.add_option("--seconds", arguments.seconds, "of each run")->check(CLI::Range(12, 3600));
  app.add_option("--jobs", arguments.jobs, "runs at once")->check(CLI::Range(1, 64));
  app.add_option("--program", arguments.program, "the gatekeeper's binary")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--folder", arguments.folder, "keeps plans, timelines and logs, by seed");
  app.add_flag("--floods", arguments.floods, "floods and small shares of a core beside what the seeds draw");
  app.add_flag("--alone", arguments.alone, "one run in this very process");
  CLI11_PARSE(app, count, words);
  if (arguments.alone) return play_alone(arguments);
  const auto rows = play_all(arguments, std::filesystem::read_symlink("/proc/self/exe").string());
  print_table(arguments, rows);
  return std::all_of(rows.begin(), rows.end(), [](const Row& row) { return row.code == 0; }) ? 0 : 1;
}

}  // namespace

int main(int count, char** words) {
  try {
    return run_soak(count, words);
  } catch (const std::exception& error) {
    std::cerr << "the soak broke down: " << error.what() << '\n';
    return 2;
  }
}
