#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <sstream>

namespace review {
namespace {

constexpr std::chrono::seconds kReady{30};              // to be ready after its start (STANDING.md)
constexpr std::chrono::seconds kBeat{2};                // between empty lines of a watch (PROTOCOL)
constexpr milliseconds kLook{20};                       // between looks whether to stop
constexpr std::size_t kPiece = std::size_t{64} * 1024;  // read at once

sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

int left_ms(Clock::time_point until) {
  const auto left = std::chrono::ceil<milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::clamp<long long>(left, 0, 1'000'000));
}

int tcp_socket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) throw CannotRun("no socket");
  return fd;
}

void plain(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

// A chunked body that starts at `at`. Returns where it ends, npos where it is not whole yet.
std::size_t read_chunks(const std::string& buffer, std::size_t at, std::string& body) {
  for (;;) {
    const auto end = buffer.find("\r\n", at);
    if (end == std::string::npos) return end;
    const auto size = std::strtoul(buffer.c_str() + at, nullptr, 16);
    const auto next = end + 2 + size + 2;
    if (buffer.size() < next) return std::string::npos;
    if (size == 0) return next;
    body.append(buffer, end + 2, size);
    at = next;
  }
}

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  if (!value || !*value) throw CannotRun(std::string(name) + " is not set");
  return value;
}

}  // namespace

// ---- the record ---------------------------------------------------------------------------------

Record::Record(const std::string& path) : out_(path, std::ios::app) {
  if (!out_) throw CannotRun("cannot write " + path);
}

void Record::line(const std::string& text) {
  const std::lock_guard hold(mutex_);
  const auto at = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start_).count();
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%9.3f ", static_cast<double>(at) / 1000);
  out_ << stamp << text << '\n' << std::flush;
}

void Record::quote(const std::string& path, const std::function<bool(const std::string&)>& shown) {
  std::ifstream in(path);
  const std::lock_guard hold(mutex_);
  for (std::string text; std::getline(in, text);) {
    if (shown(text)) out_ << "          | " << text << '\n';
  }
  out_ << std::flush;
}

// ---- sockets ------------------------------------------------------------------------------------

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void Socket::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

std::size_t Socket::write(std::string_view bytes, Clock::time_point until) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto got = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (got > 0) {
      sent += static_cast<std::size_t>(got);
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) break;
    pollfd look{fd_, POLLOUT, 0};
    if (Clock::now() >= until || ::poll(&look, 1, left_ms(until)) == 0) break;
  }
  return sent;
}

Socket::Read Socket::read(std::string& into, Clock::time_point until) const {
  pollfd look{fd_, POLLIN, 0};
  if (::poll(&look, 1, left_ms(until)) <= 0) return Read::nothing;
  const auto had = into.size();
  into.resize(had + kPiece);
  const auto got = ::recv(fd_, into.data() + had, kPiece, MSG_DONTWAIT);
  into.resize(had + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
  if (got > 0) return Read::more;
  if (got == 0) return Read::ended;
  return errno == EAGAIN || errno == EINTR ? Read::nothing : Read::broken;
}

Listener::Listener(int receive_buffer) : socket(tcp_socket()) {
  if (receive_buffer > 0) {
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  }
  auto at = loopback(0);
  socklen_t size = sizeof at;
  if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(socket.fd(), 256) != 0 ||
      ::getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    throw CannotRun("cannot listen on 127.0.0.1");
  }
  port = ntohs(at.sin_port);
  plain(socket.fd());
}

int free_port() {
  const Listener listener;
  return listener.port;
}

Socket connect(int port) {
  Socket socket(tcp_socket());
  const auto at = loopback(port);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return {};
  plain(socket.fd());
  return socket;
}

// ---- messages -----------------------------------------------------------------------------------

std::string Message::field(const std::string& name) const {
  const auto at = fields.find(lower(name));
  return at == fields.end() ? std::string() : at->second;
}

int Message::status() const { return start.starts_with("HTTP/1.1 ") ? std::atoi(start.c_str() + 9) : 0; }

