// What the gatekeeper tells of its schema itself.
#include <gtest/gtest.h>

#include <fstream>

#include "graphql/engine.h"

namespace cranemux::graphql {
namespace {

struct Introspecting : testing::Test {
  Introspecting() {
    std::ifstream in(std::string(CRANEMUX_TEST_DATA) + "/courier.graphql");
    config.schema.assign(std::istreambuf_iterator<char>(in), {});
  }
  Admitted admit(const std::string& document) {
    if (!engine) engine.emplace(config);
    json::Value text, request;
    text.data = document;
    request.data = json::Object{{"query", std::move(text)}};
    return engine->admit(request, true);
  }
  std::string told(const std::string& document) {
    const auto admitted = admit(document);
    return admitted.introspects ? admitted.own_answer() : "sent on";
  }

  EngineConfig config;
  std::optional<Engine> engine;
};
using graphql_introspection = Introspecting;

TEST_F(graphql_introspection, types) {
  EXPECT_EQ(
      told(R"({ __type(name: "Point") { kind name fields { name type { kind name ofType { name } } } } })"),
      R"({"data":{"__type":{"kind":"OBJECT","name":"Point","fields":[)"
      R"({"name":"lat","type":{"kind":"NON_NULL","name":null,"ofType":{"name":"Float"}}},)"
      R"({"name":"lon","type":{"kind":"NON_NULL","name":null,"ofType":{"name":"Float"}}}]}}})");
  EXPECT_EQ(told(R"({ __type(name: "Nowhere") { name } })"), R"({"data":{"__type":null}})");
  EXPECT_EQ(
      told(
          R"({ __type(name: "Found") { kind fields { name } possibleTypes { name } interfaces { name } } })"),
      R"({"data":{"__type":{"kind":"UNION","fields":null,"possibleTypes":)"
      R"([{"name":"Job"},{"name":"Place"},{"name":"Rider"}],"interfaces":null}}})");
  EXPECT_EQ(told(R"({ __type(name: "Rider") { interfaces { name } possibleTypes { name } } })"),
            R"({"data":{"__type":{"interfaces":[{"name":"Node"},{"name":"Named"}],"possibleTypes":null}}})");
  EXPECT_EQ(
      told(R"({ __type(name: "Date") { kind specifiedByURL description } })"),
      R"({"data":{"__type":{"kind":"SCALAR","specifiedByURL":"https://example.org/date","description":null}}})");
}

TEST_F(graphql_introspection, inputs_and_values) {
  EXPECT_EQ(
      told(R"({ __type(name: "State") { enumValues { name } all: enumValues(includeDeprecated: true) {
                      name isDeprecated deprecationReason } } })"),
      R"({"data":{"__type":{"enumValues":[{"name":"ASKED"},{"name":"PICKED"},{"name":"DELIVERED"}],"all":[)"
      R"({"name":"ASKED","isDeprecated":false,"deprecationReason":null},)"
      R"({"name":"PICKED","isDeprecated":false,"deprecationReason":null},)"
      R"({"name":"DELIVERED","isDeprecated":false,"deprecationReason":null},)"
      R"({"name":"LOST","isDeprecated":true,"deprecationReason":"use DELIVERED"}]}}})");
  EXPECT_EQ(told(R"({ __type(name: "JobFilter") { inputFields { name defaultValue } } })"),
            R"({"data":{"__type":{"inputFields":[{"name":"state","defaultValue":null},)"
            R"({"name":"states","defaultValue":null},{"name":"rider","defaultValue":null},)"
            R"({"name":"all","defaultValue":null},{"name":"not","defaultValue":null},)"
            R"({"name":"text","defaultValue":null},{"name":"least","defaultValue":"0"}]}}})");
  const auto job =
      told(R"({ __type(name: "Job") { fields { name args { name defaultValue type { name } } } } })");
  EXPECT_NE(
      job.find(
          R"({"name":"note","args":[{"name":"lang","defaultValue":"\"en\"","type":{"name":"String"}}]})"),
      std::string::npos)
      << job;
}

TEST_F(graphql_introspection, the_schema) {
  EXPECT_EQ(told("{ __schema { queryType { name } mutationType { name } subscriptionType { name } } }"),
            R"({"data":{"__schema":{"queryType":{"name":"Query"},"mutationType":{"name":"Mutation"},)"
            R"("subscriptionType":{"name":"Subscription"}}}})");
  const auto directives = told("{ __schema { directives { name isRepeatable locations args { name } } } }");
  EXPECT_NE(directives.find(
                R"({"name":"mark","isRepeatable":true,"locations":["FIELD"],"args":[{"name":"name"}]})"),
            std::string::npos);
  EXPECT_NE(directives.find(R"("name":"include")"), std::string::npos);
  const auto types = told("{ __schema { types { name } } }");
  for (const auto* name : {"Int", "Job", "PointInput", "__Type", "Found"}) {
    EXPECT_NE(types.find(std::string("{\"name\":\"") + name + "\"}"), std::string::npos) << name;
  }
}

TEST_F(graphql_introspection, merged_aliased_and_left_out) {
  EXPECT_EQ(told(R"({ a: __type(name: "Point") { name } ...F } fragment F on Query {
                      a: __type(name: "Point") { k: kind ... on __Type { name } ...G } }
                      fragment G on __Type { description @skip(if: true) __typename })"),
            R"({"data":{"a":{"name":"Point","k":"OBJECT","__typename":"__Type"}}})");
  EXPECT_EQ(told("{ __typename }"), R"({"data":{"__typename":"Query"}})");
}

TEST_F(graphql_introspection, beside_other_fields_it_is_the_servers) {
  EXPECT_EQ(told("{ now __schema { description } }"), "sent on");
  EXPECT_EQ(told("{ now __typename }"), "sent on");
  EXPECT_EQ(told("{ now }"), "sent on");
}

TEST_F(graphql_introspection, priced_like_any_query) {
  EXPECT_EQ(admit("{ __schema { types { name } } }").units, 11);
  EXPECT_FALSE(admit("{ __schema { types { name } } }").booking);
}

TEST_F(graphql_introspection, switched_off) {
  config.introspection = false;
  for (const auto* document : {"{ __schema { description } }", "{ now __type(name: \"Job\") { name } }",
                               "{ ...F } fragment F on Query { __schema { description } }"}) {
    try {
      admit(document);
      ADD_FAILURE() << document;
    } catch (const Rejected& rejected) {
      EXPECT_EQ(rejected.code, "INTROSPECTION_DISABLED");
    }
  }
  EXPECT_EQ(told("{ __typename }"), R"({"data":{"__typename":"Query"}})");
  EXPECT_EQ(told("{ now __typename }"), "sent on");
}

TEST_F(graphql_introspection, bounded) {
  const auto admitted = admit("{ __schema { types { name fields { name } } } }");
  const auto whole = admitted.own_answer();
  const auto& document = admitted.checked->document;
  const auto told = [&](const IntrospectionLimits& limits) {
    return introspect(*admitted.checked->schema, admitted.checked->fragments, document.operations.front(), {},
                      limits);
  };
  EXPECT_EQ(told({10'000, whole.size()}), whole);
  EXPECT_THROW(told({10, whole.size()}), Error);
  EXPECT_THROW(told({10'000, whole.size() / 2}), Error);
}

}  // namespace
}  // namespace cranemux::graphql
