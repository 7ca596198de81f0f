// The file of several services: what it means, and how its faults are named.
#include <gtest/gtest.h>

#include "config/services.h"

namespace cranemux::config {
namespace {

const std::string kHead = R"(classes:
  look: {aim: 400ms, give_up: 1.5s, repeat: safe}
  book: {aim: 750ms, give_up: 2s, repeat: never}
plans:
  p: {units_per_s: 5, burst: 10}
listeners:
  web: {listen: "127.0.0.1:8080"}
)";
const std::string kPools = R"(pools:
  a: {nodes: ["127.0.0.1:1", "127.0.0.1:2"]}
  b: {nodes: ["127.0.0.1:3"]}
)";
const std::string kRoutes = R"(routes:
  - {host: a.example, pool: a}
  - {host: b.example, pool: b}
)";

Services good(const std::string& text) { return parse_services(text, "f.yaml", std::nullopt); }

std::string faults(const std::string& text) {
  try {
    good(text);
    return "none";
  } catch (const Error& error) {
    return error.what();
  }
}

TEST(ServicesConfig, MembersSetAsideAreFewerThanAllAndGoWithTrustingQuotas) {
  const auto tier = [](const std::string& more) {
    return "tier: {index: 0, listen: \"127.0.0.1:9\", peers: [\"127.0.0.1:9\", \"127.0.0.1:10\", "
           "\"127.0.0.1:11\"]" +
           more + "}\n" + kHead + kPools + kRoutes;
  };
  EXPECT_EQ(good(tier("")).pools.at("a").settings.dedicated_leaders, 0);
  EXPECT_EQ(good(tier(", keepers: 2")).pools.at("a").settings.dedicated_leaders, 2);
  EXPECT_NE(faults(tier(", keepers: 3")).find("tier.keepers"), std::string::npos);
  EXPECT_NE(faults(tier(", keepers: 1, quotas: guarded")).find("tier.keepers"), std::string::npos);
}

TEST(ServicesConfig, AFileIsRead) {
  const auto services = good("limits: {sockets: 500, memory_mb: 64}\n" + kHead + kPools + kRoutes);
  EXPECT_EQ(services.pools.size(), 2U);
  const auto& a = services.pools.at("a");
  EXPECT_EQ(a.nodes.entries.size(), 2U);
  EXPECT_EQ(a.nodes.entries[1].address, (Address{"127.0.0.1", 2}));
  EXPECT_EQ(a.quota_group, "a");
  EXPECT_EQ(a.settings.classes.at(0).aim, 400'000'000);
  EXPECT_EQ(a.settings.classes.at(1).repeat, cranemux::Repeat::unsafe);
  EXPECT_EQ(a.settings.plans.at(0).burst, 10);
  EXPECT_EQ(a.admission[0],
            (pool::Part{75, 300}));  // half of an even share of 6/10 of the sockets, and all of it
  EXPECT_EQ(services.listeners.at(0).routes.size(), 2U);
  EXPECT_EQ(services.listeners.at(0).routes.at(0).line, 13);
}

