#include "metrics/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace cranemux::metrics {
namespace {

constexpr std::size_t kAtOnce = 4096;  // a pipe that is writable takes so much without blocking (PIPE_BUF)

}  // namespace

void LineWriter::line(std::string_view text) {
  flush();
  if (pending_.empty() && dropped_ > told_) {
    pending_ = "warning: " + std::to_string(dropped_ - told_) + " log lines were dropped\n";
    told_ = dropped_;
  }
  if (pending_.size() + text.size() + 1 > most_) {
    ++dropped_;
    return;
  }
  pending_.append(text).push_back('\n');
  flush();
}

void LineWriter::flush() {
  std::size_t sent = 0;
  while (sent < pending_.size()) {
    pollfd ready{descriptor_, POLLOUT, 0};
    if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) break;
    const auto count =
        ::write(descriptor_, pending_.data() + sent, std::min(kAtOnce, pending_.size() - sent));
    if (count <= 0) break;
    sent += static_cast<std::size_t>(count);
  }
  pending_.erase(0, sent);
}

}  // namespace cranemux::metrics
