#include "graphql/parser.h"

#include <algorithm>
#include <utility>

#include "graphql/lexer.h"
#include "json/json.h"

namespace cranemux::graphql {
namespace {

constexpr std::size_t kSchemaBytes = 4 * 1024 * 1024, kSchemaTokens = 1'000'000;
constexpr std::size_t kGathered = 32;   // room for what is open at once in a usual document
constexpr char kSpread = '.';           // of `...`
constexpr std::size_t kTypeDepth = 12;  // see TypeUse

std::string shown(const Token& token) {
  if (token.kind == TokenKind::end) return "the end of the document";
  if (token.kind == TokenKind::string) return "a string";
  return "'" + std::string(token.text) + "'";
}

// Gathers items on a stack that its nested gatherings share, then lays them down in the arena.
template <typename Item>
class Gathering {
  static_assert(std::is_trivially_destructible_v<Item>);  // the arena destroys nothing

 public:
  explicit Gathering(std::vector<Item>& stack) : stack_(stack), from_(stack.size()) {}
  void add(const Item& item) { stack_.push_back(item); }
  List<Item> lay_down(std::pmr::memory_resource& arena) {
    const auto count = stack_.size() - from_;
    auto* first = static_cast<Item*>(arena.allocate(count * sizeof(Item), alignof(Item)));
    std::uninitialized_copy(stack_.end() - static_cast<std::ptrdiff_t>(count), stack_.end(), first);
    stack_.erase(stack_.end() - static_cast<std::ptrdiff_t>(count), stack_.end());
    return {first, count};
  }

 private:
  std::vector<Item>& stack_;
  const std::size_t from_;
};

class Parser {
 public:
  Parser(Memory& memory, const Limits& limits)
      : arena_(memory.arena), lexer_(memory.text, limits.tokens, memory.resolved), limits_(limits) {
    selections_.reserve(kGathered);
    arguments_.reserve(kGathered);
    step();
  }

  void document(Document& out) {
    if (ends()) wrong("the document is empty");
    while (!ends()) definition(out);
  }

 private:
  // ---- tokens ----
  void step() { now_ = lexer_.next(); }
  bool ends() const { return now_.kind == TokenKind::end; }
  // A punctuator by its first character, which tells it from all others.
  bool is(char p) const { return now_.kind == TokenKind::punctuator && now_.text.front() == p; }
  bool is_name(std::string_view name) const { return now_.kind == TokenKind::name && now_.text == name; }
  bool take(char p) {
    if (!is(p)) return false;
    step();
    return true;
  }
  bool take_name(std::string_view name) {
    if (!is_name(name)) return false;
    step();
    return true;
  }
  [[noreturn]] void wrong(const std::string& what) const {
    throw Error(std::string(kParseFailed), what, now_.at);
  }
  Place expect(char p) {
    const auto at = now_.at;
    if (!take(p)) wrong("'" + std::string(1, p) + "' is missing before " + shown(now_));
    return at;
  }
  std::string_view name(const char* what = "a name") {
    if (now_.kind != TokenKind::name) wrong(std::string(what) + " is missing before " + shown(now_));
    const auto out = now_.text;
    step();
    return out;
  }
  void check(std::size_t depth) const {
    if (depth <= limits_.depth) return;
    throw Error(std::string(kTooDeep),
                "nested more than " + std::to_string(limits_.depth) + " deep: ask for it in parts", now_.at);
  }

  // ---- what both kinds of document share ----
  TypeRef type(std::size_t depth) {
    if (depth > kTypeDepth) wrong("a list of lists of lists, too deep for a type");
    TypeRef out;
    out.at = now_.at;
    if (take('[')) {
      const auto items = type(depth + 1);
      out.items = new (arena_.allocate(sizeof(TypeRef), alignof(TypeRef))) TypeRef(items);
      expect(']');
    } else {
      out.name = name("a type");
    }
    out.required = take('!');
    return out;
  }

