// Any bytes as a schema. What is good must be told whole by introspection, or be too large for it.
#include "graphql/introspection.h"
#include "graphql/parser.h"
#include "target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cranemux::graphql;
  try {
    const Schema schema(std::string(reinterpret_cast<const char*>(data), size));
    const auto document = parse(
        "{__schema{types{name description kind specifiedByURL fields(includeDeprecated:true){name args{name "
        "defaultValue type{name ofType{name}}}type{kind name ofType{kind name}}}enumValues{name}"
        "inputFields{name defaultValue}possibleTypes{name}interfaces{name}}directives{name locations "
        "args{name}}}}");
    const auto told = introspect(schema, FragmentIndex(document), document.operations.front(), {});
    cranemux::fuzz::demand(cranemux::json::parse(told).find("data") != nullptr);
  } catch (const SchemaError& error) {
    cranemux::fuzz::demand(!error.faults.empty());
  } catch (const Error&) {
  }
  return 0;
}
