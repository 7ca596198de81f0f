#include "http/http.h"

#include <algorithm>
#include <charconv>

namespace cranemux::http {
namespace {

constexpr std::size_t kMostFields = 100;
constexpr std::size_t kMostChunkLine = 256;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool token(std::string_view text) {
  constexpr std::string_view kOther = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (lower(c) >= 'a' && lower(c) <= 'z') || (c >= '0' && c <= '9') ||
           kOther.find(c) != std::string_view::npos;
  });
}

bool printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return static_cast<unsigned char>(c) >= 0x20 && c != 0x7f; });
}

std::optional<std::size_t> number(std::string_view text, int base) {
  std::size_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value, base);
  if (text.empty() || error != std::errc{} || last != end) return std::nullopt;
  return value;
}

bool start_line(std::string_view line, Kind kind, Message& out) {
  const auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  const auto second = line.find(' ', first + 1);
  if (kind == Kind::response) {
    out.version = line.substr(0, first);
    const auto code = number(line.substr(first + 1, 3), 10);
    out.status = code && *code >= 100 && *code <= 599 ? static_cast<int>(*code) : 0;
    return out.status != 0 && out.version.starts_with("HTTP/1.");
  }
  if (second == std::string_view::npos) return false;
  out.method = line.substr(0, first);
  out.target = line.substr(first + 1, second - first - 1);
  out.version = line.substr(second + 1);
  return token(out.method) && !out.target.empty() && out.target.find(' ') == std::string_view::npos &&
         printable(out.target) && (out.version == "HTTP/1.1" || out.version == "HTTP/1.0");
}

Verdict bad(int status) { return {State::bad, status, 0}; }

// The data of a chunked body that starts at `at`. Sets `at` behind it.
Verdict chunks(std::string_view buffer, std::size_t& at, std::string& body) {
  for (;;) {
    const auto end = buffer.find("\r\n", at);
    if (end != std::string_view::npos && end - at > kMostChunkLine) return bad(400);
    if (end == std::string_view::npos) {
      return buffer.size() - at > kMostChunkLine ? bad(400) : Verdict{State::partial, 0, buffer.size() + 1};
    }
    const auto line = buffer.substr(at, std::min(end - at, buffer.find(';', at) - at));
    const auto size = number(trim(line), 16);
    if (!size) return bad(400);
    if (*size > kMostBody || body.size() + *size > kMostBody) return bad(413);
    if (*size == 0) {
      at = end + 2;
      for (;;) {  // trailers are read and dropped
        const auto stop = buffer.find("\r\n", at);
        if (stop == std::string_view::npos) {
          return buffer.size() - at > kMostHead ? bad(431) : Verdict{State::partial, 0, buffer.size() + 1};
        }
        const bool last = stop == at;
        at = stop + 2;
        if (last) return {State::whole, 0, 0};
      }
    }
    if (buffer.size() < end + 2 + *size + 2) return {State::partial, 0, end + 2 + *size + 2};
    if (buffer.substr(end + 2 + *size, 2) != "\r\n") return bad(400);
    body.append(buffer.substr(end + 2, *size));
    at = end + 2 + *size + 2;
  }
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::string_view> Message::field(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (same_name(key, name)) return value;
  }
  return std::nullopt;
}

Verdict parse_head(std::string_view buffer, Kind kind, Message& out) {
  const auto end = buffer.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    return buffer.size() > kMostHead ? bad(431) : Verdict{State::partial, 0, buffer.size() + 1};
  }
  if (end > kMostHead) return bad(431);
  auto head = buffer.substr(0, end);
  const auto first = head.find("\r\n");
  if (!start_line(head.substr(0, first), kind, out)) return bad(400);
  out.fields.clear();
  out.keep_alive = out.version != "HTTP/1.0";
  while (head.find("\r\n") != std::string_view::npos) {
    head.remove_prefix(head.find("\r\n") + 2);
    const auto line = head.substr(0, head.find("\r\n"));
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !token(line.substr(0, colon))) return bad(400);
    const auto value = trim(line.substr(colon + 1));
    if (value.find_first_of(std::string_view("\0\r\n", 3)) != std::string_view::npos) return bad(400);
    if (out.fields.size() >= kMostFields) return bad(431);
    out.fields.emplace_back(line.substr(0, colon), value);
    if (same_name(line.substr(0, colon), "Connection")) {
      if (same_name(value, "close")) out.keep_alive = false;
      if (same_name(value, "keep-alive")) out.keep_alive = true;
    }
  }
  out.size = end + 4;
  return {State::whole, 0, 0};
}

