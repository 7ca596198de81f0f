#include "testing/busy_core.h"

#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>

namespace cranemux::testing {
namespace {

// One of them, another one for other processes where it can be.
cpu_set_t one_of(const cpu_set_t& allowed, pid_t process) {
  std::vector<std::size_t> cores;
  for (std::size_t i = 0; i < CPU_SETSIZE; ++i) {
    if (CPU_ISSET(i, &allowed)) cores.push_back(i);
  }
  cpu_set_t one;
  CPU_ZERO(&one);
  CPU_SET(cores.at(static_cast<std::size_t>(process) % cores.size()), &one);
  return one;
}

[[noreturn]] void stay_busy(const cpu_set_t& core, pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::close_range(3, ~0U, 0);  // the test's sockets
  if (::getppid() != parent || ::sched_setaffinity(0, sizeof core, &core) != 0) ::_exit(1);
  for (std::atomic<unsigned> turns{0};; ++turns) {
  }
}

}  // namespace

BusyCore::BusyCore(pid_t program, std::size_t busy_processes) : program_(program) {
  if (::sched_getaffinity(program, sizeof before_, &before_) != 0)
    throw std::runtime_error("no cores are known");
  const auto core = one_of(before_, program);
  if (::sched_setaffinity(program, sizeof core, &core) != 0)
    throw std::runtime_error("the core cannot be set");
  const auto parent = ::getpid();
  for (std::size_t i = 0; i < busy_processes; ++i) {
    const auto pid = ::fork();
    if (pid == 0) stay_busy(core, parent);
    if (pid > 0) busy_.push_back(pid);
  }
}

BusyCore::~BusyCore() {
  ::sched_setaffinity(program_, sizeof before_, &before_);  // it may have ended
  for (const auto pid : busy_) ::kill(pid, SIGKILL);
  for (const auto pid : busy_) ::waitpid(pid, nullptr, 0);
}

}  // namespace cranemux::testing
