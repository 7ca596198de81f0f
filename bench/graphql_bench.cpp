// What a GraphQL request costs before it runs: a document of 1 KB read, checked and priced; the same from the
// cache; and documents of 32 KB that mean harm, each of a kind of its own.
#include <benchmark/benchmark.h>

#include <fstream>
#include <map>

#include "graphql/engine.h"
#include "graphql/parser.h"

namespace {

using namespace cranemux::graphql;
namespace json = cranemux::json;

constexpr std::size_t kMost = 32 * 1024;

EngineConfig config(const char* schema) {
  std::ifstream in(std::string(CRANEMUX_TEST_DATA) + "/" + schema);
  EngineConfig out;
  out.schema.assign(std::istreambuf_iterator<char>(in), {});
  return out;
}

json::Value request(const std::string& document) {
  json::Value text, out;
  text.data = document;
  out.data = json::Object{{"query", std::move(text)}};
  return out;
}

// About 1 KB, as an app's screen may ask.
const std::string kBoard = R"(query Board($ids: [ID!]!, $details: Boolean = true) {
  mine: jobs(first: 5) {
    id
    rider { id name job { id rider { name } } }
    parent @include(if: $details) { id jobs(first: 3) { ...Short rider { ...Person } } }
  }
  watched: statuses(ids: $ids) { ...Short parent { ...Short } }
  page(first: 10) { total edges { cursor node { ...Short rider { ...Person } } } }
  found: search(text: "law office") {
    __typename
    ... on Job { ...Short jobs(first: 2) { ...Short } }
    ... on Rider { ...Person job { ...Short } }
  }
  cheap: quote(from: {lat: -42.88, lon: 147.33}, to: {lat: -42.9, lon: 147.32}) { price }
  dear: quote(from: {lat: -42.88, lon: 147.33, label: {text: "dock"}}, to: {lat: -42.9, lon: 147.32}) { price }
  count
  recent { id parent { id parent { id rider { name } } } }
}
fragment Short on Job { id rider { id name } }
fragment Person on Rider { id name job { id } })";

// Each time a document that the cache has not seen, or no more: a comment makes the difference, and the cache
// holds some 200 of them. All are made before the clock runs, since stopping it takes as long as a part of
// the work.
void whole(benchmark::State& state) {
  constexpr std::size_t kDocuments = 2048;
  Engine engine(config("priced.graphql"));
  const json::Value variables = json::parse(R"({"ids":["a","b","c"]})");
  std::vector<json::Value> asked;
  for (std::size_t n = 0; n < kDocuments; ++n) {
    asked.push_back(request(kBoard + "#" + std::to_string(n)));
    std::get<json::Object>(asked.back().data).emplace_back("variables", variables);
  }
  std::size_t n = 0;
  for (auto _ : state) benchmark::DoNotOptimize(engine.admit(asked[n++ % kDocuments], false));
  state.counters["bytes"] = static_cast<double>(kBoard.size());
  if (engine.counts().hits > 0) state.SkipWithError("the cache has answered");
}
BENCHMARK(whole)->Unit(benchmark::kMicrosecond);

void cached(benchmark::State& state, const std::string& document, const std::string& variables) {
  Engine engine(config("priced.graphql"));
  auto asked = request(document);
  std::get<json::Object>(asked.data).emplace_back("variables", json::parse(variables));
  for (auto _ : state) benchmark::DoNotOptimize(engine.admit(asked, false));
}
std::string without_variables() {
  auto out = kBoard;
  out.replace(0, out.find('{'), "query Board ");
  out.replace(out.find("$details"), 8, "true");
  out.replace(out.find("$ids"), 4, "[1, 2]");
  return out;
}
BENCHMARK_CAPTURE(cached, no_variables, without_variables(), "{}")->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(cached, variables, kBoard, R"({"ids":["a","b","c"]})")->Unit(benchmark::kMicrosecond);

