#include "front/last_byte_estimate.h"

namespace cranemux::front {
namespace {

constexpr std::uint64_t kStep = std::uint64_t{32} * 1024;  // bytes between samples, which bounds their number

}  // namespace

void LastByteEstimate::look(Time now, std::uint64_t arrived, std::optional<std::uint64_t> length,
                            bool all_read) {
  least_length_ = length.value_or(arrived);
  if (all_read) samples_.clear();
  if (samples_.empty() || arrived >= samples_.back().arrived + kStep) samples_.push_back({now, arrived});
  while (samples_.size() > 1 && !may_end_beyond(samples_.front())) samples_.pop_front();
}

std::optional<LastByteEstimate::Time> LastByteEstimate::since() const {
  if (samples_.empty() || !may_end_beyond(samples_.front())) return std::nullopt;
  return samples_.front().at;
}

}  // namespace cranemux::front
