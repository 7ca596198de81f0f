// What a process tells the one that takes over from it, and the frames in which it is told. Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "handover/archive.h"

namespace cranemux::handover {

struct State {
  std::string module;                           // of the decision module, as it saved it
  config::ResolverResult list;                  // discovery's, as last told
  std::vector<std::string> open_ids;            // and of requests that must not run again
  bool drained = false;                         // by the operators
  std::uint64_t channels = 0, connections = 0;  // that the old process still holds
};

// Spent or settled by the old process since.
struct Spent {
  std::uint32_t customer = 0;
  double units = 0;
  bool settled = false;
};

// An id of a request that one of the two has taken since, and that must not run again.
struct Taken {
  std::string id;
};

enum class Kind : std::uint16_t { hello = 1, state = 2, spent = 3, taken = 4 };
struct Frame {
  Kind kind = Kind::hello;
  std::string payload;
};

std::string frame(Kind kind, std::string_view payload);
constexpr std::size_t kFrameHead = 20;

enum class Verdict { whole, partial, foreign };  // foreign: another program, another version, or damaged
// Takes the first frame off `in`.
Verdict take_frame(std::string& in, Frame& out);

template <typename T>
std::string pack(T value) {
  Writer out;
  out(value);
  return out.take();
}
template <typename T>
std::optional<T> unpack(std::string_view bytes) {
  T value;
  Reader in(bytes);
  in(value);
  if (!in.whole()) return std::nullopt;
  return value;
}

template <typename Io>
void fields(Io& io, Taken& t) {
  io(t.id);
}
template <typename Io>
void fields(Io& io, State& s) {
  io(s.module, s.list, s.open_ids, s.drained, s.channels, s.connections);
}
template <typename Io>
void fields(Io& io, Spent& s) {
  io(s.customer, s.units, s.settled);
}

}  // namespace cranemux::handover

namespace cranemux::config {

template <typename Io>
void fields(Io& io, Address& a) {
  io(a.host, a.port);
}
template <typename Io>
void fields(Io& io, ListEntry& e) {
  io(e.name, e.state, e.address, e.zone, e.cell, e.weight, e.since);
}
template <typename Io>
void fields(Io& io, ResolverResult& r) {
  io(r.index, r.snapshot, r.entries);
}

}  // namespace cranemux::config
