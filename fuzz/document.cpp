// Any bytes as a document: read, checked, priced. What is found valid must be priced or told why not.
#include "graphql/cost.h"
#include "graphql/parser.h"
#include "target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cranemux::graphql;
  const auto& schema = cranemux::fuzz::schema();
  const Limits limits;
  try {
    const auto document = parse(std::string(reinterpret_cast<const char*>(data), size), limits);
    const FragmentIndex fragments(document);
    const auto faults = validate(schema, document, fragments, limits);
    for (const auto& fault : faults) cranemux::fuzz::demand(!fault.text.empty() && !fault.at.empty());
    if (!faults.empty()) return 0;
    for (const auto& operation : document.operations) {
      const auto variables = coerce_variables(schema, operation, nullptr);
      const auto priced = price(schema, operation, variables, {}, limits);
      cranemux::fuzz::demand(priced->units >= 0 && same_price(*priced, variables));
    }
  } catch (const Error& error) {
    cranemux::fuzz::demand(!error.code.empty() && *error.what() != '\0');
  }
  return 0;
}
