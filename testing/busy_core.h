// A core that a program shares with processes that never rest, as where several gatekeepers and their clients
// share a machine.
#pragma once

#include <sched.h>
#include <sys/types.h>

#include <cstddef>
#include <vector>

namespace cranemux::testing {

class BusyCore {
 public:
  // Moves the process `program` to one core, the last that this process may use, where so many others are
  // busy.
  BusyCore(pid_t program, std::size_t busy_processes);
  ~BusyCore();  // ends them
  BusyCore(const BusyCore&) = delete;
  BusyCore& operator=(const BusyCore&) = delete;

 private:
  const pid_t program_;
  cpu_set_t before_{};  // cores of the program
  std::vector<pid_t> busy_;
};

}  // namespace cranemux::testing