  List<Directive> directives(bool constant) {
    if (!is('@')) return {};
    Gathering<Directive> out(directives_);
    while (is('@')) {
      Directive directive;
      directive.at = now_.at;
      step();
      directive.name = name("a directive's name");
      directive.arguments = arguments(constant);
      out.add(directive);
    }
    return out.lay_down(arena_);
  }

  List<Argument> arguments(bool constant) {
    if (!take('(')) return {};
    Gathering<Argument> out(arguments_);
    do {
      Argument argument;
      argument.at = now_.at;
      argument.name = name("an argument");
      expect(':');
      argument.value = value(constant, 1);
      out.add(argument);
    } while (!take(')'));
    return out.lay_down(arena_);
  }

  Value value(bool constant, std::size_t depth) {
    check(depth);
    Value out;
    out.at = now_.at;
    if (is('$')) return variable(constant, out);
    if (take('[')) {
      out.kind = ValueKind::list;
      Gathering<Value> items(values_);
      while (!take(']')) items.add(value(constant, depth + 1));
      out.items = items.lay_down(arena_);
      return out;
    }
    if (take('{')) {
      out.kind = ValueKind::object;
      Gathering<Argument> members(arguments_);
      while (!take('}')) {
        Argument member;
        member.at = now_.at;
        member.name = name("an input field");
        expect(':');
        member.value = value(constant, depth + 1);
        members.add(member);
      }
      out.members = members.lay_down(arena_);
      return out;
    }
    out.text = now_.text;
    switch (now_.kind) {
      case TokenKind::integer:
        out.kind = ValueKind::integer;
        break;
      case TokenKind::real:
        out.kind = ValueKind::real;
        break;
      case TokenKind::string:
        out.kind = ValueKind::string;
        break;
      case TokenKind::name:
        out.kind = now_.text == "true" || now_.text == "false" ? ValueKind::boolean
                   : now_.text == "null"                       ? ValueKind::null
                                                               : ValueKind::enumeration;
        break;
      default:
        wrong("a value is missing before " + shown(now_));
    }
    step();
    return out;
  }

  Value variable(bool constant, Value out) {
    if (constant) wrong("no variable can stand here: write the value itself");
    step();
    out.kind = ValueKind::variable;
    out.text = name("a variable's name");
    return out;
  }

  // ---- executable ----
  void definition(Document& out) {
    if (is('{') || is_name("query") || is_name("mutation") || is_name("subscription")) {
      out.operations.push_back(operation());
    } else if (is_name("fragment")) {
      out.fragments.push_back(fragment());
    } else {
      type_system(out);
    }
  }

  Operation operation() {
    Operation out;
    out.at = now_.at;
    if (!is('{')) {
      const auto kind = name();
      out.kind = kind == "query"      ? OperationKind::query
                 : kind == "mutation" ? OperationKind::mutation
                                      : OperationKind::subscription;
      if (now_.kind == TokenKind::name) out.name = name();
      if (take('(')) {
        do out.variables.push_back(variable_definition());
        while (!take(')'));
      }
      out.directives = directives(false);
    }
    out.selections = selection_set(1);
    return out;
  }

  VariableDefinition variable_definition() {
    VariableDefinition out;
    out.at = expect('$');
    out.name = name("a variable's name");
    expect(':');
    out.type = type(1);
    if (take('=')) out.absent = value(true, 1);
    out.directives = directives(true);
    return out;
  }

  Fragment fragment() {
    Fragment out;
    out.at = now_.at;
    step();
    if (is_name("on")) wrong("a fragment cannot be named 'on': its name is missing");
    out.name = name("a fragment's name");
    if (!take_name("on")) wrong("'on' and a type are missing before " + shown(now_));
    out.condition_at = now_.at;
    out.condition = name("a type");
    out.directives = directives(false);
    out.selections = selection_set(1);
    return out;
  }

  List<Selection> selection_set(std::size_t depth) {
    check(depth);
    expect('{');
    if (is('}')) wrong("a selection cannot be empty: name a field, or leave the braces out");
    Gathering<Selection> out(selections_);
    do {
      out.add(selection(depth));
    } while (!take('}'));
    return out.lay_down(arena_);
  }

