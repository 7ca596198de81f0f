// How requests are normalised, matched and split.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "routing/normalise.h"
#include "routing/route_table.h"
#include "routing/split.h"

namespace cranemux::routing {
namespace {

Normalised of(std::string_view target, std::vector<std::string_view> hosts = {"a.example"}) {
  return normalise(target, hosts);
}

TEST(Normalise, AHostWrittenInEveryLegalWayIsOneHost) {
  for (const auto* host : {"quote.example.org", "QUOTE.Example.ORG", "quote.example.org.",
                           "quote.example.org:80", "quote.example.org.:8080", "Quote.example.org:"}) {
    const auto got = of("/x", {host});
    EXPECT_EQ(got.fault, Fault::none) << host;
    EXPECT_EQ(got.host, "quote.example.org") << host;
  }
  EXPECT_EQ(of("/", {"[::1]:8080"}).host, "[::1]");
  EXPECT_EQ(of("/", {"127.0.0.1:1"}).host, "127.0.0.1");
}

TEST(Normalise, WhatNamesNoHostOrTwoIsRejected) {
  for (const auto* host : {"", ".", "a..b", "-", "a b", "a/b", "user@a", "a%2eb", "a:99999", "a:b", "[::1",
                           "[]", "[zz::]", "a,b", "\xc3\xa9.example"}) {
    const auto fault = of("/", {host}).fault;
    EXPECT_EQ(fault == Fault::none, std::string(host) == "-") << host;
  }
  EXPECT_EQ(of("/", {}).fault, Fault::no_host);
  EXPECT_EQ(of("/", {"a.example", "a.example"}).fault, Fault::two_hosts);
  EXPECT_EQ(of("http://b.example/", {"a.example"}).fault, Fault::two_hosts);
  EXPECT_EQ(of("/", {std::string(64, 'a').append(".example")}).fault, Fault::bad_host);
}

TEST(Normalise, TheAbsoluteFormIsTheSameRequest) {
  const auto got = of("HTTP://A.example:80/x/../y?q=1", {"a.example"});
  EXPECT_EQ(got.fault, Fault::none);
  EXPECT_EQ(got.path, "/y");
  EXPECT_EQ(got.query, "?q=1");
  EXPECT_EQ(of("http://a.example", {"a.example"}).path, "/");
  EXPECT_EQ(of("http://a.example?q", {"a.example"}).query, "?q");
  for (const auto* target :
       {"ftp://a.example/", "*", "x", "a.example:80", "http:///x", "http://u@a.example/"}) {
    EXPECT_NE(of(target).fault, Fault::none) << target;
  }
}

TEST(Normalise, APathIsOneWhateverItsSpelling) {
  const std::map<std::string, std::string> table = {
      {"/", "/"},           {"/a/b", "/a/b"},     {"//a///b//", "/a/b/"},   {"/a/./b/.", "/a/b/"},
      {"/a/b/..", "/a/"},   {"/a/../../..", "/"}, {"/../a", "/a"},          {"/%61dmin", "/admin"},
      {"/%2e%2E/a", "/a"},  {"/a/%2e/b", "/a/b"}, {"/a%7eb", "/a~b"},       {"/caf%c3%a9", "/caf%C3%A9"},
      {"/a%20b", "/a%20b"}, {"/a/...", "/a/..."}, {"/a;v=1/b", "/a;v=1/b"}, {"/a/..b/.c", "/a/..b/.c"}};
  for (const auto& [from, to] : table) {
    const auto got = of(from);
    EXPECT_EQ(got.fault, Fault::none) << from;
    EXPECT_EQ(got.path, to) << from;
    EXPECT_EQ(of(got.path).path, got.path) << "again: " << from;
  }
}

TEST(Normalise, WhatTwoReadersMayTakeForDifferentPathsIsRejected) {
  const std::map<std::string, Fault> table = {
      {"/a%2fb", Fault::encoded_slash}, {"/a%2Fb", Fault::encoded_slash},   {"/a%5cb", Fault::encoded_slash},
      {"/a\\b", Fault::encoded_slash},  {"/a%00", Fault::control},          {"/a%0d%0a", Fault::control},
      {"/a%7f", Fault::control},        {"/a%", Fault::bad_escape},         {"/a%2", Fault::bad_escape},
      {"/a%zz", Fault::bad_escape},     {"/%%32%66", Fault::bad_escape},    {"/a/..;/b", Fault::bad_segment},
      {"/a/.;x", Fault::bad_segment},   {"/%2e%2e;/b", Fault::bad_segment}, {"/a#b", Fault::bad_target},
      {"/a?q#b", Fault::bad_target},    {"/caf\xc3\xa9", Fault::control}};
  for (const auto& [from, fault] : table) EXPECT_EQ(of(from).fault, fault) << from;
}

// Whatever comes, the result is normal already, or a fault.
TEST(Normalise, RandomTargetsComeOutNormalOrNotAtAll) {
  std::mt19937 random(7);
  constexpr std::string_view kParts[] = {"/",  "..", ".",  "%2e", "%2F", "a", "%",
                                         "61", ";",  "//", "%41", "b?",  "#"};
  std::size_t good = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string target = "/";
    for (int n = static_cast<int>(random() % 8); n > 0; --n) target += kParts[random() % std::size(kParts)];
    const auto got = of(target);
    if (got.fault != Fault::none) continue;
    ++good;
    EXPECT_EQ(of(got.path).path, got.path) << target;
    EXPECT_EQ(got.path.find("//"), std::string::npos) << target;
    EXPECT_EQ((got.path + "/").find("/../"), std::string::npos) << target;
    EXPECT_EQ((got.path + "/").find("/./"), std::string::npos) << target;
  }
  EXPECT_GT(good, 2000U);
}

const std::vector<KnownClass> kClasses = {{"look", {"GET", "POST"}}, {"book", {"POST"}}};

Route route(const std::string& name, const std::string& host, const std::string& path,
            std::vector<std::string> methods = {}, std::vector<std::string> classes = {}) {
  Route r;
  r.name = name;
  r.host = host;
  r.path = path;
  r.methods = std::move(methods);
  r.classes = std::move(classes);
  r.shares = {{"p", 1}};
  return r;
}

std::vector<Route> numbered(std::vector<Route> routes) {
  int line = 10;
  for (auto& r : routes) r.line = line++;
  return routes;
}

std::string found(const RouteTable& table, const Query& query) {
  const auto got = table.find(query);
  return got.route ? got.route->name : "-" + std::string(name_of(got.miss));
}

std::vector<Route> sample() {
  return numbered({route("exact", "quote.example.org", "/"), route("exact-v2", "quote.example.org", "/v2"),
                   route("v2-book", "quote.example.org", "/v2", {"POST"}, {"book"}),
                   route("v2-post", "quote.example.org", "/v2", {"POST"}),
                   route("deep", "*.eu.example.org", "/"), route("wide", "*.example.org", "/"),
                   route("api", "", "/api/v1"), route("looks", "", "/any", {}, {"look"})});
}

TEST(Routes, TheMostSpecificWinsWhateverTheOrderInTheFile) {
  struct Row {
    const char *host, *path, *method, *klass, *name;
  };
  const Row rows[] = {{"quote.example.org", "/", "GET", "look", "exact"},
                      {"quote.example.org", "/v2", "GET", "look", "exact-v2"},
                      {"quote.example.org", "/v2/x", "GET", "look", "exact-v2"},
                      {"quote.example.org", "/v22", "GET", "look", "exact"},
                      {"quote.example.org", "/v2", "POST", "book", "v2-book"},
                      {"quote.example.org", "/v2", "POST", "look", "v2-post"},
                      {"book.example.org", "/", "GET", "look", "wide"},
                      {"a.b.example.org", "/", "GET", "look", "wide"},
                      {"x.eu.example.org", "/api/v1", "GET", "look", "deep"},
                      {"eu.example.org", "/", "GET", "look", "wide"},
                      {"example.org", "/", "GET", "look", "-path"},
                      {"example.org", "/api/v1/y", "GET", "look", "api"},
                      {"else", "/any", "POST", "book", "-class"},
                      {"else", "/any", "GET", "look", "looks"}};
  auto routes = sample();
  ASSERT_TRUE(RouteTable::check(routes, kClasses).empty());
  std::mt19937 random(3);
  for (int i = 0; i < 20; ++i) {
    std::shuffle(routes.begin(), routes.end(), random);
    const RouteTable table(routes);
    for (const auto& row : rows) {
      EXPECT_EQ(found(table, {row.host, row.path, row.method, row.klass}), row.name) << row.host << row.path;
    }
  }
  EXPECT_EQ(found(RouteTable({route("only", "a", "/")}), {"b", "/", "GET", "look"}), "-host");
}

// A plain search through all routes, by the order as the header states it.
const Route* by_hand(const std::vector<Route>& routes, const Query& query) {
  const Route* best = nullptr;
  const auto key = [](const Route& r) {
    const bool wild = r.host.starts_with("*.");
    const auto host = r.host.empty() ? 0 : wild ? r.host.size() : 1000;
    return std::tuple(host, r.path.size(), !r.methods.empty(), !r.classes.empty());
  };
  const auto in = [](const std::vector<std::string>& names, std::string_view name) {
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
  };
  for (const auto& r : routes) {
    const bool host = r.host.empty() || r.host == query.host ||
                      (r.host.starts_with("*.") && query.host.ends_with(r.host.substr(1)));
    const bool path = r.path == "/" || query.path == r.path || query.path.starts_with(r.path + "/");
    if (!host || !path || !in(r.methods, query.method) || !in(r.classes, query.klass)) continue;
    if (!best || key(r) > key(*best)) best = &r;
  }
  return best;
}

TEST(Routes, TheCompiledTableFindsWhatAPlainSearchFinds) {
  std::mt19937 random(11);
  const auto pick = [&](std::vector<std::string> from) { return from[random() % from.size()]; };
  const auto host = [&](bool wild) {
    std::string out = pick({"a", "b", "c"});
    for (auto n = random() % 3; n > 0; --n) out = pick({"a", "b", "c"}) + "." + out;
    return (wild ? "*." : "") + out;
  };
  const auto path = [&] {
    std::string out;
    for (auto n = random() % 4; n > 0; --n) out += "/" + pick({"x", "y", "xy"});
    return out.empty() ? std::string("/") : out;
  };
  for (int round = 0; round < 100; ++round) {
    std::vector<Route> routes;
    for (int i = 0; i < 60; ++i) {
      auto r = route("r" + std::to_string(i), random() % 6 == 0 ? "" : host(random() % 3 == 0), path());
      if (random() % 4 == 0) r.methods = {pick({"GET", "POST"})};
      if (random() % 4 == 0) r.classes = {pick({"look", "book"})};
      auto more = routes;
      more.push_back(r);
      if (RouteTable::check(more, kClasses).empty()) routes.push_back(r);
    }
    const RouteTable table(routes);
    for (int i = 0; i < 300; ++i) {
      const auto h = host(false), p = path();
      const bool book = random() % 2 == 0;
      const Query query{h, p, book ? "POST" : "GET", book ? "book" : "look"};
      const auto* expected = by_hand(routes, query);
      EXPECT_EQ(found(table, query).substr(0, expected ? 99 : 1), expected ? expected->name : "-") << h << p;
    }
  }
}

std::string problems(std::vector<Route> routes) {
  std::string out;
  for (const auto& problem : RouteTable::check(routes, kClasses)) {
    out += std::to_string(problem.line) + (problem.other ? "~" + std::to_string(problem.other) : "") + " ";
  }
  return out;
}

TEST(Routes, OnesThatTieOrCanNeverMatchAreNamedWithBothLines) {
  EXPECT_EQ(problems(sample()), "");
  EXPECT_EQ(problems(numbered({route("a", "h", "/"), route("b", "h", "/")})), "11~10 ");
  EXPECT_EQ(problems(numbered({route("a", "H.", "/x/"), route("b", "h", "/x")})), "11~10 ");
  EXPECT_EQ(problems(numbered({route("a", "", "/", {"GET"}), route("b", "", "/", {"GET", "POST"})})),
            "11~10 ");
  EXPECT_EQ(
      problems(numbered({route("a", "", "/", {"GET"}), route("b", "", "/", {"POST"}), route("c", "", "/")})),
      "12~10 ");  // the classes come by these two methods only
  EXPECT_EQ(problems(numbered({route("a", "", "/", {"GET"}, {"book"})})), "10 ");
  EXPECT_EQ(problems(numbered({route("a", "", "/", {}, {"look"}), route("b", "", "/")})), "");
  EXPECT_EQ(problems(numbered({route("a", "", "/", {}, {"none"}), route("a", "x y", "no")})),
            "10 11~10 11 11 ");
  EXPECT_EQ(problems(numbered({route("a", "a:80", "/")})), "10 ");
}

TEST(Routes, AHostileRequestCostsNoMoreThanItsRoutes) {
  std::vector<Route> routes;
  for (int i = 0; i < 200; ++i)
    routes.push_back(route(std::to_string(i), "", "/" + std::string("a/").append(std::to_string(i))));
  const RouteTable table(routes);
  std::string path, host = "a";
  for (int i = 0; i < 8000; ++i) path += "/a";
  for (int i = 0; i < 4000; ++i) host += ".a";
  EXPECT_EQ(found(table, {host, path, "GET", "look"}), "-path");
  EXPECT_EQ(table.explain({"h", "/a/7/x", "GET", "look"}).back(),
            "route 7 (line 0, host *, path /a/7): takes it");
}

std::string customer(int i) {
  char text[20];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(i));
  return text;
}

