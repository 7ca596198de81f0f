// What runs have measured, as CSV: a row a figure. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cranemux::scale {

// Columns, in this order. `run` names the measurement, `kind` what was played (hollow, process, parts).
inline constexpr std::string_view kHeader =
    "commit,seed,kind,run,gatekeepers,workers,services,customers,routes,requests_per_s,measure,unit,value";

struct Row {
  std::string commit;
  std::uint64_t seed = 0;
  std::string kind, run;
  double gatekeepers = 0, workers = 0, services = 0, customers = 0, routes = 0, requests_per_s = 0;
  std::string measure, unit;
  double value = 0;
};

std::string line_of(const Row& row);
// Throws std::runtime_error naming `file`, line and column for whatever is no row, and for a file that is cut
// short: the last line is `# end, ROWS rows`.
std::vector<Row> read_rows(const std::string& file, std::string_view text);
std::string write_rows(const std::vector<Row>& rows);

}  // namespace cranemux::scale
