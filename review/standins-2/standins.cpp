#include "standins.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <set>
#include <utility>

namespace standins {
namespace {

const Clock::time_point kStart = Clock::now();
constexpr std::size_t kPiece = 64 * 1024;

sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

constexpr std::chrono::seconds kLongest{118};  // of a case: it may take 120 s

// What a case has to end and to remove, however it ends itself.
struct Owned {
  std::mutex mutex;
  std::set<pid_t> processes;
  std::set<std::string> folders;
};
Owned& owned() {
  static auto* const all = new Owned;  // never destroyed: a signal may come while the process ends
  return *all;
}

// Ends all processes that the case has started, removes its folders, and ends the case.
[[noreturn]] void end_case(int code) {
  auto& all = owned();
  const std::lock_guard hold(all.mutex);
  for (const auto pid : all.processes) ::kill(pid, SIGKILL);
  for (const auto pid : all.processes) ::waitpid(pid, nullptr, 0);
  std::error_code ignored;
  for (const auto& folder : all.folders) std::filesystem::remove_all(folder, ignored);
  std::_Exit(code);
}

sigset_t ending_signals() {
  sigset_t set;
  ::sigemptyset(&set);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) ::sigaddset(&set, number);
  return set;
}

// A case that is told to end, takes too long or throws has not run: exit code 2, and nothing is left behind.
const bool kGuarded = [] {
  std::set_terminate([] {
    std::cerr << "not run: an exception" << std::endl;
    end_case(kNotRun);
  });
  const auto signals = ending_signals();
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([signals] {
    const timespec longest{kLongest.count(), 0};
    const int got = ::sigtimedwait(&signals, nullptr, &longest);
    not_run(got > 0 ? "signal " + std::to_string(got) : "it takes longer than a case may");
  }).detach();
  return true;
}();

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

// Reads the key `run` of the deploy file; the cases are started from the repository's root.
std::string run_command() {
  std::ifstream in("deploy/balancer.toml");
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with("run = \"")) continue;
    return line.substr(7, line.rfind('"') - 7);
  }
  not_run("deploy/balancer.toml has no key run");
}

// The length of the head in `in`, with its end; 0: not whole yet.
std::size_t head_of(const std::string& in, Message& out) {
  const auto end = in.find("\r\n\r\n");
  if (end == std::string::npos) return 0;
  std::istringstream lines(in.substr(0, end));
  std::getline(lines, out.first_line);
  if (out.first_line.ends_with('\r')) out.first_line.pop_back();
  for (std::string line; std::getline(lines, line);) {
    if (line.ends_with('\r')) line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    out.fields[lower(line.substr(0, colon))] = value;
  }
  return end + 4;
}

}  // namespace

long now_ms() { return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart).count(); }

void sleep_ms(long ms) { std::this_thread::sleep_for(milliseconds(ms)); }

double random_fraction() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

bool trouble() {
  const char* told = std::getenv("TROUBLE");
  return !told || std::string_view(told) != "0";
}

void Record::write(const std::string& text, bool prints) {
  const std::lock_guard hold(mutex_);
  out_ << now_ms() << " ms " << text << '\n' << std::flush;
  if (prints) std::cout << text << std::endl;
}

void not_run(const std::string& why) {
  std::cerr << "not run: " << why << std::endl;
  end_case(kNotRun);
}

std::string Message::field(const std::string& name) const {
  const auto at = fields.find(name);
  return at == fields.end() ? std::string() : at->second;
}

Connection::~Connection() { close(); }

bool Connection::open(int port) {
  close();
  in_.clear();
  ended_ = false;
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto at = loopback(port);
  if (fd_ >= 0 && ::connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }
  close();
  return false;
}