TEST(Split, EachPoolHasItsShareOfTheCustomers) {
  const std::vector<Share> shares = {{"old", 70}, {"new", 25}, {"off", 0}, {"tiny", 5}};
  std::map<std::size_t, int> counts;
  for (int i = 0; i < 100'000; ++i) ++counts[choose_share(customer(i), shares)];
  EXPECT_NEAR(counts[0], 70'000, 700);
  EXPECT_NEAR(counts[1], 25'000, 700);
  EXPECT_EQ(counts[2], 0);
  EXPECT_NEAR(counts[3], 5'000, 400);
}

// From 10% to 20%: those that move go to the pool that has grown, and no more than a tenth of all.
TEST(Split, AChangeOfSharesMovesOnlyThoseItMust) {
  const std::vector<Share> before = {{"old", 90}, {"new", 10}}, after = {{"old", 80}, {"new", 20}};
  int moved = 0;
  for (int i = 0; i < 100'000; ++i) {
    const auto was = choose_share(customer(i), before), is = choose_share(customer(i), after);
    if (was == is) continue;
    EXPECT_EQ(was, 0U);
    EXPECT_EQ(is, 1U);
    ++moved;
  }
  EXPECT_NEAR(moved, 10'000, 500);
}

}  // namespace
}  // namespace cranemux::routing
