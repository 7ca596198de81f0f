#include "testing/program.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace cranemux::testing {

// Below the range that the kernel deals out for connections, and a part of it for each process: a port that
// is free now is then still free when the program binds it.
int free_port() {
  constexpr int kFirst = 10'000, kProcesses = 1000, kEach = 20;
  static int next = 0;
  for (int tries = 0; tries < kEach; ++tries) {
    const int port = kFirst + (::getpid() % kProcesses) * kEach + next++ % kEach;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    if (free) return port;
  }
  throw std::runtime_error("no free port");
}

Folder::Folder() {
  auto pattern = (std::filesystem::temp_directory_path() / "cranemux-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) throw std::runtime_error("no folder for the test");
  path_ = pattern;
}

Folder::~Folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

std::string Folder::write(const std::string& name, const std::string& text) const {
  // Written beside and renamed: the program may read it at any moment.
  std::ofstream(path(name + ".new")) << text;
  std::filesystem::rename(path(name + ".new"), path(name));
  return path(name);
}

Program::Program(const std::string& binary, const std::vector<std::string>& arguments,
                 const std::map<std::string, std::string>& environment, const std::string& log,
                 int inherited) {
  std::vector<char*> words{const_cast<char*>(binary.c_str())};
  for (const auto& argument : arguments) words.push_back(const_cast<char*>(argument.c_str()));
  words.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ != 0) return;
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(out, 1);
  ::dup2(out, 2);
  if (inherited >= 0) {
    ::dup2(inherited, 4);
    ::fcntl(4, F_SETFD, 0);
  }
  ::close_range(inherited >= 0 ? 5 : 3, ~0U, 0);
  for (const auto* name : {"ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG",
                           "ROUTER_MANAGEMENT", "ROUTER_SOCKET_FD"})
    ::unsetenv(name);
  for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
  ::execv(binary.c_str(), words.data());
  std::_Exit(127);
}

Program::~Program() {
  if (pid_ == 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void Program::signal(int number) const {
  if (pid_ != 0) ::kill(pid_, number);
}

void Program::stop() const {
  signal(SIGSTOP);
  siginfo_t ignored{};
  ::waitid(P_PID, static_cast<id_t>(pid_), &ignored, WSTOPPED | WEXITED | WNOWAIT);
}

bool Program::alive() {
  int status = 0;
  if (pid_ == 0 || ::waitpid(pid_, &status, WNOHANG) == 0) return pid_ != 0;
  pid_ = 0;
  code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return false;
}

int Program::wait() {
  int status = 0;
  if (pid_ != 0 && ::waitpid(pid_, &status, 0) == pid_) {
    pid_ = 0;
    code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  return code_;
}

std::string Program::status_line(const std::string& name) const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(name + ":")) return line.substr(name.size() + 1);
  }
  return "0";
}

bool Program::catches(int signal) const {
  return (std::stoull(status_line("SigCgt"), nullptr, 16) >> static_cast<unsigned>(signal - 1) & 1U) != 0;
}

long Program::resident_kb() const { return std::stol(status_line("VmRSS")); }
long Program::peak_resident_kb() const { return std::stol(status_line("VmHWM")); }

double Program::cpu_s() const {
  std::FILE* in = std::fopen(("/proc/" + std::to_string(pid_) + "/stat").c_str(), "r");
  unsigned long user = 0, system = 0;
  const int got =
      in ? std::fscanf(in, "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system) : 0;
  if (in) std::fclose(in);
  return got == 2 ? static_cast<double>(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK)) : 0;
}

int run(const std::string& binary, const std::vector<std::string>& arguments, std::string& output) {
  const Folder folder;
  Program program(binary, arguments, {}, folder.path("out"));
  const int code = program.wait();
  std::ifstream in(folder.path("out"));
  output.assign(std::istreambuf_iterator<char>(in), {});
  return code;
}

std::string console(const std::string& socket, const std::string& command) {
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  socket.copy(at.sun_path, sizeof at.sun_path - 1);
  std::string out;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
    const auto line = command + "\n";
    if (::send(fd, line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size())) {
      ::shutdown(fd, SHUT_WR);
      char piece[4096];
      for (ssize_t got; (got = ::recv(fd, piece, sizeof piece, 0)) > 0;) {
        out.append(piece, static_cast<std::size_t>(got));
      }
    }
  }
  ::close(fd);
  return out;
}

}  // namespace cranemux::testing
