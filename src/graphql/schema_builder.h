// Makes a Schema of its documents, and checks it (section 3). All faults are gathered; the first ones count
// most.
#pragma once

#include <functional>

#include "graphql/schema.h"
#include "graphql/values.h"

namespace cranemux::graphql {

class SchemaBuilder {
 public:
  explicit SchemaBuilder(Schema& schema) : schema_(schema) {}
  // Throws SchemaError. `booking_fields` as for Schema.
  void build(std::string text, const std::vector<std::string>& booking_fields);

 private:
  // ---- schema_builder.cpp: from documents to types ----
  void read(std::string text, bool built_in);
  void declare(const Document& document, bool built_in);
  void declare_type(const TypeDefinition& definition, bool built_in);
  void fill(const Document& document);
  void fill_type(Type& type, const TypeDefinition& definition);
  void add_field(Type& type, const FieldDefinition& definition);
  void add_input(std::vector<Input>& into, const InputDefinition& definition, const std::string& what);
  void add_directive(const DirectiveDefinition& definition, bool built_in);
  void set_roots();
  void set_possible();
  void mark_named_bookings(const std::vector<std::string>& names);
  void share_bookings();
  void set_meta_fields();
  std::optional<TypeUse> use_of(const TypeRef& ref, const std::string& what);
  std::optional<std::string_view> deprecated(const List<Directive>& directives) const;
  std::optional<double> weight(const List<Directive>& directives);
  std::optional<ListSize> list_size(const List<Directive>& directives);

  // ---- schema_check.cpp: section 3 ----
  void check();
  void check_name(std::string_view name, Place at, const char* what);
  void check_type(const Type& type);
  void check_object(const Type& type);
  void check_interfaces(const Type& type);
  void check_implements(const Type& type, const Type& interface);
  void check_field_of(const Type& type, const Type& interface, const Field& wanted);
  void check_inputs(const std::vector<Input>& inputs, const std::string& what, bool of_object);
  void check_input_cycles();
  bool find_cycle(const Type& type, std::map<const Type*, int>& state);
  void check_directives(const List<Directive>& directives, std::string_view location);
  void check_used_directives(const Document& document);
  void check_used_inputs(const std::vector<InputDefinition>& inputs, std::string_view location);
  void check_directive_definition(const DirectiveUse& directive);
  void check_costs(const Type& type);
  void check_list_size(const Type& type, const Field& field);

  void fault(Place at, const std::string& text);

  Schema& schema_;
  std::vector<SchemaFault> faults_;
  std::map<std::string_view, std::vector<const TypeDefinition*>> definitions_;
  std::vector<const SchemaDefinition*> roots_;
  std::map<std::string_view, Place> directive_at_;
};

}  // namespace cranemux::graphql