bool Connection::send(std::string_view bytes) {
  while (fd_ >= 0 && !bytes.empty()) {
    const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return fd_ >= 0;
}

bool Connection::more(Clock::time_point until) {
  while (fd_ >= 0) {
    int wait = -1;
    if (until != Clock::time_point::max()) {
      const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
      if (left < 0) return false;
      wait = static_cast<int>(left) + 1;
    }
    pollfd look{fd_, POLLIN, 0};
    const int ready = ::poll(&look, 1, wait);
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    char piece[kPiece];
    const auto got = ::recv(fd_, piece, sizeof piece, 0);
    if (got > 0) in_.append(piece, static_cast<std::size_t>(got));
    if (got <= 0) ended_ = true;
    return got > 0;
  }
  return false;
}

std::optional<Message> Connection::read(Clock::time_point until) {
  for (;;) {
    Message out;
    if (const auto head = head_of(in_, out); head > 0) {
      const auto length = static_cast<std::size_t>(std::atol(out.field("content-length").c_str()));
      if (in_.size() >= head + length) {
        out.body = in_.substr(head, length);
        out.raw = in_.substr(0, head + length);
        in_.erase(0, head + length);
        return out;
      }
    }
    if (!more(until)) return std::nullopt;
  }
}

std::string Connection::read_rest(Clock::time_point until) {
  while (more(until)) {
  }
  return std::exchange(in_, {});
}

bool Connection::has_input() const {
  char byte = 0;
  return !in_.empty() || (fd_ >= 0 && ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0);
}

void Connection::shut() {
  if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
}

void Connection::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

void Connection::reset() {
  const linger now{1, 0};
  if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close();
}

// Below the range that the system deals out for connections, and none twice: a port that is free now is then
// still free when a program binds it.
int free_port() {
  constexpr int kFirst = 12'000, kLast = 31'000, kTries = 1000;
  static std::mutex mutex;
  static std::set<int> dealt;
  const std::lock_guard hold(mutex);
  for (int i = 0; i < kTries; ++i) {
    const int port = kFirst + static_cast<int>(random_fraction() * (kLast - kFirst));
    if (!dealt.insert(port).second) continue;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = loopback(port);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    if (free) return port;
  }
  not_run("no free port");
}

Server::Server(Serve serve) : serve_(std::move(serve)) {
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto at = loopback(0);
  socklen_t size = sizeof at;
  if (::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 256) != 0 ||
      ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    not_run("no listening socket");
  }
  port_ = ntohs(at.sin_port);
  threads_.emplace_back([this] { accept(); });
}

Server::~Server() {
  ends_ = true;
  ::shutdown(fd_, SHUT_RDWR);
  threads_.front().join();
  ::close(fd_);
  {
    const std::lock_guard hold(mutex_);
    for (auto& connection : connections_) connection->shut();
  }
  for (std::size_t i = 1; i < threads_.size(); ++i) threads_[i].join();
}

void Server::accept() {
  while (!ends_) {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (ends_) return;
      sleep_ms(5);
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard hold(mutex_);
    connections_.push_back(std::make_unique<Connection>(fd));
    threads_.emplace_back([this, &connection = *connections_.back()] {
      serve_(connection);
      connection.shut();
    });
  }
}

Folder::Folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) not_run("no temporary folder");
  path_ = pattern;
  const std::lock_guard hold(owned().mutex);
  owned().folders.insert(path_);
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string Folder::write(const std::string& name, const std::string& text) const {
  const auto path = path_ + "/" + name;
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
  return path;
}

Gatekeeper::Gatekeeper(const std::string& arguments, const std::map<std::string, std::string>& environment,
                       const std::string& log) {
  const auto command = run_command() + " " + arguments;
  const auto parent = ::getpid();
  {
    const std::lock_guard hold(owned().mutex);
    pid_ = ::fork();
    if (pid_ > 0) owned().processes.insert(pid_);
  }
  if (pid_ < 0) not_run("no process");
  if (pid_ != 0) return;
  const auto signals = ending_signals();
  ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
  if (::getppid() != parent) std::_Exit(127);
  if (!std::freopen(log.c_str(), "a", stderr) || ::dup2(2, 1) < 0) std::_Exit(127);
  for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
  ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
  std::_Exit(127);
}

Gatekeeper::~Gatekeeper() {
  if (!runs()) return;
  signal(SIGTERM);
  if (wait(milliseconds(5000))) return;
  signal(SIGKILL);
  wait(milliseconds(2000));
}

void Gatekeeper::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

bool Gatekeeper::runs() {
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    ended_ = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                 : "with exit code " + std::to_string(WEXITSTATUS(status));
    const std::lock_guard hold(owned().mutex);
    owned().processes.erase(pid_);
    pid_ = -1;
  }
  return pid_ > 0;
}