  Selection selection(std::size_t depth) {
    Selection out;
    out.at = now_.at;
    if (!take(kSpread)) {
      out.name = name("a field");
      if (take(':')) out.alias = std::exchange(out.name, name("a field"));
      out.arguments = arguments(false);
      out.directives = directives(false);
      if (is('{')) out.selections = selection_set(depth + 1);
      return out;
    }
    if (now_.kind == TokenKind::name && now_.text != "on") {
      out.kind = SelectionKind::spread;
      out.name = name();
      out.directives = directives(false);
      return out;
    }
    out.kind = SelectionKind::inlined;
    if (take_name("on")) out.name = name("a type");
    out.directives = directives(false);
    out.selections = selection_set(depth + 1);
    return out;
  }

  // ---- the schema language ----
  void type_system(Document& out) {
    std::string_view description;
    if (now_.kind == TokenKind::string) {
      description = now_.text;
      step();
      if (is_name("extend")) wrong("an extension has no description: move it to the type's definition");
    }
    const auto at = now_.at;
    const bool extension = take_name("extend");
    const auto keyword = now_;
    const auto word = name("a definition");
    if (word == "schema") {
      out.schemas.push_back(schema(extension, description, at));
    } else if (word == "directive" && !extension) {
      out.directives.push_back(directive_definition(description, at));
    } else {
      out.types.push_back(type_definition(keyword, extension, description, at));
    }
  }

  SchemaDefinition schema(bool extension, std::string_view description, Place at) {
    SchemaDefinition out{extension, description, directives(true), {}, at};
    if (extension && !is('{')) {
      if (out.directives.empty()) wrong("an extension must add something");
      return out;
    }
    expect('{');
    do {
      const auto which = now_;
      const auto kind = name("query, mutation or subscription");
      const auto* found = std::find(std::begin(kOperationNames), std::end(kOperationNames), kind);
      if (found == std::end(kOperationNames)) {
        throw Error(
            std::string(kParseFailed),
            "'" + std::string(kind) + "' is no kind of operation: write query, mutation or subscription",
            which.at);
      }
      expect(':');
      const auto place = now_.at;
      out.roots.emplace_back(static_cast<OperationKind>(found - std::begin(kOperationNames)),
                             Named{name("a type"), place});
    } while (!take('}'));
    return out;
  }

  DirectiveDefinition directive_definition(std::string_view description, Place at) {
    DirectiveDefinition out;
    out.description = description;
    out.at = at;
    expect('@');
    out.name = name("a directive's name");
    out.arguments = input_definitions('(', ')');
    out.repeatable = take_name("repeatable");
    if (!take_name("on")) wrong("'on' and the directive's places are missing before " + shown(now_));
    take('|');
    do out.locations.push_back(named("a place"));
    while (take('|'));
    return out;
  }

  Named named(const char* what) {
    const auto at = now_.at;
    return {name(what), at};
  }

  TypeDefinition type_definition(const Token& keyword, bool extension, std::string_view description,
                                 Place at) {
    constexpr std::string_view kWords[] = {"scalar", "type", "interface", "union", "enum", "input"};
    const auto* found = std::find(std::begin(kWords), std::end(kWords), keyword.text);
    if (found == std::end(kWords)) {
      throw Error(std::string(kParseFailed), "'" + std::string(keyword.text) + "' begins no definition",
                  keyword.at);
    }
    TypeDefinition out;
    out.kind = static_cast<TypeKind>(found - std::begin(kWords));
    out.extension = extension;
    out.description = description;
    out.at = at;
    out.name = name("a type's name");
    if (out.kind == TypeKind::object || out.kind == TypeKind::interface) out.interfaces = implements();
    out.directives = directives(true);
    body(out);
    if (extension && out.interfaces.empty() && out.directives.empty() && out.fields.empty() &&
        out.members.empty() && out.inputs.empty() && out.values.empty()) {
      wrong("an extension must add something");
    }
    return out;
  }

