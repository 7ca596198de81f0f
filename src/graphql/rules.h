// The rules that an executable document must keep (specification of October 2021, section 5), by its names.
#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graphql/ast.h"

namespace cranemux::graphql {

enum class Rule : std::uint8_t {
  executable_definitions,
  operation_name_uniqueness,
  lone_anonymous_operation,
  single_root_field,
  field_selections,
  field_selection_merging,
  leaf_field_selections,
  argument_names,
  argument_uniqueness,
  required_arguments,
  fragment_name_uniqueness,
  fragment_spread_type_existence,
  fragments_on_composite_types,
  fragments_must_be_used,
  fragment_spread_target_defined,
  fragment_spreads_must_not_form_cycles,
  fragment_spread_is_possible,
  values_of_correct_type,
  input_object_field_names,
  input_object_field_uniqueness,
  input_object_required_fields,
  directives_are_defined,
  directives_are_in_valid_locations,
  directives_are_unique_per_location,
  variable_uniqueness,
  variables_are_input_types,
  all_variable_uses_defined,
  all_variables_used,
  all_variable_usages_are_allowed,
};
constexpr std::size_t kRules = 29;

struct RuleName {
  std::string_view section, name;
};
constexpr RuleName kRuleNames[kRules] = {
    {"5.1.1", "Executable Definitions"},
    {"5.2.1.1", "Operation Name Uniqueness"},
    {"5.2.2.1", "Lone Anonymous Operation"},
    {"5.2.3.1", "Single Root Field"},
    {"5.3.1", "Field Selections"},
    {"5.3.2", "Field Selection Merging"},
    {"5.3.3", "Leaf Field Selections"},
    {"5.4.1", "Argument Names"},
    {"5.4.2", "Argument Uniqueness"},
    {"5.4.2.1", "Required Arguments"},
    {"5.5.1.1", "Fragment Name Uniqueness"},
    {"5.5.1.2", "Fragment Spread Type Existence"},
    {"5.5.1.3", "Fragments On Composite Types"},
    {"5.5.1.4", "Fragments Must Be Used"},
    {"5.5.2.1", "Fragment Spread Target Defined"},
    {"5.5.2.2", "Fragment Spreads Must Not Form Cycles"},
    {"5.5.2.3", "Fragment Spread Is Possible"},
    {"5.6.1", "Values of Correct Type"},
    {"5.6.2", "Input Object Field Names"},
    {"5.6.3", "Input Object Field Uniqueness"},
    {"5.6.4", "Input Object Required Fields"},
    {"5.7.1", "Directives Are Defined"},
    {"5.7.2", "Directives Are In Valid Locations"},
    {"5.7.3", "Directives Are Unique Per Location"},
    {"5.8.1", "Variable Uniqueness"},
    {"5.8.2", "Variables Are Input Types"},
    {"5.8.3", "All Variable Uses Defined"},
    {"5.8.4", "All Variables Used"},
    {"5.8.5", "All Variable Usages Are Allowed"},
};
constexpr std::string_view name_of(Rule rule) { return kRuleNames[static_cast<std::size_t>(rule)].name; }
std::optional<Rule> rule_named(std::string_view name);

using RuleSet = std::bitset<kRules>;  // those that are left out, by tests of the tests only

struct Fault {
  Rule rule;
  std::vector<Place> at;
  std::string text;  // says what to write instead where that is known
};

}  // namespace cranemux::graphql
