// What a gatekeeper reports to its operators: how requests have ended, by class, and what stands now.
#pragma once

#include <cstdint>
#include <string>

#include "metrics/counters.h"

namespace cranemux::metrics {

struct Figures {
  std::map<std::string, Lane> lanes;      // counted from the start of the process
  std::uint64_t pending = 0;              // requests taken and not yet ended
  std::uint64_t members = 0;              // workers in the list
  std::uint64_t members_unavailable = 0;  // of them, those that the module avoids now

  // visit(name, label fields as name="value" pairs, value)
  template <typename Visit>
  void each(Visit visit) const {
    const auto of = [](const std::string& lane) { return "lane=\"" + lane + '"'; };
    for (const auto& [name, lane] : lanes) {
      const auto ended = [&, &name = name](const char* result, std::uint64_t count) {
        visit("router_downstream_requests", of(name) + ",result=\"" + result + '"', count);
      };
      ended("completed", lane.completed);
      ended("rejected", lane.rejected);
      ended("failed", lane.failed);
      visit("router_upstream_requests", of(name), lane.upstream);
    }
    visit("router_pending", std::string(), pending);
    visit("router_members", std::string(), members);
    visit("router_members_unavailable", std::string(), members_unavailable);
  }
};

// A line each: `router_downstream_requests{lane="C",result="completed"} 812`.
inline std::string lines(const Figures& figures) {
  std::string out;
  figures.each([&](const char* name, const std::string& labels, std::uint64_t value) {
    out += name;
    if (!labels.empty()) out += '{' + labels + '}';
    out += ' ' + std::to_string(value) + '\n';
  });
  return out;
}

}  // namespace cranemux::metrics
