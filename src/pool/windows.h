// How many own attempts servers may have out: how windows open and close, for the decision module to ask for.
#pragma once

#include <algorithm>
#include <vector>

#include "pool/server.h"

namespace cranemux::pool {

class Windows {
 public:
  explicit Windows(int gateways)
      : first_(std::max(kLeastFirst, kFirst / gateways)),
        least_(kLeast * std::min(1.0, kFirst / 2 / gateways)) {}

  double first() const { return first_; }
  // So many gateways that own answers of one server are too few to learn from: they count for all.
  bool together() const { return first_ < 1; }

  // One server's.
  void open(Server& server) const {
    server.window = std::min(kMost, server.window + kStep / std::max(1.0, server.window));
  }
  void close(Server& server) const { server.window = std::max(least_, server.window * kCut); }

  struct InUse {
    double windows = 0, open = 0;
  };
  static InUse in_use(const std::vector<Server>& servers) {
    InUse out;
    for (const auto& server : servers) {
      if (server.entry.state != ServerState::running || server.ejected_until > 0) continue;
      out.windows += server.window;
      out.open += server.open;
    }
    return out;
  }
  // All servers'. Windows that are not used open no further, and one attempt may always be out.
  static void scale(std::vector<Server>& servers, double factor) {
    const auto [windows, open] = in_use(servers);
    if (factor > 1 ? windows > kUnused * (open + 1) : windows < 1) return;
    for (auto& server : servers) server.window = std::min(kMost, server.window * factor);
  }

 private:
  static constexpr double kFirst = 8;          // own open attempts a server, first, shared by the gateways
  static constexpr double kLeastFirst = 0.05;  // of one, first, where gateways are many
  static constexpr double kLeast = 0.25, kMost = 32;  // parts of one count towards the sum over servers
  static constexpr double kStep = 0.1;                // a good answer opens by this, over the window
  static constexpr double kCut = 0.8;                 // a late one closes by this factor
  static constexpr double kUnused = 2;                // so many times what is out

  double first_, least_;
};

}  // namespace cranemux::pool