Parsed take_message(std::string& buffer, Message& message, bool body) {
  const auto end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return Parsed::partial;
  message = {};
  message.head = buffer.substr(0, end + 4);
  std::istringstream in(message.head);
  std::string line;
  std::getline(in, line);
  message.start = line.substr(0, line.find('\r'));
  while (std::getline(in, line) && line != "\r") {
    const auto colon = line.find(':');
    if (colon == std::string::npos) return Parsed::bad;
    const auto from = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
    message.fields[lower(line.substr(0, colon))] = line.substr(from, line.find('\r') - from);
  }
  auto size = end + 4;
  if (body && lower(message.field("transfer-encoding")) == "chunked") {
    size = read_chunks(buffer, size, message.body);
    if (size == std::string::npos) return Parsed::partial;
  } else if (body) {
    const auto length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    if (buffer.size() < size + length) return Parsed::partial;
    message.body = buffer.substr(size, length);
    size += length;
  }
  buffer.erase(0, size);
  return Parsed::whole;
}

std::optional<Message> read_message(const Socket& socket, std::string& buffer, Clock::time_point until) {
  Message message;
  for (;;) {
    const auto parsed = take_message(buffer, message);
    if (parsed == Parsed::whole) return message;
    if (parsed == Parsed::bad || Clock::now() >= until) return std::nullopt;
    const auto got = socket.read(buffer, until);
    if (got == Socket::Read::ended || got == Socket::Read::broken) return std::nullopt;
  }
}

std::string Request::text() const {
  const bool get = klass == "job-status";
  char cookie[32];
  std::snprintf(cookie, sizeof cookie, "%016x", customer);
  std::string out = (get ? "GET" : "POST") + std::string(" /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: ") + id +
                    "\r\nReq-Kind: " + klass + "\r\nX-Tier: " + plan + "\r\nCookie: client=" + cookie +
                    "\r\nReq-Deadline-Ms: " + std::to_string(deadline.count()) +
                    "\r\nX-Call-Terms: units=" + std::to_string(units) + ",spread=2,first=0\r\n";
  if (!get) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

std::string good_answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- workers ------------------------------------------------------------------------------------

Worker::Worker(std::string name, Record& record, Serve serve, int receive_buffer)
    : name(std::move(name)), record(record), listener_(receive_buffer), serve_(std::move(serve)) {
  acceptor_ = std::thread([this] { accept(); });
}

Worker::~Worker() {
  stopping_ = true;
  acceptor_.join();
  for (auto& thread : threads_) thread.join();
}

void Worker::accept() {
  while (!stopping_) {
    pollfd look{listener_.socket.fd(), POLLIN, 0};
    if (::poll(&look, 1, static_cast<int>(kLook.count())) <= 0) continue;
    const int fd = ::accept4(listener_.socket.fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    plain(fd);
    threads_.emplace_back([this, fd] {
      Socket socket(fd);
      serve_(*this, socket);
    });
  }
}

void Worker::ran(const std::string& id) {
  const std::lock_guard hold(mutex_);
  ++runs_[id];
}

std::map<std::string, int> Worker::runs() {
  const std::lock_guard hold(mutex_);
  return runs_;
}

// ---- discovery ----------------------------------------------------------------------------------

Discovery::Discovery(Record& record) : record_(record) {
  acceptor_ = std::thread([this] { accept(); });
}

Discovery::~Discovery() {
  stopping_ = true;
  acceptor_.join();
  for (auto& thread : threads_) thread.join();
}

void Discovery::list(const std::string& name, int port) {
  const std::lock_guard hold(mutex_);
  workers_[name] = port;
}

std::string Discovery::whole_list() {
  const std::lock_guard hold(mutex_);
  std::string out = R"({"index":41,"snapshot":true,"endpoints":[)";
  const char* comma = "";
  for (const auto& [name, port] : workers_) {
    out +=
        comma + (R"({"name":")" + name) + R"(","address":"127.0.0.1:)" + std::to_string(port) +
        R"(","zone":"sandy-bay","type":"small-2core","group":0,"status":"active","weight":1.0,"since_ms":0})";
    comma = ",";
  }
  return out + "]}";
}

