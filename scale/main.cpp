// Plays scale runs, fits slopes to what they measured, and holds the capacity page against them.
#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "scale/fit.h"
#include "scale/hollow.h"
#include "scale/results.h"
#include "scale/scenario.h"

namespace {

using namespace cranemux::scale;

std::string text_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(path + ": cannot be read; name a file that is there");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::uint64_t memory() {
  return static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::uint64_t>(sysconf(_SC_PAGE_SIZE));
}

struct Play {
  std::vector<std::string> scenarios;
  std::string vary, out, commit = "unknown";
  std::vector<std::string> values;
  std::vector<std::uint64_t> seeds;
  int threads = static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
};

// The same scenario with one size (or `all` of them, by a factor) changed, as its file would say it.
std::string varied(const std::string& text, const Scenario& base, const std::string& size,
                   const std::string& value) {
  YAML::Node node = YAML::Load(text);
  if (size != "all") {
    node[size] = value;
    return YAML::Dump(node);
  }
  const double factor = std::stod(value);
  const auto grown = [&](double figure) {
    return std::to_string(std::max(1L, std::lround(figure * factor)));
  };
  node["gatekeepers"] = grown(base.gatekeepers);
  node["workers"] = grown(base.workers);
  node["services"] = grown(base.services);
  node["customers"] = grown(base.customers);
  node["requests_per_s"] = grown(base.requests_per_s);
  return YAML::Dump(node);
}

int play(const Play& how) {
  std::vector<Row> rows;
  const auto values = how.vary.empty() ? std::vector<std::string>{""} : how.values;
  for (const auto& file : how.scenarios) {
    const auto text = text_of(file);
    const auto base = read_scenario(file, text, memory());
    for (const auto& value : values) {
      auto scenario =
          value.empty() ? base : read_scenario(file, varied(text, base, how.vary, value), memory());
      if (!how.vary.empty()) scenario.name += "_by_" + how.vary;
      for (const auto seed : how.seeds.empty() ? std::vector<std::uint64_t>{scenario.seed} : how.seeds) {
        scenario.seed = seed;
        auto measured = play_hollow(scenario, how.threads);
        std::printf("%s: %d gatekeepers, %d workers, %d services, %d customers, %.0f requests/s, seed %llu\n",
                    scenario.name.c_str(), scenario.gatekeepers, scenario.workers, scenario.services,
                    scenario.customers, scenario.requests_per_s, static_cast<unsigned long long>(seed));
        for (auto& row : measured) {
          row.commit = how.commit;
          std::printf("  %-28s %10.4g %s\n", row.measure.c_str(), row.value, row.unit.c_str());
          rows.push_back(std::move(row));
        }
        std::fflush(stdout);
      }
    }
  }
  if (how.out.empty()) return 0;
  std::ofstream out(how.out, std::ios::binary);
  out << write_rows(rows);
  if (!out.flush()) throw std::runtime_error(how.out + ": cannot be written; name a folder that is there");
  return 0;
}

std::vector<Row> rows_of(const std::vector<std::string>& files) {
  std::vector<Row> out;
  for (const auto& file : files) {
    auto rows = read_rows(file, text_of(file));
    out.insert(out.end(), rows.begin(), rows.end());
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Scale runs: fleets of hollow gatekeepers in virtual time, slopes, and the capacity page");
  app.require_subcommand(1);
  Play how;
  auto* hollow = app.add_subcommand("hollow", "plays scenarios with hollow gatekeepers");
  hollow->add_option("scenario", how.scenarios, "YAML files")->required();
  hollow
      ->add_option("--vary", how.vary,
                   "a size: gatekeepers, workers, services, customers, requests_per_s, or all")
      ->check(CLI::IsMember({"gatekeepers", "workers", "services", "customers", "requests_per_s", "all"}));
  hollow->add_option("--values", how.values, "what it is set to, in turn; for `all`, factors")
      ->delimiter(',');
  hollow->add_option("--seeds", how.seeds, "in place of the scenario's")->delimiter(',');
  hollow->add_option("--threads", how.threads, "that play it")->check(CLI::Range(1, 64));
  hollow->add_option("--commit", how.commit, "named in each row");
  hollow->add_option("--out", how.out, "CSV file that is written");
  std::string slopes, page;
  std::vector<std::string> results;
  auto* fit = app.add_subcommand("fit", "fits the slopes to results");
  auto* check = app.add_subcommand("check", "holds a page's slopes against results");
  check->add_option("page", page, "Markdown file")->required();
  for (auto* command : {fit, check}) {
    command->add_option("--slopes", slopes, "YAML file")->required();
    command->add_option("results", results, "CSV files")->required();
  }
  CLI11_PARSE(app, argc, argv);
  try {
    if (*hollow) return play(how);
    const auto defined = read_slopes(slopes, text_of(slopes));
    const auto rows = rows_of(results);
    if (*fit) {
      std::printf("%s", describe(fit_all(defined, rows)).c_str());
      return 0;
    }
    const auto faults = check_page(page, text_of(page), defined, rows);
    for (const auto& fault : faults) std::printf("%s\n", fault.c_str());
    std::printf("%s: %zu faults\n", page.c_str(), faults.size());
    return faults.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
