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

cpu_set_t last_core() {
  cpu_set_t allowed;
  CPU_ZERO(&allowed);
  if (::sched_getaffinity(0, sizeof allowed, &allowed) != 0) throw std::runtime_error("no cores are known");
  std::size_t last = 0;
  for (std::size_t i = 0; i < CPU_SETSIZE; ++i) {
    if (CPU_ISSET(i, &allowed)) last = i;
  }
  cpu_set_t one;
  CPU_ZERO(&one);
  CPU_SET(last, &one);
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

BusyCore::BusyCore(pid_t program, std::size_t busy_processes) {
  const auto core = last_core();
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
  for (const auto pid : busy_) ::kill(pid, SIGKILL);
  for (const auto pid : busy_) ::waitpid(pid, nullptr, 0);
}

}  // namespace cranemux::testing
