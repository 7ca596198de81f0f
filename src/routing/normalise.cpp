#include "routing/normalise.h"

#include <algorithm>

namespace cranemux::routing {
namespace {

constexpr std::size_t kMostHost = 253, kMostLabel = 63;  // RFC 1035, 2.3.4

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
bool digit(char c) { return c >= '0' && c <= '9'; }
bool alpha(char c) { return lower(c) >= 'a' && lower(c) <= 'z'; }

int hex(char c) {
  if (digit(c)) return c - '0';
  const char small = lower(c);
  return small >= 'a' && small <= 'f' ? small - 'a' + 10 : -1;
}

bool unreserved(char c) {  // RFC 3986, 2.3
  return alpha(c) || digit(c) || c == '-' || c == '.' || c == '_' || c == '~';
}

bool good_port(std::string_view text) {
  if (text.size() > 5 || !std::all_of(text.begin(), text.end(), digit)) return false;
  int port = 0;
  for (const char c : text) port = port * 10 + (c - '0');
  return port <= 65'535;
}

bool good_label(std::string_view label) {
  return !label.empty() && label.size() <= kMostLabel && std::all_of(label.begin(), label.end(), [](char c) {
    return alpha(c) || digit(c) || c == '-' || c == '_';
  });
}

bool good_name(std::string_view name) {
  if (name.empty() || name.size() > kMostHost) return false;
  for (;;) {
    const auto dot = name.find('.');
    if (!good_label(name.substr(0, dot))) return false;
    if (dot == std::string_view::npos) return true;
    name.remove_prefix(dot + 1);
  }
}

bool good_literal(std::string_view inside) {  // what stands in the brackets of `[::1]`
  return !inside.empty() && inside.size() <= 45 && inside.find(':') != std::string_view::npos &&
         std::all_of(inside.begin(), inside.end(),
                     [](char c) { return hex(c) >= 0 || c == ':' || c == '.'; });
}

// One character of a path, or an escape, to the end of `out`. Moves `at` behind it.
Fault take(std::string_view text, std::size_t& at, std::string& out) {
  const char c = text[at++];
  if (c != '%') {
    if (c == '\\') return Fault::encoded_slash;
    if (static_cast<unsigned char>(c) <= 0x20 || static_cast<unsigned char>(c) >= 0x7f) return Fault::control;
    out += c;
    return Fault::none;
  }
  const int high = at < text.size() ? hex(text[at]) : -1, low = at + 1 < text.size() ? hex(text[at + 1]) : -1;
  if (high < 0 || low < 0) return Fault::bad_escape;
  at += 2;
  const auto code = static_cast<char>(high * 16 + low);
  if (code == '/' || code == '\\') return Fault::encoded_slash;
  if (static_cast<unsigned char>(code) < 0x20 || code == 0x7f) return Fault::control;
  if (unreserved(code)) {
    out += code;
    return Fault::none;
  }
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  out += '%';
  out += kDigits[static_cast<std::size_t>(high)];
  out += kDigits[static_cast<std::size_t>(low)];
  return Fault::none;
}

// Ends the segment that starts at `begin`: dot segments and empty ones leave nothing.
Fault end_segment(std::string& out, std::size_t begin, bool last) {
  const auto segment = std::string_view(out).substr(begin);
  if (segment.starts_with(".;") || segment.starts_with("..;")) return Fault::bad_segment;
  if (segment == "..") {
    const auto parent = begin > 1 ? out.rfind('/', begin - 2) : 0;
    out.resize(parent + 1);
  } else if (segment == ".") {
    out.resize(begin);
  } else if (!segment.empty() && !last) {
    out += '/';
  }
  return Fault::none;
}

}  // namespace

std::string_view name_of(Fault fault) {
  constexpr std::string_view kNames[kFaults] = {"none",          "no_host",    "two_hosts",
                                                "bad_host",      "bad_target", "bad_escape",
                                                "encoded_slash", "control",    "bad_segment"};
  return kNames[static_cast<std::size_t>(fault)];
}

Fault normalise_host(std::string_view text, std::string& out) {
  if (text.starts_with('[')) {
    const auto end = text.find(']');
    if (end == std::string_view::npos || !good_literal(text.substr(1, end - 1))) return Fault::bad_host;
    const auto rest = text.substr(end + 1);
    if (!rest.empty() && (rest[0] != ':' || !good_port(rest.substr(1)))) return Fault::bad_host;
    text = text.substr(0, end + 1);
  } else {
    const auto colon = text.find(':');
    if (colon != std::string_view::npos && !good_port(text.substr(colon + 1))) return Fault::bad_host;
    text = text.substr(0, colon);
    if (text.ends_with('.')) text.remove_suffix(1);
    if (!good_name(text)) return Fault::bad_host;
  }
  out.assign(text);
  std::transform(out.begin(), out.end(), out.begin(), lower);
  return Fault::none;
}

Fault normalise_path(std::string_view text, std::string& out) {
  if (!text.starts_with('/')) return Fault::bad_target;
  std::string path = "/";
  path.reserve(text.size());
  for (std::size_t at = 1, begin = 1;; ++at) {
    while (at < text.size() && text[at] != '/') {
      if (const auto fault = take(text, at, path); fault != Fault::none) return fault;
    }
    const bool last = at >= text.size();
    if (const auto fault = end_segment(path, begin, last); fault != Fault::none) return fault;
    if (last) break;
    begin = path.size();
  }
  out = std::move(path);
  return Fault::none;
}

Normalised normalise(std::string_view target, const std::vector<std::string_view>& hosts) {
  Normalised out;
  const auto bad = [&](Fault fault) {
    out = {};
    out.fault = fault;
    return out;
  };
  if (hosts.size() > 1) return bad(Fault::two_hosts);
  if (hosts.empty()) return bad(Fault::no_host);
  if (const auto fault = normalise_host(hosts[0], out.host); fault != Fault::none) return bad(fault);
  if (!target.starts_with('/')) {  // the absolute form names the host itself
    const auto colon = target.find("://");
    std::string scheme(target.substr(0, std::min<std::size_t>(colon, 8)));
    std::transform(scheme.begin(), scheme.end(), scheme.begin(), lower);
    if (colon == std::string_view::npos || (scheme != "http" && scheme != "https"))
      return bad(Fault::bad_target);
    target.remove_prefix(colon + 3);
    const auto end = std::min(target.find_first_of("/?"), target.size());
    std::string named;
    if (const auto fault = normalise_host(target.substr(0, end), named); fault != Fault::none)
      return bad(fault);
    if (named != out.host) return bad(Fault::two_hosts);
    target.remove_prefix(end);
  }
  const auto question = std::min(target.find('?'), target.size());
  out.query = target.substr(question);
  target = target.substr(0, question);
  if (target.find('#') != std::string_view::npos || out.query.find('#') != std::string::npos) {
    return bad(Fault::bad_target);
  }
  if (target.empty()) target = "/";  // http://host?query
  if (const auto fault = normalise_path(target, out.path); fault != Fault::none) return bad(fault);
  return out;
}

}  // namespace cranemux::routing
