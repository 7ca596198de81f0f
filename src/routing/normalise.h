// What a request is routed by, in one form: the host and the path as RFC 3986 (6.2.2) and RFC 9112 (3.2) have
// them. What two readers could take for different things is rejected, so no rule can be dodged by spelling.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cranemux::routing {

enum class Fault {
  none,
  no_host,        // RFC 9112 wants exactly one
  two_hosts,      // more than one field, or a target that names another host than the field
  bad_host,       // empty labels, user names, escapes, a port that is none
  bad_target,     // neither `/path` nor `http://host/path`
  bad_escape,     // `%` without two hex digits
  encoded_slash,  // %2F, %5C or a backslash: a separator to some readers only
  control,        // %00 to %1F, %7F and what is not ASCII
  bad_segment,    // `..;x`: a dot segment to some readers only
};
constexpr std::size_t kFaults = 9;
std::string_view name_of(Fault fault);

struct Normalised {
  Fault fault = Fault::none;
  std::string host;   // lower case, without port and trailing dot
  std::string path;   // begins with `/`; no empty and no dot segments; escapes in capitals, only where needed
  std::string query;  // as it came, with its `?`; empty where there is none
};

// `hosts`: the values of all Host fields, in order.
Normalised normalise(std::string_view target, const std::vector<std::string_view>& hosts);

// The parts, also for what a configuration names. Return the fault, and leave `out` as it was then.
Fault normalise_host(std::string_view text, std::string& out);
Fault normalise_path(std::string_view text, std::string& out);

}  // namespace cranemux::routing
