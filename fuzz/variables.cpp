// Any bytes as the variables of an operation that declares one of each kind. What was coerced must fit as it
// is.
#include "graphql/parser.h"
#include "graphql/values.h"
#include "target.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cranemux;
  static const auto document = graphql::parse(
      "query($i:Int $f:Float $s:String $b:Boolean $d:ID $e:State $l:[[Int]] $p:PointInput $j:JobFilter "
      "$k:[Booking!] $x:Blob){now}");
  const auto& operation = document.operations.front();
  const auto coerce = [&](const json::Value& told) {
    json::Object members;
    for (auto& [name, value] : graphql::coerce_variables(fuzz::schema(), operation, &told)) {
      members.emplace_back(name, value);
    }
    json::Value out;
    out.data = std::move(members);
    return out;
  };
  try {
    const auto told = json::parse({reinterpret_cast<const char*>(data), size});
    const auto once = coerce(told);
    fuzz::demand(coerce(once) == once);
    std::string text;
    json::write(text, once);
    fuzz::demand(json::parse(text) == once);
  } catch (const json::Error&) {
  } catch (const graphql::Error&) {
  }
  return 0;
}
