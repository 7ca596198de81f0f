// Slopes: how measures grow with one size, as fitted to results, and whether a page states them as measured.
// Free of I/O.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "scale/results.h"

namespace cranemux::scale {

// What to fit: a measure of one run against a size, or, where `against` is empty, its mean alone (a figure).
struct Slope {
  std::string name;
  std::string measure, run, kind, unit;  // of the rows that count; a unit of its own is the slope's to state
  std::string against;
  std::map<std::string, double> where;  // size column: the value it must have
  std::string text;
};

struct Fit {
  Slope slope;
  std::size_t rows = 0, points = 0;  // points: distinct sizes, each the mean over its seeds
  double value = 0;                  // b of value = a + b x, or the mean
  double error = 0;                  // standard error of b, or the standard deviation of the rows
  double at_zero = 0;                // a
  double r2 = 1;
  double off = 0;  // largest residual, as a part of the point's value
  double least_x = 0, most_x = 0;
};

// Reads `slopes:`, a list of maps with the keys of Slope. Throws std::runtime_error with a line
// `FILE:LINE:COLUMN: KEY: what is wrong` for each fault.
std::vector<Slope> read_slopes(const std::string& file, const std::string& text);

// Throws std::runtime_error `NAME: what is missing` where rows are too few for it.
Fit fit(const Slope& slope, const std::vector<Row>& rows);
// All of them; what it throws has a line for each that can't be fitted.
std::vector<Fit> fit_all(const std::vector<Slope>& slopes, const std::vector<Row>& rows);

// A Markdown table, a line a fit.
std::string describe(const std::vector<Fit>& fits);

// A page mentions slopes in code spans `{name = VALUE ± ERROR UNIT}` (or +-), fenced code aside. A line for
// each fault: a mention that is no such span, has no definition or no fit, another unit, is off by more than
// its error, or whose error is above half of its value; and each slope that the page does not mention.
std::vector<std::string> check_page(const std::string& file, std::string_view text,
                                    const std::vector<Slope>& slopes, const std::vector<Row>& rows);

}  // namespace cranemux::scale
