// What an ask says, from the mail's figures.
#pragma once

#include <algorithm>

#include "ledger/ledger.h"
#include "ledger/mail.h"

namespace cranemux::ledger {

constexpr std::uint64_t kSaneFigure = 1'000'000'000;  // an entry that says more is damaged

inline bool sane(const Entry& entry) {
  const auto& v = entry.figures;
  if (*std::max_element(v.begin(), v.begin() + 3) > kSaneFigure) return false;
  return entry.kind != Kind::ask || (v[6] >= 1 && *std::max_element(v.begin() + 5, v.end()) <= kSaneFigure);
}

// `life`: of the sender. Figures that no gatekeeper sends are cut to what it might.
inline Ask ask_of(const Entry& entry, std::uint32_t life, bool guarded) {
  const auto figure = [&](std::size_t i) {
    return static_cast<std::int64_t>(std::min(entry.figures[i], kSaneFigure));
  };
  const auto number = static_cast<std::uint32_t>(entry.figures[4]);
  Ask out;
  out.life = life;
  (guarded ? out.number : out.turn) = number;
  out.used = figure(0);
  out.weight = static_cast<double>(figure(2));
  out.wanted = figure(3);
  out.hold = std::chrono::milliseconds(10) * std::min<std::int64_t>(figure(5), 1000);
  out.owed = std::min(out.used, figure(7));
  out.report = !guarded && figure(8) == 1;
  return out;
}

}  // namespace cranemux::ledger
