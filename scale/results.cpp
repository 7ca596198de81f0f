#include "scale/results.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <stdexcept>
#include <utility>

namespace cranemux::scale {
namespace {

// Takes what stands before the next mark off `rest`, and the mark.
std::string_view cut(std::string_view& rest, char mark) {
  const auto end = std::min(rest.find(mark), rest.size());
  const auto out = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return out;
}

[[noreturn]] void refuse(const std::string& where, const std::string& what) {
  throw std::runtime_error(where + ": " + what + "; run scale/run again");
}

// One line, field by field, in the order of kHeader.
class LineReader {
 public:
  LineReader(std::string where, std::string_view line) : where_(std::move(where)), rest_(line) {
    const auto commas = [](std::string_view text) { return std::count(text.begin(), text.end(), ','); };
    const auto has = commas(line) + 1, needs = commas(kHeader) + 1;
    if (has != needs)
      refuse(where_, "has " + std::to_string(has) + " fields, not the header's " + std::to_string(needs));
  }

  void read(std::string& out) { out = take(); }

  template <class Number>
  void read(Number& out) {
    const auto text = take();
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(static_cast<double>(out)))
      refuse(where_ + ": " + std::string(column_), '"' + std::string(text) + "\" is no number");
  }

 private:
  std::string_view take() {
    column_ = cut(columns_, ',');
    return cut(rest_, ',');
  }

  const std::string where_;
  std::string_view rest_, columns_ = kHeader, column_;
};

class LineWriter {
 public:
  void write(const std::string& text) {
    if (text.find_first_of(",\r\n") != std::string::npos)
      throw std::invalid_argument("no comma or line end may stand in a field of a result: \"" + text + '"');
    add(text);
  }

  template <class Number>
  void write(Number value) {
    if (!std::isfinite(static_cast<double>(value)))
      throw std::invalid_argument("a result must be a finite number");
    char text[32];
    add({text, std::to_chars(text, text + sizeof text, value).ptr});
  }

  std::string line;

 private:
  void add(std::string_view text) {
    if (!first_) line += ',';
    first_ = false;
    line += text;
  }

  bool first_ = true;
};

// The columns in the order of kHeader.
void each_field(auto& row, const auto& visit) {
  visit(row.commit);
  visit(row.seed);
  visit(row.kind);
  visit(row.run);
  for (auto* size : {&row.gatekeepers, &row.workers, &row.services, &row.customers, &row.routes})
    visit(*size);
  visit(row.requests_per_s);
  visit(row.measure);
  visit(row.unit);
  visit(row.value);
}

std::string last_line(std::size_t rows) { return "# end, " + std::to_string(rows) + " rows"; }

}  // namespace

std::string line_of(const Row& row) {
  LineWriter out;
  each_field(row, [&](const auto& field) { out.write(field); });
  return std::move(out.line);
}

std::vector<Row> read_rows(const std::string& file, std::string_view text) {
  std::vector<Row> rows;
  const auto whole = !text.empty() && text.back() == '\n';
  for (int number = 1;; ++number) {
    const auto where = file + ":" + std::to_string(number);
    const auto line = cut(text, '\n');
    if (number == 1) {
      if (line != kHeader) refuse(where, "the header must be `" + std::string(kHeader) + "`");
      continue;
    }
    const auto end = last_line(rows.size());
    if (text.empty() && (line != end || !whole))
      refuse(where, "the file is cut short: its last line must be `" + end + "`");
    if (text.empty()) return rows;
    LineReader in(where, line);
    each_field(rows.emplace_back(), [&](auto& field) { in.read(field); });
  }
}

std::string write_rows(const std::vector<Row>& rows) {
  auto out = std::string(kHeader) + "\n";
  for (const auto& row : rows) out += line_of(row) + "\n";
  return out + last_line(rows.size()) + "\n";
}

}  // namespace cranemux::scale
