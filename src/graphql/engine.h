// From a request to what may run: finds the document, checks it, picks the operation, coerces its variables,
// prices it. Free of I/O; one engine for each schema, replaced as a whole at a reload.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "graphql/documents.h"
#include "graphql/field_costs.h"
#include "graphql/introspection.h"

namespace cranemux::graphql {

struct EngineConfig {
  std::string schema;  // its text; empty: costs by `costs.fields`
  Costs costs;
  CostOptions options;
  std::vector<std::string> booking_fields;  // by `Type.field`, besides those with @booking; with a schema
  Limits limits;
  bool automatic = false;                      // persisted documents that clients register
  std::map<std::string, std::string> trusted;  // by hash
  bool only_trusted = false;
  bool introspection = true;  // answered here, from the schema
  std::size_t cache_bytes = 4 * 1024 * 1024;
};

// What is wrong with one request: an error of GraphQL each.
struct Rejected : std::runtime_error {
  struct Problem {
    std::string text;
    std::vector<Place> at;
    std::string rule;  // of section 5, where it is one
  };
  Rejected(std::string code_, std::vector<Problem> problems_);
  explicit Rejected(const Error& error);
  std::string code;
  std::vector<Problem> problems;
};

struct Admitted {
  double units = 0;  // at least 1, whole
  bool booking = false;
  OperationKind kind = OperationKind::query;
  std::string text;                        // of the document, for the server
  std::shared_ptr<const Checked> checked;  // keeps what `priced` points into
  std::shared_ptr<const Priced> priced;    // with a schema
  // Of introspection alone, with a schema: answered by `own_answer`, by no server.
  const Operation* introspects = nullptr;
  Variables variables;  // of such an operation
  std::string own_answer() const;
};

class Engine {
 public:
  // Throws SchemaError where the schema is at fault.
  explicit Engine(EngineConfig config);
  // `safe_method`: by GET, which no mutation may come by. Throws Rejected.
  Admitted admit(const json::Value& request, bool safe_method);
  const EngineConfig& config() const { return config_; }
  const Schema* schema() const { return schema_.get(); }
  const DocumentCounts& counts() const { return store_.counts; }
  std::size_t kept_bytes() const { return store_.bytes(); }

 private:
  std::string text_of(const json::Value& request);
  std::string registered(const std::string& hash, const json::Value* query);
  std::shared_ptr<const Checked> checked(const std::string& text);
  std::shared_ptr<const Priced> priced(const Checked& checked, const Operation& operation,
                                       const Variables& values) const;
  void price(const Operation& operation, const json::Value* told, Admitted& out) const;

  const EngineConfig config_;
  std::shared_ptr<const Schema> schema_;
  DocumentStore store_;
};

// The operation that `name` picks; the only one where it is empty. Throws Error.
const Operation& pick(const Document& document, std::string_view name);

}  // namespace cranemux::graphql