// As often as the bounds on bytes and tokens let it be read.
std::string repeated(const std::string& head, const std::string& part, const std::string& tail) {
  const auto made = [&](std::size_t times) {
    std::string out = head;
    for (std::size_t i = 0; i < times; ++i) out += part;
    return out + tail;
  };
  const auto read = [&](std::size_t times) {
    try {
      parse(made(times));
      return true;
    } catch (const Error& error) {
      return error.code != kTooLarge;
    }
  };
  std::size_t least = 1, most = kMost / part.size() + 2;
  while (most - least > 1) {
    const auto middle = (least + most) / 2;
    (read(middle) ? least : most) = middle;
  }
  return made(least);
}

std::map<std::string, std::string> hostile() {
  std::map<std::string, std::string> out;
  out["fields"] = repeated("{", "count ", "}");
  out["unknown_fields"] = repeated("{", "c ", "}");
  out["aliases"] = repeated("{", "a:count ", "}");
  out["arguments"] = repeated("{job(id:1", " x:1", "){id}}");
  out["one_argument_often"] = repeated("{job(id:1", " id:1", "){id}}");
  out["directives"] = repeated("{count", "@include(if:true)", "}");
  out["input_fields"] = repeated("{quote(from:{", "lat:1 ", "}){price}}");
  out["list"] = repeated("{statuses(ids:[", "1 ", "]){id}}");
  out["fragments"] = repeated("{count}", "fragment a on Query{count}", "");
  out["inlined"] = repeated("{", "...{count}", "}");
  out["inlined_objects"] = repeated("{search{", "...on Job{id}", "}}");
  out["variables"] = repeated("query(", "$a:Int ", "){count}");
  out["operations"] = repeated("", "{count}", "");
  out["names"] = repeated("", "query a{count}", "");
  out["block_string"] = repeated("{search(text:\"\"\"", "\n \\\"\"\"", "\"\"\"){__typename}}");
  out["escapes"] = repeated("{search(text:\"", "\\u0041", "\"){__typename}}");
  out["deep_merge"] = repeated("{", "jobs(first:1){parent{parent{rider{id}}}}", "}");
  out["wide_arguments_merged"] =
      repeated("{", "statuses(ids:[1 2 3 4 5 6 7 8 9 1 2 3 4 5 6 7 8 9 1 2 3 4 5 6]){id}", "}");
  std::string doubling = "{job(id:1){...A0 ...B0}}";
  for (int i = 0; i < 90; ++i) {
    const auto n = std::to_string(i), m = std::to_string(i + 1);
    doubling += "fragment A" + n + " on Job{a:parent{...A" + m + " ...B" + m + "}b:parent{...A" + m + "}}";
    if (i % 2 == 0)
      doubling += "fragment B" + n + " on Job{b:parent{...B" + m + " x" + n + ":id}c:parent{...A" + m + "}}";
    else
      doubling += "fragment B" + n + " on Job{a:parent{...B" + m + "}c:parent{...B" + m + "}}";
    if (i == 89) {
      doubling += "fragment A" + m + " on Job{id}fragment B" + m + " on Job{id}";
      break;
    }
  }
  out["doubling"] = doubling;
  std::string chain;
  for (int i = 0; i < 250; ++i) {
    chain += "query q" + std::to_string(i) + "($a:ID!){...F}";
  }
  out["operations_one_fragment"] = chain + "fragment F on Query{job(id:$a){id}}";
  std::string groups = "{search{";
  for (int i = 0; i < 450; ++i) {
    groups += std::string("...on ") + (i % 2 ? "Job" : "Rider") + "{k" + std::to_string(i % 50) + ":id}";
  }
  out["groups"] = groups + "}}";
  return out;
}

void worst(benchmark::State& state, const std::string& document) {
  auto settings = config("priced.graphql");
  settings.cache_bytes = 1;  // nothing is kept
  Engine engine(settings);
  const auto asked = request(document);
  std::string verdict = "admitted";
  for (auto _ : state) {
    try {
      benchmark::DoNotOptimize(engine.admit(asked, false));
    } catch (const Rejected& rejected) {
      verdict = rejected.code;
    }
  }
  state.SetLabel(verdict);
}

}  // namespace

int main(int argc, char** argv) {
  for (const auto& [name, document] : hostile()) {
    benchmark::RegisterBenchmark(("worst/" + name).c_str(), [document = document](benchmark::State& state) {
      worst(state, document);
    })->Unit(benchmark::kMicrosecond);
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