std::optional<Framing> framing(const Message& head, Kind kind, int& status) {
  std::optional<std::uint64_t> length;
  bool chunked = false;
  const auto bad = [&](int with) {
    status = with;
    return std::nullopt;
  };
  for (const auto& [name, value] : head.fields) {
    if (same_name(name, "Content-Length")) {
      const auto told = number(value, 10);
      if (!told || (length && *length != *told)) return bad(400);
      length = told;
    } else if (same_name(name, "Transfer-Encoding")) {
      if (!same_name(value, "chunked") || chunked) return bad(501);
      chunked = true;
    }
  }
  if (chunked && length) return bad(400);  // two lengths: a smuggled request
  if (kind == Kind::response && (head.status < 200 || head.status == 204 || head.status == 304))
    return Framing{};
  if (chunked) return Framing{Framing::Kind::chunked};
  if (length) return Framing{Framing::Kind::length, *length};
  return kind == Kind::response ? Framing{Framing::Kind::until_end} : Framing{};
}

Verdict parse(std::string_view buffer, Kind kind, Message& out, bool ended) {
  const auto head = parse_head(buffer, kind, out);
  if (head.state != State::whole) return head;
  int status = 400;
  const auto framed = framing(out, kind, status);
  if (!framed) return bad(status);
  if (framed->length > kMostBody) return bad(413);
  if (framed->kind == Framing::Kind::chunked) {
    out.chunked_body.clear();
    auto at = out.size;
    const auto verdict = chunks(buffer, at, out.chunked_body);
    if (verdict.state == State::whole) {
      out.body = out.chunked_body;
      out.size = at;
    }
    return verdict;
  }
  auto body = static_cast<std::size_t>(framed->length);
  if (framed->kind == Framing::Kind::until_end) {
    out.keep_alive = false;
    if (buffer.size() - out.size > kMostBody) return bad(413);
    if (!ended) return {State::partial, 0, buffer.size() + 1};
    body = buffer.size() - out.size;
  }
  if (buffer.size() - out.size < body) return {State::partial, 0, out.size + body};
  out.body = buffer.substr(out.size, body);
  out.size += body;
  return {State::whole, 0, 0};
}

BodyReader::State BodyReader::take(std::string& in, std::string& out, bool ended) {
  if (framing_.kind == Framing::Kind::chunked) return take_chunked(in, out, ended);
  if (framing_.kind == Framing::Kind::until_end) {
    out += in;
    in.clear();
    return ended ? State::done : State::more;
  }
  const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(left_, in.size()));
  out.append(in, 0, count);
  in.erase(0, count);
  left_ -= count;
  if (left_ == 0) return State::done;
  return ended ? State::bad : State::more;
}

bool BodyReader::size_line(std::string_view line) {
  const auto size = number(trim(line.substr(0, line.find(';'))), 16);
  if (!size) return false;
  left_ = *size;
  part_ = left_ > 0 ? Part::data : Part::trailer;
  return true;
}

BodyReader::State BodyReader::take_chunked(std::string& in, std::string& out, bool ended) {
  std::size_t at = 0;
  auto state = State::more;
  while (state == State::more) {
    if (part_ == Part::data) {
      const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(left_, in.size() - at));
      out.append(in, at, count);
      at += count;
      left_ -= count;
      if (left_ > 0) break;
      part_ = Part::end;
    }
    const auto end = in.find("\r\n", at);
    const auto most = part_ == Part::end ? 1 : part_ == Part::size ? kMostChunkLine : kMostHead;
    // As long in one piece as in many, and its end's first half is no part of it.
    auto length = std::min(end, in.size()) - at;
    if (end == std::string::npos && length > 0 && in.back() == '\r') --length;
    if (length > most) state = State::bad;
    if (end == std::string::npos || state == State::bad) break;
    const auto line = std::string_view(in).substr(at, end - at);
    at = end + 2;
    if (part_ == Part::trailer) {  // read and dropped
      trailers_ += line.size();
      if (line.empty()) state = State::done;
      if (trailers_ > kMostHead) state = State::bad;
    } else if (part_ == Part::end) {
      if (!line.empty()) state = State::bad;
      part_ = Part::size;
    } else if (!size_line(line)) {
      state = State::bad;
    }
  }
  in.erase(0, at);
  return state == State::more && ended ? State::bad : state;
}

bool take_chunks(std::string& in, std::string& out, bool& done, std::size_t most) {
  std::size_t at = 0;
  for (;;) {
    const auto end = in.find("\r\n", at);
    if (end == std::string::npos) {
      if (in.size() - at > kMostChunkLine) return false;
      break;
    }
    const auto line = std::string_view(in).substr(at, std::min(end - at, in.find(';', at) - at));
    const auto size = number(trim(line), 16);
    if (!size || *size > most) return false;
    if (*size == 0) {
      done = true;
      break;
    }
    if (in.size() < end + 2 + *size + 2) break;
    out.append(in, end + 2, *size);
    at = end + 2 + *size + 2;
  }
  in.erase(0, at);
  return true;
}

std::string_view reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 406:
      return "Not Acceptable";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 415:
      return "Unsupported Media Type";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Answer";
  }
}

}  // namespace cranemux::http
