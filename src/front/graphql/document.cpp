#include "front/graphql/document.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cranemux::graphql {
namespace {

[[noreturn]] void wrong(const std::string& what) { throw Error("GRAPHQL_PARSE_FAILED", what); }
[[noreturn]] void invalid(const std::string& what) { throw Error("GRAPHQL_VALIDATION_FAILED", what); }

bool name_start(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool name_part(char c) { return name_start(c) || (c >= '0' && c <= '9'); }

struct Token {
  enum class Kind { end, punctuator, name, integer, real, string } kind = Kind::end;
  std::string text;
};

class Lexer {
 public:
  Lexer(std::string_view text, std::size_t most) : text_(text), most_(most) {}

  Token next() {
    skip();
    if (at_ >= text_.size()) return {};
    if (++count_ > most_) throw Error("QUERY_TOO_LARGE", "the document has too many tokens");
    const char c = text_[at_];
    if (name_start(c)) {
      const auto start = at_;
      while (at_ < text_.size() && name_part(text_[at_])) ++at_;
      return {Token::Kind::name, std::string(text_.substr(start, at_ - start))};
    }
    if (c == '-' || (c >= '0' && c <= '9')) return number();
    if (c == '"') return text_.substr(at_, 3) == R"(""")" ? block() : quoted();
    if (text_.substr(at_, 3) == "...") {
      at_ += 3;
      return {Token::Kind::punctuator, "..."};
    }
    if (std::string_view("!$&()=:@[]{}|").find(c) == std::string_view::npos) {
      wrong("unexpected character at byte " + std::to_string(at_));
    }
    ++at_;
    return {Token::Kind::punctuator, std::string(1, c)};
  }

 private:
  void skip() {
    while (at_ < text_.size()) {
      const char c = text_[at_];
      if (c == '#') {
        while (at_ < text_.size() && text_[at_] != '\n' && text_[at_] != '\r') ++at_;
      } else if (c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == ',') {
        ++at_;
      } else if (text_.substr(at_, 3) == "\xEF\xBB\xBF") {
        at_ += 3;
      } else {
        return;
      }
    }
  }

  Token number() {
    const auto start = at_;
    const auto digits = [&] {
      const auto first = at_;
      while (at_ < text_.size() && text_[at_] >= '0' && text_[at_] <= '9') ++at_;
      if (first == at_) wrong("a damaged number at byte " + std::to_string(first));
    };
    const auto here = [&](std::string_view any) {
      return at_ < text_.size() && any.find(text_[at_]) != std::string_view::npos;
    };
    bool real = false;
    if (here("-")) ++at_;
    const auto first = at_;
    digits();
    if (text_[first] == '0' && at_ - first > 1) wrong("a number starts with 0");
    if (here(".")) {
      real = true;
      ++at_;
      digits();
    }
    if (here("eE")) {
      real = true;
      ++at_;
      if (here("+-")) ++at_;
      digits();
    }
    if (at_ < text_.size() && (name_start(text_[at_]) || text_[at_] == '.')) wrong("a damaged number");
    return {real ? Token::Kind::real : Token::Kind::integer, std::string(text_.substr(start, at_ - start))};
  }

  Token quoted() {
    auto end = at_ + 1;
    while (end < text_.size() && text_[end] != '"' && text_[end] != '\n') end += text_[end] == '\\' ? 2 : 1;
    if (end >= text_.size() || text_[end] != '"') wrong("a string does not end");
    const auto raw = text_.substr(at_, end + 1 - at_);
    at_ = end + 1;
    try {  // its escapes are JSON's
      return {Token::Kind::string, *json::parse(raw).string()};
    } catch (const json::Error&) {
      wrong("a damaged string");
    }
  }

  Token block() {
    const auto start = at_ + 3;
    auto end = text_.find(R"(""")", start);
    while (end != std::string_view::npos && text_[end - 1] == '\\') end = text_.find(R"(""")", end + 3);
    if (end == std::string_view::npos) wrong("a block string does not end");
    at_ = end + 3;
    return {Token::Kind::string, std::string(text_.substr(start, end - start))};
  }

  std::string_view text_;
  std::size_t most_, at_ = 0, count_ = 0;
};

class Parser {
 public:
  Parser(std::string_view text, const Limits& limits) : lexer_(text, limits.tokens), limits_(limits) {
    step();
  }