bool Gatekeeper::wait(milliseconds most) {
  for (const auto end = Clock::now() + most; runs() && Clock::now() < end;) sleep_ms(5);
  return !runs();
}

bool Gatekeeper::ready(int port, milliseconds most) {
  for (const auto end = Clock::now() + most; runs() && Clock::now() < end; sleep_ms(10)) {
    Connection connection;
    if (!connection.open(port)) continue;
    connection.send("GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
    const auto answer = connection.read(Clock::now() + milliseconds(500));
    if (answer && answer->status() == 200) return true;
  }
  return false;
}

std::string Site::json() const {
  const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::string out = "{\"name\":\"n" + std::to_string(index) + "\",\"listen\":" + address(port) +
                    ",\"discovery\":" + address(discovery) + ",\"seed\":\"8c1f30d27a5be96" +
                    std::to_string(index) +
                    "\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":1024},\"peer_listen\":" +
                    address(peers[static_cast<std::size_t>(index)]) + ",\"peers\":[";
  for (std::size_t i = 0; i < peers.size(); ++i) out += (i > 0 ? "," : "") + address(peers[i]);
  out += "],";
  if (management > 0) out += "\"management\":" + address(management) + ",";
  out += "\"known\":{\"index\":1,\"snapshot\":true,\"endpoints\":[";
  for (std::size_t i = 0; i < workers.size(); ++i) {
    out += std::string(i > 0 ? "," : "") + "{\"name\":\"s-" + std::to_string(i) +
           "\",\"address\":" + address(workers[i]) +
           ",\"zone\":\"sandy-bay\",\"type\":\"small-2core\",\"group\":0,\"status\":\"active\","
           "\"weight\":1.0,\"since_ms\":0}";
  }
  out += "]},\"settings\":{\"balancers\":" + std::to_string(peers.size()) +
         ",\"index\":" + std::to_string(index);
  return out + R"(,"zone":"sandy-bay","localities":["sandy-bay"],
  "skus":["small-2core"],"tiers":["dispatch-fleet"],"family":"gate","stage":0,"quantum-ns":2000000,
  "discovery":"pushed","weight-source":"nominal","clients":{"marks-retry":true},
  "caps":{"cancel":true,"peers":true,"probes":false,"second-copies":false,"retry-after":false,"most-tries":4,
    "max-retry-after-ns":500000000,"conn-idle-ns":30000000000,"connect-timeout-ns":250000000},
  "invariants":{"drain-grace-ns":1000000000,"cold-from":0.15,"warm-up-ns":15000000000,"fall-multiple":2.0,
    "tip-after-ns":1000000000,"grace-to-answer-ns":8000000},
  "stats":{"fields":["outstanding"],"source":"piggyback"},
  "specifics":{"most-units":4,"mail-per-s":40.0,"has-counter":false,"trued-up":false},
  "classes":[
    {"name":"job-status","goal-time-ns":400000000,"give-up-ns":1500000000,"points":3,"semantics":"free"},
    {"name":"book-job","goal-time-ns":750000000,"give-up-ns":2000000000,"points":5,"semantics":"single_shot"}],
  "contracts":[
    {"name":"corner","per-second":1.6,"peak-units":6,"pays":0.72,"over-worth":0.2,"excess-cost":0},
    {"name":"business","per-second":8,"peak-units":16,"pays":1.2,"over-worth":0,"excess-cost":0.5},
    {"name":"citywide","per-second":32,"peak-units":64,"pays":1.6,"over-worth":0,"excess-cost":0.6}]}})";
}

std::string Request::text() const {
  char cookie[17];
  std::snprintf(cookie, sizeof cookie, "%016x", customer);
  const bool books = klass == "book-job";
  return std::string(books ? "POST" : "GET") + " /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id +
         "\r\nReq-Kind: " + klass + "\r\nX-Tier: " + plan + "\r\nCookie: client=" + cookie +
         "\r\nReq-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nX-Call-Terms: units=1,spread=1,first=" + std::to_string(first) + "\r\n" +
         (books ? "Content-Length: 0\r\n" : "") + "\r\n";
}

}  // namespace standins