void Discovery::accept() {
  while (!stopping_) {
    pollfd look{listener_.socket.fd(), POLLIN, 0};
    if (::poll(&look, 1, static_cast<int>(kLook.count())) <= 0) continue;
    const int fd = ::accept4(listener_.socket.fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    plain(fd);
    threads_.emplace_back([this, fd] { serve(Socket(fd)); });
  }
}

void Discovery::serve(Socket socket) {
  std::string in;
  const auto call = read_message(socket, in, Clock::now() + std::chrono::seconds(5));
  if (!call) return;
  record_.line("discovery is asked: " + call->start);
  const auto text = whole_list() + "\n";
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  const auto soon = [] { return Clock::now() + std::chrono::seconds(1); };
  socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + text) + "\r\n", soon());
  auto beat = Clock::now() + kBeat;
  while (!stopping_) {
    std::string more;
    const auto got = socket.read(more, std::min(beat, Clock::now() + kLook));
    if (got == Socket::Read::ended || got == Socket::Read::broken) return;
    if (Clock::now() < beat) continue;
    if (socket.write("1\r\n\n\r\n", soon()) != 6) return;
    beat += kBeat;
  }
}

// ---- the platform -------------------------------------------------------------------------------

Gatekeeper::Gatekeeper(const Place& place, Discovery& discovery, Record& record)
    : record_(record), port_(free_port()) {
  const auto number = std::to_string(place.index);
  const auto folder = place.folder + "/n" + number;
  const auto own = folder + "/tmp";
  ::mkdir(folder.c_str(), 0700);
  ::mkdir(own.c_str(), 0700);
  const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  std::string peers;
  for (const int port : place.peer_ports) peers += (peers.empty() ? "\"" : ",\"") + address(port) + "\"";
  // The figures are those of WIRE-cranemux.md's example, which is the site hobart-dispatch; the limits are
  // the scored days' (DEPLOY-cranemux.md).
  const auto text = R"({"name":"n)" + number + R"(","listen":")" + address(port_) + R"(","discovery":")" +
                    address(discovery.port()) + R"(","seed":"8c1f30d27a5be96)" + number +
                    R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":")" +
                    address(place.peer_ports.at(static_cast<std::size_t>(place.index))) + R"(","peers":[)" +
                    peers + R"(],"known":)" + discovery.whole_list() + R"(,"settings":{"balancers":)" +
                    std::to_string(place.peer_ports.size()) + R"(,"index":)" + number + R"(,
"caps":{"cancel":true,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000,"cpu-us-per-request":0.0,
 "cpu-us-per-s":600000,"max-open":30000,"max-retry-after-ns":500000000,"most-tries":4,"multiplex":32,"peers":true,
 "probes":false,"retry-after":false,"second-copies":false},
"charges":{"connection":0.0,"count-fee":0.0,"cross-zone":0.0,"discovery":0.0,"handshake":0.0,"late-fail":0.066,
 "peer":0.02,"probe":0.0,"waste":0.08},
"classes":[
 {"name":"job-status","dedup-scope":"all","give-up-ns":1500000000,"goal-time-ns":400000000,"late-share":0.0,
  "memory-span-ns":5000000000,"points":3.0,"semantics":"free","stream":false},
 {"name":"book-job","dedup-scope":"all","give-up-ns":2000000000,"goal-time-ns":750000000,"late-share":0.0,
  "memory-span-ns":5000000000,"points":5.0,"semantics":"single_shot","stream":false}],