  Document document() {
    Document document;
    while (now_.kind != Token::Kind::end) {
      if (is("{")) {
        Operation operation;
        operation.selections = selection_set(1);
        document.operations.push_back(std::move(operation));
      } else if (now_.kind == Token::Kind::name && now_.text == "fragment") {
        step();
        const auto name = take_name();
        if (name == "on") wrong("a fragment cannot be named on");
        if (take_name() != "on") wrong("'on' expected");
        Fragment fragment;
        fragment.condition = take_name();
        fragment.directives = directives();
        fragment.selections = selection_set(1);
        if (!document.fragments.emplace(name, std::move(fragment)).second) {
          invalid("two fragments are named " + name);
        }
      } else {
        document.operations.push_back(operation());
      }
    }
    if (document.operations.empty()) wrong("the document holds no operation");
    return document;
  }

 private:
  void step() { now_ = lexer_.next(); }
  bool is(std::string_view p) const { return now_.kind == Token::Kind::punctuator && now_.text == p; }
  bool take(std::string_view p) {
    if (!is(p)) return false;
    step();
    return true;
  }
  void expect(std::string_view p) {
    if (!take(p)) wrong("'" + std::string(p) + "' expected before '" + now_.text + "'");
  }
  std::string take_name() {
    if (now_.kind != Token::Kind::name) wrong("a name expected before '" + now_.text + "'");
    auto name = std::move(now_.text);
    step();
    return name;
  }
  void check(std::size_t depth) const {
    if (depth > limits_.depth) throw Error("QUERY_TOO_DEEP", "the document is nested too deeply");
  }

  Operation operation() {
    Operation operation;
    operation.type = take_name();
    if (operation.type != "query" && operation.type != "mutation" && operation.type != "subscription") {
      wrong("unexpected '" + operation.type + "'");
    }
    if (now_.kind == Token::Kind::name) operation.name = take_name();
    if (take("(")) {
      do {
        Variable variable;
        expect("$");
        variable.name = take_name();
        expect(":");
        variable.type = type(1);
        if (take("=")) variable.absent = literal(true, 1);
        directives();
        operation.variables.push_back(std::move(variable));
      } while (!take(")"));
    }
    operation.directives = directives();
    operation.selections = selection_set(1);
    return operation;
  }

  Type type(std::size_t depth) {
    check(depth);
    Type type;
    if (take("[")) {
      type.items = std::make_shared<Type>(this->type(depth + 1));
      expect("]");
    } else {
      type.name = take_name();
    }
    type.required = take("!");
    return type;
  }

  std::vector<Directive> directives() {
    std::vector<Directive> out;
    while (take("@")) {
      Directive directive;
      directive.name = take_name();
      directive.arguments = arguments();
      out.push_back(std::move(directive));
    }
    return out;
  }

  std::vector<Argument> arguments() {
    std::vector<Argument> out;
    if (!take("(")) return out;
    do {
      Argument argument;
      argument.name = take_name();
      expect(":");
      argument.value = literal(false, 1);
      for (const auto& other : out) {
        if (other.name == argument.name) invalid("two arguments are named " + other.name);
      }
      out.push_back(std::move(argument));
    } while (!take(")"));
    return out;
  }

  Literal literal(bool constant, std::size_t depth) {
    check(depth);
    Literal value;
    if (take("$")) {
      if (constant) wrong("a default cannot hold a variable");
      value.kind = Literal::Kind::variable;
      value.variable = take_name();
    } else if (take("[")) {
      value.kind = Literal::Kind::list;
      while (!take("]")) value.items.push_back(literal(constant, depth + 1));
    } else if (take("{")) {
      value.kind = Literal::Kind::object;
      while (!take("}")) {
        Argument member;
        member.name = take_name();
        expect(":");
        member.value = literal(constant, depth + 1);
        value.members.push_back(std::move(member));
      }
    } else {
      if (now_.kind == Token::Kind::integer || now_.kind == Token::Kind::real) {
        value.scalar.data = json::Number{now_.text};
      } else if (now_.kind == Token::Kind::name && (now_.text == "true" || now_.text == "false")) {
        value.scalar.data = now_.text == "true";
      } else if (now_.kind == Token::Kind::string ||
                 (now_.kind == Token::Kind::name && now_.text != "null")) {
        value.scalar.data = now_.text;
      } else if (now_.kind != Token::Kind::name) {
        wrong("a value expected before '" + now_.text + "'");
      }
      step();
    }
    return value;
  }

