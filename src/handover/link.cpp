#include "handover/link.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>

namespace cranemux::handover {
namespace {

constexpr std::size_t kMostUnsent = 1024 * 1024;  // of what is told on; more is dropped and counted
constexpr std::size_t kPathRoom = sizeof(sockaddr_un::sun_path) - 1;

// The first byte carries the descriptor.
bool send_first(int to, std::string_view bytes, int descriptor) {
  char byte = bytes.front();
  iovec piece{&byte, 1};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  if (descriptor >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    auto* head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
  }
  return ::sendmsg(to, &message, MSG_NOSIGNAL) == 1;
}

// Reads some, and takes a descriptor that rides along.
ssize_t receive(int from, std::string& in, int& descriptor) {
  char bytes[16 * 1024];
  iovec piece{bytes, sizeof bytes};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const auto got = ::recvmsg(from, &message, MSG_CMSG_CLOEXEC);
  if (got > 0) in.append(bytes, static_cast<std::size_t>(got));
  for (auto* head = CMSG_FIRSTHDR(&message); head; head = CMSG_NXTHDR(&message, head)) {
    if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
    if (descriptor >= 0) ::close(descriptor);
    std::memcpy(&descriptor, CMSG_DATA(head), sizeof descriptor);
  }
  return got;
}

}  // namespace

// ---- the old process ----------------------------------------------------------------------------

struct Giver::Successor {
  explicit Successor(Local::socket from) : socket(std::move(from)) {}
  Local::socket socket;
  std::string out;
  bool served = false, writing = false;
};

Giver::Giver(net::asio::io_context& io, std::string path, Place place, metrics::Logger& logger,
             metrics::Counters& counters)
    : io_(io),
      path_(std::move(path)),
      place_(std::move(place)),
      logger_(logger),
      counters_(counters),
      acceptor_(io) {}

Giver::~Giver() { unlink(); }

// The path may be a successor's by now.
void Giver::unlink() {
  struct stat at {};
  if (inode_ != 0 && ::stat(path_.c_str(), &at) == 0 && at.st_ino == inode_) ::unlink(path_.c_str());
  inode_ = 0;
}

bool Giver::listen() {
  boost::system::error_code error;
  acceptor_.close(error);
  if (path_.size() > kPathRoom) {
    logger_.log(metrics::Level::warning, "no hand-over: the path is too long: ", path_);
    return false;
  }
  ::unlink(path_.c_str());  // left by a life before, or by a successor that has ended
  acceptor_.open(Local(), error);
  if (!error) acceptor_.bind(Local::endpoint(path_), error);
  if (!error) acceptor_.listen(4, error);
  struct stat at {};
  if (error || ::chmod(path_.c_str(), S_IRUSR | S_IWUSR) != 0 || ::stat(path_.c_str(), &at) != 0) {
    logger_.log(metrics::Level::warning, "no hand-over at ", path_, ": ", error.message());
    acceptor_.close(error);
    return false;
  }
  inode_ = at.st_ino;
  net::spawn(io_, logger_, "hand-over", accept());
  return true;
}

net::awaitable<void> Giver::accept() {
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(net::kResult);
    if (error == net::asio::error::operation_aborted || !acceptor_.is_open()) co_return;
    if (error) {
      net::asio::steady_timer pause(io_, std::chrono::milliseconds(50));
      co_await pause.async_wait(net::kResult);
      continue;
    }
    if (successor_) continue;  // one at a time: it starts fresh
    successor_ = std::make_shared<Successor>(std::move(socket));
    co_await serve(successor_);
    successor_.reset();
  }
}

net::awaitable<void> Giver::serve(std::shared_ptr<Successor> next) {
  std::string in;
  Frame hello;
  auto verdict = Verdict::partial;
  char bytes[512];
  for (;;) {
    const auto [error, count] = co_await next->socket.async_read_some(net::asio::buffer(bytes), net::kResult);
    if (error) break;
    in.append(bytes, count);
    if (next->served) {
      hear(in);
      continue;
    }
    verdict = take_frame(in, hello);
    if (verdict == Verdict::partial) continue;
    if (verdict == Verdict::foreign || hello.kind != Kind::hello) {
      ++counters_.handovers_refused;
      logger_.log(metrics::Level::warning, "hand-over: what has called is no process of this version");
      co_return;
    }
    next->served = true;
    const auto text = frame(Kind::state, pack(place_.hand_over()));
    next->out.insert(0, text.substr(1));
    if (!send_first(next->socket.native_handle(), text, place_.peer_socket())) break;
    ++counters_.handovers;
    logger_.log(metrics::Level::info, "handed over to a new process");
    net::spawn(io_, logger_, "hand-over", write(next));
  }
  if (next->served) place_.take_back();
}

