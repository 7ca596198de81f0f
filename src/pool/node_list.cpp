#include "pool/node_list.h"

#include <algorithm>

namespace cranemux::pool {
namespace {

constexpr const char* kActive = "active";
constexpr const char* kLeaving = "leaving";
constexpr const char* kLeft = "left";

}  // namespace

config::ListEntry NodeList::seen(config::ListEntry entry) const {
  if (entry.state == kActive && drained(entry.name)) entry.state = kLeaving;
  return entry;
}

config::ResolverResult NodeList::told(const config::ResolverResult& result, bool whole) {
  if (whole) listed_.clear();
  index_ = result.index;
  config::ResolverResult out{result.index, result.snapshot, {}};
  for (const auto& entry : result.entries) {
    if (entry.state == kLeft) {
      listed_.erase(entry.name);
    } else {
      listed_[entry.name] = entry;
    }
    out.entries.push_back(seen(entry));
  }
  // A node that has gone needs no drain any more: one of that name that comes later is another.
  std::erase_if(nodes_, [&](const auto& name) { return !listed_.contains(name); });
  return out;
}

config::ResolverResult NodeList::list() const {
  config::ResolverResult out{index_, true, {}};
  for (const auto& [name, entry] : listed_) out.entries.push_back(entry);
  return out;
}

std::optional<config::ResolverResult> NodeList::drain(const std::string& node, bool drained) {
  const auto at = listed_.find(node);
  if (at == listed_.end() || nodes_.contains(node) == drained) return std::nullopt;
  if (drained) nodes_.insert(node);
  if (!drained) nodes_.erase(node);
  return config::ResolverResult{0, false, {seen(at->second)}};
}

config::ResolverResult NodeList::drain_all(bool drained) {
  config::ResolverResult out;
  if (std::exchange(all_, drained) == drained) return out;
  for (const auto& [name, entry] : listed_) out.entries.push_back(seen(entry));
  return out;
}

std::size_t NodeList::usable() const {
  return static_cast<std::size_t>(std::count_if(listed_.begin(), listed_.end(), [this](const auto& item) {
    return item.second.state == kActive && !drained(item.first);
  }));
}

}  // namespace cranemux::pool