"clients":{"marks-retry":true},
"contracts":[
 {"name":"corner","per-second":1.3,"peak-units":4.0,"at-once":0,"cap-depth":0.0,"ceiling-rate":0.0,"tolerance":0.0,
  "excess-cost":0.0,"over-worth":0.2,"pays":0.72},
 {"name":"business","per-second":9.3,"peak-units":14.0,"at-once":0,"cap-depth":0.0,"ceiling-rate":0.0,"tolerance":0.0,
  "excess-cost":0.5,"over-worth":0.0,"pays":1.2},
 {"name":"citywide","per-second":35.0,"peak-units":69.0,"at-once":0,"cap-depth":0.0,"ceiling-rate":0.0,"tolerance":0.0,
  "excess-cost":0.6,"over-worth":0.0,"pays":1.6}],
"discovery":"pushed","family":"gate","goal":{"whole":0.65,"worst-class":0.0,"worst-tenant":0.15,"worst-window":0.2},
"invariants":{"ask-within-ns":10000000000,"cold-from":0.15,"drain-grace-ns":1000000000,"fall-multiple":2.0,
 "grace-to-answer-ns":8000000,"tip-after-ns":1000000000,"warm-up-ns":15000000000},
"localities":["sandy-bay"],"quantum-ns":2000000,"skus":["small-2core"],
"specifics":{"counter-timeout-ns":0,"has-counter":false,"mail-per-s":40.0,"meter-ns":0,"most-units":2,"trued-up":false},
"stage":0,"stats":{"fields":["outstanding"],"source":"piggyback"},"tiers":["dispatch-fleet"],
"weight-source":"nominal","zone":"sandy-bay"}})";
  const auto config = folder + "/config.json";
  std::ofstream(config) << text;
  log_ = folder + "/log";
  const char* path = std::getenv("PATH");
  std::vector<std::string> environment{"ROUTER_NAME=n" + number,
                                       "ROUTER_LISTEN=" + address(port_),
                                       "ROUTER_DISCOVERY=" + address(discovery.port()),
                                       "ROUTER_CONFIG=" + config,
                                       "TMPDIR=" + own,
                                       "PATH=" + std::string(path ? path : "/usr/bin:/bin")};
  std::vector<char*> variables;
  for (auto& variable : environment) variables.push_back(variable.data());
  variables.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ < 0) throw CannotRun("cannot start a process");
  if (pid_ == 0) {
    const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::close_range(3, ~0U, 0);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it never outlives the case
    if (::chdir(place.root.c_str()) != 0) ::_exit(127);
    ::execle("/bin/sh", "sh", "-c", place.run.c_str(), nullptr, variables.data());
    ::_exit(127);
  }
  record_.line("gatekeeper n" + number + " is started on port " + std::to_string(port_) + ": " + place.run);
}

Gatekeeper::~Gatekeeper() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void Gatekeeper::wait_until_ready() {
  const auto end = Clock::now() + kReady;
  while (Clock::now() < end && runs()) {
    const auto socket = connect(port_);
    std::string in;
    if (socket.open()) {
      socket.write("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n", end);
      const auto answer = read_message(socket, in, Clock::now() + std::chrono::seconds(1));
      if (answer && answer->status() == 200) return record_.line("the gatekeeper is ready");
    }
    std::this_thread::sleep_for(kLook);
  }
  throw CannotRun("the gatekeeper is not ready");
}

void Gatekeeper::signal(int number, const char* name) {
  if (pid_ <= 0) return;
  record_.line(std::string(name) + " to the gatekeeper");
  ::kill(pid_, number);
}

bool Gatekeeper::runs() {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) == 0) return pid_ > 0;
  pid_ = -1;
  record_.line(WIFEXITED(status) ? "the gatekeeper has ended with " + std::to_string(WEXITSTATUS(status))
                                 : "the gatekeeper was ended by signal " + std::to_string(WTERMSIG(status)));
  return false;
}

Setting::Setting()
    : root(variable("CASE_ROOT")),
      run(variable("CASE_RUN")),
      folder(variable("CASE_FOLDER")),
      record(variable("CASE_RECORD")) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the case never outlives its script
  const char* value = std::getenv("TROUBLE");
  trouble = !value || std::string_view(value) != "0";
}

}  // namespace review
