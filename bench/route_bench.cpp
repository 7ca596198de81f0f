// What a look-up, a normalisation and a split cost, by the number of routes.
#include <benchmark/benchmark.h>

#include "routing/normalise.h"
#include "routing/route_table.h"

namespace {

using namespace cranemux::routing;

std::vector<Route> routes(std::int64_t count) {
  std::vector<Route> out;
  for (std::int64_t i = 0; i < count; ++i) {
    Route route;
    route.name = "r" + std::to_string(i);
    const auto site = std::to_string(i / 10);
    route.host = (i % 7 == 0 ? "*.s" : "s") + site + ".example.org";
    route.path = "/api/v1/part" + std::to_string(i % 10);
    route.shares = {{"p", 1}};
    out.push_back(std::move(route));
  }
  return out;
}

void find(benchmark::State& state) {
  const RouteTable table(routes(state.range(0)));
  std::vector<std::pair<std::string, std::string>> asks;
  for (std::int64_t i = 0; i < 1024; ++i) {
    const auto n = i * 7919 % state.range(0);
    asks.emplace_back("s" + std::to_string(n / 10) + ".example.org",
                      "/api/v1/part" + std::to_string(n % 10) + "/x");
  }
  std::size_t at = 0;
  for (auto _ : state) {
    const auto& [host, path] = asks[at++ % asks.size()];
    benchmark::DoNotOptimize(table.find({host, path, "GET", "job-status"}));
  }
}
BENCHMARK(find)->RangeMultiplier(10)->Range(10, 100'000);

void miss(benchmark::State& state) {
  const RouteTable table(routes(state.range(0)));
  for (auto _ : state)
    benchmark::DoNotOptimize(table.find({"www.else.example.net", "/api/v1/part1", "GET", "x"}));
}
BENCHMARK(miss)->RangeMultiplier(10)->Range(10, 100'000);

void compile(benchmark::State& state) {
  const auto all = routes(state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(RouteTable(all));
}
BENCHMARK(compile)->RangeMultiplier(10)->Range(10, 100'000)->Unit(benchmark::kMillisecond);

void check(benchmark::State& state) {
  auto all = routes(state.range(0));
  const std::vector<KnownClass> classes = {{"job-status", {"GET"}}, {"book-job", {"POST"}}};
  for (auto _ : state) benchmark::DoNotOptimize(RouteTable::check(all, classes));
}
BENCHMARK(check)->RangeMultiplier(10)->Range(10, 100'000)->Unit(benchmark::kMillisecond);

void normalise_request(benchmark::State& state) {
  for (auto _ : state)
    benchmark::DoNotOptimize(normalise("/api/v1//part1/./x%7e?q=1", {"Quote.Example.org:8080"}));
}
BENCHMARK(normalise_request);

void split(benchmark::State& state) {
  std::vector<Share> shares;
  for (std::int64_t i = 0; i < state.range(0); ++i) shares.push_back({"pool" + std::to_string(i), 1});
  for (auto _ : state) benchmark::DoNotOptimize(choose_share("00000000b4d65521", shares));
}
BENCHMARK(split)->Arg(2)->Arg(8);

}  // namespace
