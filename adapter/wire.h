// The simulator's wire: text lines to events, actions to text lines. Decides nothing.
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
using config::ParseError;  // of a line that cannot be read; what() names it

Fields parse_fields(std::string_view rest);
std::string encode_base64(std::string_view bytes);
std::string decode_base64(std::string_view text);  // throws ParseError
std::string format_action(const Action& action);   // one line, without its end

// Reads batches from `in` until it ends and writes a reply to each. Throws ParseError.
void serve(std::istream& in, std::ostream& out);

}  // namespace cranemux::wire