  std::vector<Selection> selection_set(std::size_t depth) {
    check(depth);
    expect("{");
    std::vector<Selection> out;
    do {
      Selection selection;
      if (take("...")) {
        if (now_.kind == Token::Kind::name && now_.text != "on") {
          selection.kind = Selection::Kind::spread;
          selection.name = take_name();
          selection.directives = directives();
        } else {
          selection.kind = Selection::Kind::inlined;
          if (now_.kind == Token::Kind::name) {
            step();
            selection.name = take_name();
          }
          selection.directives = directives();
          selection.selections = selection_set(depth + 1);
        }
      } else {
        selection.name = take_name();
        if (take(":")) selection.alias = std::exchange(selection.name, take_name());
        selection.arguments = arguments();
        selection.directives = directives();
        if (is("{")) selection.selections = selection_set(depth + 1);
      }
      out.push_back(std::move(selection));
    } while (!take("}"));
    return out;
  }

  Lexer lexer_;
  const Limits& limits_;
  Token now_;
};

bool fits(const json::Value& value, const Type& type) {
  if (value.is_null()) return !type.required;
  if (type.items) {
    const auto* list = value.array();
    if (!list) return fits(value, *type.items);  // one value stands for a list of one
    return std::all_of(list->begin(), list->end(), [&](const auto& v) { return fits(v, *type.items); });
  }
  const auto whole = [&] {
    const double v = value.as_double(0.5);
    return value.number() && std::floor(v) == v && std::abs(v) <= 2147483648.0;
  };
  if (type.name == "Int") return whole();
  if (type.name == "Float") return value.number() != nullptr;
  if (type.name == "Boolean") return value.boolean() != nullptr;
  if (type.name == "String") return value.string() != nullptr;
  if (type.name == "ID") return value.string() != nullptr || whole();
  return true;  // of the servers' schema: theirs to check
}

}  // namespace

Document parse(std::string_view text, const Limits& limits) {
  if (text.size() > limits.bytes) throw Error("QUERY_TOO_LARGE", "the document is too long");
  return Parser(text, limits).document();
}

const Operation& pick(const Document& document, const std::string& name) {
  const auto& all = document.operations;
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (all[i].name.empty() && all.size() > 1) invalid("an operation without a name must be alone");
    for (std::size_t j = 0; j < i; ++j) {
      if (all[i].name == all[j].name) invalid("two operations are named " + all[i].name);
    }
  }
  if (name.empty()) {
    if (all.size() > 1) throw Error("OPERATION_NOT_FOUND", "operationName must pick one of the operations");
    return all.front();
  }
  for (const auto& operation : all) {
    if (operation.name == name) return operation;
  }
  throw Error("OPERATION_NOT_FOUND", "no operation is named " + name);
}

Variables coerce(const Operation& operation, const json::Value* told) {
  Variables out;
  if (told && !told->is_null() && !told->object())
    throw Error("BAD_USER_INPUT", "variables must be an object");
  for (const auto& variable : operation.variables) {
    const auto* value = told ? told->find(variable.name) : nullptr;
    const auto what = "variable $" + variable.name;
    if (out.count(variable.name) > 0) invalid(what + " is declared twice");
    if (value) {
      if (!fits(*value, variable.type)) throw Error("BAD_USER_INPUT", what + " does not fit its type");
      out[variable.name] = *value;
    } else if (variable.absent) {
      out[variable.name] = *resolve(*variable.absent, {});
      if (!fits(out[variable.name], variable.type)) invalid(what + " has a default that does not fit");
    } else if (variable.type.required) {
      throw Error("BAD_USER_INPUT", what + " needs a value");
    }
  }
  return out;
}

std::optional<json::Value> resolve(const Literal& literal, const Variables& variables) {
  json::Value out;
  if (literal.kind == Literal::Kind::variable) {
    const auto found = variables.find(literal.variable);
    if (found == variables.end()) return std::nullopt;
    return found->second;
  }
  if (literal.kind == Literal::Kind::list) {
    json::Array items;
    for (const auto& item : literal.items) items.push_back(resolve(item, variables).value_or(json::Value{}));
    out.data = std::move(items);
  } else if (literal.kind == Literal::Kind::object) {
    json::Object members;
    for (const auto& member : literal.members) {
      if (auto value = resolve(member.value, variables)) members.emplace_back(member.name, std::move(*value));
    }
    out.data = std::move(members);
  } else {
    out = literal.scalar;
  }
  return out;
}

}  // namespace cranemux::graphql
