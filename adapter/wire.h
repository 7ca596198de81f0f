// The simulator's wire protocol: reads text lines as events for decision modules and writes their actions as
// text lines. Makes no decisions of its own.
//
// A line is a name followed by fields, NAME FIELD=VALUE ..., separated by single spaces. A batch is a `turn`
// line with the clock time, then lines that select a gateway (`instance`), define server lists (`inventory`
// and its `m` lines), create or destroy gateways or bring events, and ends with `commit`. The reply has, for
// each gateway with actions or an error, a `context` line and a line for each of them, and ends with
// `finished`. Fields that are not known are ignored.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "cranemux/decision_module.h"

namespace cranemux::wire {

using config::Fields;
using config::parse_settings;
using config::ParseError;  // thrown for a line that cannot be read; what() names the fault

// Reads the fields of a line, without its name. Throws ParseError if one has no `=`.
Fields parse_fields(std::string_view rest);
// Base64 with padding (RFC 4648); no bytes are written as `-`.
std::string encode_base64(std::string_view bytes);
// Reverses encode_base64. Throws ParseError if the text is malformed.
std::string decode_base64(std::string_view text);
// Returns the line of an action, without the line feed.
std::string format_action(const Action& action);

// Reads batches from `in` until it ends and writes the reply to each, flushed, to `out`. An exception of a
// module is reported in the reply (`die`). Throws ParseError, with the line, at the first line that cannot be
// read.
void serve(std::istream& in, std::ostream& out);

}  // namespace cranemux::wire
