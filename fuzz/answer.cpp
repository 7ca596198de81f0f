// Any bytes as a server's answer: settled, or spoilt for a reason.
#include "graphql/cost.h"
#include "graphql/parser.h"
#include "target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cranemux;
  static const auto document = graphql::parse(
      "{jobs{id state rider{name jobs{id}}stops{at{lat}}parcel{__typename ...on Box{size inside{label}}...on "
      "Letter{pages}}}search(text:\"a\"){...on Node{id}...on Rider{nick}}grid tag now}");
  static const graphql::FragmentIndex fragments(document);
  static const auto priced = graphql::price(fuzz::schema(), document.operations.front(), {}, {}, {});
  try {
    const auto settled = graphql::settle(*priced, json::parse({reinterpret_cast<const char*>(data), size}));
    fuzz::demand(settled.fits == settled.why.empty() && settled.units >= 0);
  } catch (const json::Error&) {
  }
  return 0;
}