void Giver::hear(std::string& in) {
  Frame told;
  auto verdict = take_frame(in, told);
  for (; verdict == Verdict::whole; verdict = take_frame(in, told)) {
    const auto taken = told.kind == Kind::taken ? unpack<Taken>(told.payload) : std::nullopt;
    if (taken) place_.taken(*taken);
  }
  if (verdict == Verdict::foreign) in.clear();
}

void Giver::tell(const std::string& frame) {
  if (!successor_ || !successor_->served) return;
  if (successor_->out.size() > kMostUnsent) {
    ++counters_.handover_dropped;
    return;
  }
  successor_->out += frame;
  if (!successor_->writing) net::spawn(io_, logger_, "hand-over", write(successor_));
}

net::awaitable<void> Giver::write(std::shared_ptr<Successor> next) {
  if (std::exchange(next->writing, true)) co_return;
  while (!next->out.empty()) {
    const auto text = std::exchange(next->out, {});
    const auto [error, count] =
        co_await net::asio::async_write(next->socket, net::asio::buffer(text), net::kResult);
    if (error) break;
  }
  next->writing = false;
}

// ---- the new process ----------------------------------------------------------------------------

std::optional<Found> ask(const std::string& path, std::chrono::milliseconds patience,
                         metrics::Logger& logger) {
  if (path.size() > kPathRoom) return std::nullopt;
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return std::nullopt;
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  path.copy(at.sun_path, kPathRoom);
  const auto hello = frame(Kind::hello, {});
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::send(fd, hello.data(), hello.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(hello.size())) {
    ::close(fd);
    return std::nullopt;
  }
  Found found;
  std::string in;
  Frame told;
  auto verdict = Verdict::partial;
  const auto end = net::Clock::now() + patience;
  while (verdict == Verdict::partial) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - net::Clock::now()).count();
    pollfd ready{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) break;
    if (receive(fd, in, found.peer_socket) <= 0) break;
    verdict = take_frame(in, told);
  }
  if (in.empty() && verdict == Verdict::partial && found.peer_socket < 0) {
    logger.log(metrics::Level::warning, "hand-over: the old process does not answer");
    ::close(fd);
    return std::nullopt;
  }
  if (verdict == Verdict::whole && told.kind == Kind::state) found.state = unpack<State>(told.payload);
  if (!found.state) logger.log(metrics::Level::warning, "hand-over: what was told cannot be read");
  found.connection = fd;
  found.more = std::move(in);
  return found;
}

Heir::Heir(net::asio::io_context& io, int connection, std::string more, Ears ears, metrics::Logger& logger,
           metrics::Counters& counters)
    : socket_(io), in_(std::move(more)), ears_(std::move(ears)), logger_(logger), counters_(counters) {
  socket_.assign(Local(), connection);
}

void Heir::start() { net::spawn(socket_.get_executor(), logger_, "hand-over", hear()); }

net::awaitable<void> Heir::hear() {
  char bytes[4096];
  for (bool good = true; good;) {
    Frame told;
    auto verdict = Verdict::whole;
    while ((verdict = take_frame(in_, told)) == Verdict::whole) {
      const auto spent = told.kind == Kind::spent ? unpack<Spent>(told.payload) : std::nullopt;
      if (spent) ears_.spent(*spent);
      const auto taken = told.kind == Kind::taken ? unpack<Taken>(told.payload) : std::nullopt;
      if (taken) ears_.taken(*taken);
    }
    good = verdict != Verdict::foreign;
    const auto [error, count] = co_await socket_.async_read_some(net::asio::buffer(bytes), net::kResult);
    if (error) break;
    in_.append(bytes, count);
  }
  // Until the old process is really gone its room is its own: the connection ends with it.
  boost::system::error_code ignored;
  while (!ignored) {
    const auto [error, count] = co_await socket_.async_read_some(net::asio::buffer(bytes), net::kResult);
    ignored = error;
  }
  socket_.close(ignored);
  ears_.ended();
}

void Heir::tell(const Taken& taken) {
  if (!socket_.is_open()) return;
  if (out_.size() > kMostUnsent) {
    ++counters_.handover_dropped;
    return;
  }
  out_ += frame(Kind::taken, pack(taken));
  if (!writing_) net::spawn(socket_.get_executor(), logger_, "hand-over", write());
}

net::awaitable<void> Heir::write() {
  if (std::exchange(writing_, true)) co_return;
  while (!out_.empty()) {
    const auto text = std::exchange(out_, {});
    const auto [error, count] =
        co_await net::asio::async_write(socket_, net::asio::buffer(text), net::kResult);
    if (error) break;
  }
  writing_ = false;
}

}  // namespace cranemux::handover
