// Values as written, checked against types and coerced (sections 5.6 and 6.1.2).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "graphql/schema.h"
#include "json/json.h"

namespace cranemux::graphql {

// Which rule a literal breaks. `shape` is "Values of Correct Type"; the others have rules of their own.
enum class ValueFault : std::uint8_t { shape, unknown_field, double_field, missing_field };
using ValueReport = std::function<void(ValueFault, Place, const std::string&)>;
// Variables in it fit, as far as this is concerned: whether they do is another rule's matter.
void check_literal(const Value& value, const TypeUse& type, const ValueReport& report);
// True if it holds no variable and fits.
bool literal_fits(const Value& value, const TypeUse& type);

// By name, as told or by default.
using Variables = std::map<std::string, json::Value, std::less<>>;

// What a client told for variables, coerced: lists of one, Int as Float or ID, defaults of input fields put
// in. Throws Error with BAD_USER_INPUT, which names the variable and the place in it.
Variables coerce_variables(const Schema& schema, const Operation& operation, const json::Value* told);
// The same where no schema is known: only the types that every schema has are checked.
Variables coerce_variables(const Operation& operation, const json::Value* told);

// A literal with its variables put in; nothing where a variable has no value.
std::optional<json::Value> resolve(const Value& value, const Variables& variables);
// An argument's value: as written, else its default; nothing where it is left out.
std::optional<json::Value> argument_value(const Input& input, const List<Argument>& written,
                                          const Variables& variables);

// By @skip and @include, of a valid document.
bool is_taken(const List<Directive>& directives, const Variables& variables);

// The name among these that was probably meant, as ` (did you mean X?)`, or nothing.
template <typename Names>
std::string did_you_mean(std::string_view word, const Names& names);
bool alike(std::string_view a, std::string_view b);  // one small slip apart

template <typename Names>
std::string did_you_mean(std::string_view word, const Names& names) {
  for (const auto& item : names) {
    if (alike(word, item.name)) return "; did you mean '" + std::string(item.name) + "'?";
  }
  return {};
}

}  // namespace cranemux::graphql