TEST(ServicesConfig, APoolMayHavePlansAndBudgetsOfItsOwn) {
  const auto services = good(kHead + R"(pools:
  a:
    nodes: ["127.0.0.1:1"]
    plans: {p: {burst: 3}, q: {units_per_s: 1, burst: 2}}
    classes: {look: {aim: 1s}}
    budget: {rpcs: {guaranteed: 5, most: 9}, bytes: {most: 64KiB}}
  b: {discovery: "127.0.0.1:8500"}
)" + kRoutes);
  const auto& a = services.pools.at("a");
  EXPECT_EQ(a.settings.plans.at(0).rate, 5);
  EXPECT_EQ(a.settings.plans.at(0).burst, 3);
  EXPECT_EQ(a.settings.plans.size(), 2U);
  EXPECT_EQ(a.settings.classes.at(0).aim, 1'000'000'000);
  EXPECT_EQ(a.admission[1], (pool::Part{5, 9}));
  EXPECT_EQ(a.admission[2], (pool::Part{64 * 1024, 64 * 1024}));
  EXPECT_EQ(services.pools.at("b").settings.plans.size(), 1U);
  EXPECT_TRUE(services.pools.at("b").discovery.has_value());
}

TEST(ServicesConfig, OneListenerMayHaveRoutesThatAnotherHasNot) {
  auto text =
      kHead + kPools + "routes:\n  - {listener: web, host: a.example, pool: a}\n  - {path: /x, pool: b}\n";
  text.insert(text.find("pools:"), "  more: {listen: \"127.0.0.1:8081\"}\n");
  const auto services = good(text);
  EXPECT_EQ(services.listeners.at(0).routes.size(), 2U);
  EXPECT_EQ(services.listeners.at(1).routes.size(), 1U);
}

// Each broken file, and what its message must say, with line and column.
TEST(ServicesConfig, EveryFaultIsNamedWithItsPlaceAndKey) {
  struct Row {
    std::string text, said;
  };
  const Row rows[] = {
      {"a: [", "f.yaml:1:1: is no YAML"},
      {"just a text", "must be a map"},
      {kHead + kPools, "routes: must be a list of one route at least"},
      {kHead + kRoutes, "pools: missing"},
      {kPools + kRoutes, "classes: missing"},
      {"nmae: x\n" + kHead + kPools + kRoutes, "f.yaml:1:1: nmae: there is no such key here"},
      {"limits: {sockets: 8}\n" + kHead + kPools + kRoutes,
       "f.yaml:1:19: limits.sockets: must lie within 32 and"},
      {"limits: {sockets: many}\n" + kHead + kPools + kRoutes, "limits.sockets: must be a number"},
      {"classes:\n  look: {aim: 400, give_up: 1s}\n" + kPools + kRoutes,
       "f.yaml:2:15: classes.look.aim: must be a time with its unit"},
      {"classes:\n  look: {aim: 2s, give_up: 1s}\n" + kPools + kRoutes,
       "classes.look.give_up: must not be under aim"},
      {"classes:\n  look: {give_up: 1s}\n" + kPools + kRoutes, "classes.look.aim: missing"},
      {"classes:\n  look: {aim: 1s, give_up: 1s, repeat: twice}\n" + kPools + kRoutes,
       "classes.look.repeat: must be safe or never"},
      {"plans:\n  p: {burst: 5}\n" + kPools + kRoutes, "plans.p.units_per_s: missing"},
      {"plans:\n  p: {units_per_s: -1, burst: 5}\n" + kPools + kRoutes,
       "plans.p.units_per_s: must lie within 0"},
      {"plans:\n  p: {units_per_s: 1}\n" + kPools + kRoutes, "plans.p.burst: missing"},
      {"plans:\n  p: {units_per_s: 1, burst: 1}\n  p: {units_per_s: 2, burst: 1}\n" + kPools + kRoutes,
       "f.yaml:3:3: plans.p: stands here twice"},
      {kHead + "pools:\n  a: {}\n  b: {nodes: [\"127.0.0.1:3\"]}\n" + kRoutes,
       "f.yaml:9:3: pools.a.nodes: missing"},
      {kHead + "pools:\n  a: {nodes: [here]}\n  b: {nodes: [\"127.0.0.1:3\"]}\n" + kRoutes,
       "here is not address:port"},
      {kHead + "pools:\n  a: {nodes: [\"h:1\", \"h:1\"]}\n  b: {nodes: [\"h:3\"]}\n" + kRoutes,
       "h:1 stands there twice"},
      {kHead + "pools:\n  a: {nodes: [\"h:1\"], discovery: \"h:2\"}\n  b: {nodes: [\"h:3\"]}\n" + kRoutes,
       "give one of the two"},
      {kHead +
           "pools:\n  a: {nodes: [\"h:1\"], budget: {rpcs: {guaranteed: 9, most: 3}}}\n  b: {nodes: "
           "[\"h:3\"]}\n" +
           kRoutes,
       "pools.a.budget.rpcs.guaranteed: is above most"},
      {kHead + "pools:\n  a: {nodes: [\"h:1\"], budget: {bytes: {most: 12}}}\n  b: {nodes: [\"h:3\"]}\n" +
           kRoutes,
       "pools.a.budget.bytes.most: must be a size with its unit"},
      {kHead +
           "pools:\n  a: {nodes: [\"h:1\"], budget: {rpcs: {guaranteed: 600, most: 600}}}\n  b: {nodes: "
           "[\"h:3\"]}\n" +
           kRoutes,
       "the guaranteed rpcs of all pools are"},
      {kHead +
           "pools:\n  a: {nodes: [\"h:1\"], quota_group: g}\n  b: {nodes: [\"h:3\"], quota_group: g, plans: "
           "{p: {burst: 1}}}\n" +
           kRoutes,
       "pool a at line 9 has other plans in the same quota_group g"},
      {kHead + kPools + "routes:\n  - {host: a, pool: none}\n",
       "f.yaml:12:21: routes.0.pool: there is no pool none"},
      {kHead + kPools + "routes:\n  - {host: a}\n", "routes.0.pool: give pool, or split"},
      {kHead + kPools + "routes:\n  - {host: a, pool: a, split: {a: 1}}\n",
       "routes.0.pool: give pool, or split"},
      {kHead + kPools + "routes:\n  - {host: a, split: {a: 0, b: 0}}\n", "no pool has a share above 0"},
      {kHead + kPools + "routes:\n  - {host: a, split: {a: x}}\n", "routes.0.split.a: must be a number"},
      {kHead + kPools + "routes:\n  - {host: \"a*\", pool: a}\n",
       "is neither a host without a port nor *.suffix"},
      {kHead + kPools + "routes:\n  - {path: x, pool: a}\n", "path: x is no path"},
      {kHead + kPools + "routes:\n  - {path: /a%2fb, pool: a}\n", "is no path"},
      {kHead + kPools + "routes:\n  - {classes: [none], pool: a}\n", "there is no class none"},
      {kHead + kPools + "routes:\n  - {name: one, host: a, pool: a}\n  - {name: two, host: A., pool: b}\n",
       "f.yaml:13: routes: route two: ties with route one at line 12"},
      {kHead + kPools + "routes:\n  - {name: one, methods: [GET], classes: [book], pool: a}\n",
       "can never match"},
      {kHead + kPools + "routes:\n  - {listener: x, host: a, pool: a}\n", "there is no listener x"},
      {kHead + kPools + "routes:\n  - {host: a, pool: a, overflow: a}\n",
       "overflow: a is a pool of the route itself"},
      {kHead + kPools + "routes: {}\n", "must be a list"}};
  for (const auto& row : rows) {
    EXPECT_NE(faults(row.text).find(row.said), std::string::npos) << row.said << "\n  in\n"
                                                                  << faults(row.text);
  }
}

TEST(ServicesConfig, SeveralFaultsAreNamedInOneGoInTheOrderOfTheFile) {
  const auto said =
      faults("limits: {sockets: 1}\nplans:\n  p: {units_per_s: x, burst: 5, bust: 1}\n" + kPools + kRoutes);
  const auto first = said.find("f.yaml:1:"), second = said.find("f.yaml:3:"),
             third = said.find("there is no such key");
  EXPECT_NE(first, std::string::npos) << said;
  EXPECT_LT(first, second);
  EXPECT_NE(third, std::string::npos);
  EXPECT_GE(std::count(said.begin(), said.end(), '\n'), 3);
}

TEST(ServicesConfig, JsonIsYaml) {
  const auto services = good(R"({"classes": {"look": {"aim": "1s", "give_up": "2s"}},
    "plans": {"p": {"units_per_s": 1, "burst": 2}}, "listeners": {"web": {"listen": "127.0.0.1:1"}},
    "pools": {"a": {"nodes": ["127.0.0.1:2"]}}, "routes": [{"pool": "a"}]})");
  EXPECT_EQ(services.pools.size(), 1U);
}

TEST(ServicesConfig, WhatAModuleNeedsUnchangedIsToldFromWhatIsAlteredInPlace) {
  const auto services = good(kHead + kPools + kRoutes);
  auto pool = services.pools.at("a");
  EXPECT_TRUE(same_module(services.pools.at("a"), pool));
  pool.admission[0].most = 1;
  pool.nodes.entries.pop_back();
  EXPECT_TRUE(same_module(services.pools.at("a"), pool));
  pool.settings.plans[0].rate = 9;
  EXPECT_FALSE(same_module(services.pools.at("a"), pool));
}

}  // namespace
}  // namespace cranemux::config