  void body(TypeDefinition& out) {
    switch (out.kind) {
      case TypeKind::scalar:
        break;
      case TypeKind::object:
      case TypeKind::interface:
        out.fields = field_definitions();
        break;
      case TypeKind::union_of:
        if (!take('=')) break;
        take('|');
        do out.members.push_back(named("a type"));
        while (take('|'));
        break;
      case TypeKind::enumeration:
        out.values = enum_values();
        break;
      case TypeKind::input:
        out.inputs = input_definitions('{', '}');
        break;
    }
  }

  std::vector<Named> implements() {
    std::vector<Named> out;
    if (!take_name("implements")) return out;
    take('&');
    do out.push_back(named("an interface"));
    while (take('&'));
    return out;
  }

  std::string_view description() {
    if (now_.kind != TokenKind::string) return {};
    const auto out = now_.text;
    step();
    return out;
  }

  std::vector<FieldDefinition> field_definitions() {
    std::vector<FieldDefinition> out;
    if (!take('{')) return out;
    do {
      FieldDefinition field;
      field.description = description();
      field.at = now_.at;
      field.name = name("a field");
      field.arguments = input_definitions('(', ')');
      expect(':');
      field.type = type(1);
      field.directives = directives(true);
      out.push_back(std::move(field));
    } while (!take('}'));
    return out;
  }

  std::vector<InputDefinition> input_definitions(char open, char close) {
    std::vector<InputDefinition> out;
    if (!take(open)) return out;
    do {
      InputDefinition input;
      input.description = description();
      input.at = now_.at;
      input.name = name("an input's name");
      expect(':');
      input.type = type(1);
      if (take('=')) input.absent = value(true, 1);
      input.directives = directives(true);
      out.push_back(std::move(input));
    } while (!take(close));
    return out;
  }

  std::vector<EnumValueDefinition> enum_values() {
    std::vector<EnumValueDefinition> out;
    if (!take('{')) return out;
    do {
      EnumValueDefinition value;
      value.description = description();
      value.at = now_.at;
      if (is_name("true") || is_name("false") || is_name("null")) {
        wrong("an enum cannot have the value " + shown(now_));
      }
      value.name = name("an enum value");
      value.directives = directives(true);
      out.push_back(std::move(value));
    } while (!take('}'));
    return out;
  }

  std::pmr::memory_resource& arena_;
  Lexer lexer_;
  const Limits& limits_;
  Token now_;
  std::vector<Selection> selections_;
  std::vector<Directive> directives_;
  std::vector<Argument> arguments_;
  std::vector<Value> values_;
};

Document read(std::string text, const Limits& limits) {
  if (text.size() > limits.bytes) {
    throw Error(std::string(kTooLarge), "longer than " + std::to_string(limits.bytes) + " bytes");
  }
  const auto memory = std::make_shared<Memory>(std::move(text));
  Document out;
  out.memory = memory;
  Parser(*memory, limits).document(out);
  return out;
}

}  // namespace

Document parse(std::string text, const Limits& limits) { return read(std::move(text), limits); }

Document parse_schema(std::string text) {
  Limits limits;
  limits.bytes = kSchemaBytes;
  limits.tokens = kSchemaTokens;
  return read(std::move(text), limits);
}

std::string to_text(const TypeRef& type) {
  return (type.items ? "[" + to_text(*type.items) + "]" : std::string(type.name)) +
         (type.required ? "!" : "");
}

std::string to_text(const Value& value) {
  std::string out;
  switch (value.kind) {
    case ValueKind::variable:
      return "$" + std::string(value.text);
    case ValueKind::string:
      json::write_string(out, value.text);  // a string of JSON is one of GraphQL
      return out;
    case ValueKind::null:
      return "null";
    case ValueKind::list:
      for (const auto& item : value.items) out += (out.empty() ? "" : ", ") + to_text(item);
      return "[" + out + "]";
    case ValueKind::object:
      for (const auto& member : value.members) {
        out += (out.empty() ? "" : ", ") + std::string(member.name) + ": " + to_text(member.value);
      }
      return "{" + out + "}";
    default:
      return std::string(value.text);
  }
}

}  // namespace cranemux::graphql
