// The program under test as a process: started with files in a folder of its own, ended with it.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace cranemux::testing {

int free_port();  // on loopback

// A folder for one test's files, removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string path(const std::string& name) const { return path_ + "/" + name; }
  std::string write(const std::string& name, const std::string& text) const;  // returns the path

 private:
  std::string path_;
};

class Program {
 public:
  // `log`: a file that takes standard output and error. `inherited`: what it gets as descriptor 4; nothing
  // else of ours stays open there.
  Program(const std::string& binary, const std::vector<std::string>& arguments,
          const std::map<std::string, std::string>& environment, const std::string& log, int inherited = -1);
  ~Program();  // kills it, if it is still there
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void signal(int number) const;
  void stop() const;  // by SIGSTOP; returns once it has stopped
  bool alive();
  int wait();                      // its exit code; -1 if a signal ended it
  bool catches(int signal) const;  // has it a handler for it, yet?
  long resident_kb() const;
  long peak_resident_kb() const;
  double cpu_s() const;  // of processor so far
  pid_t pid() const { return pid_; }

 private:
  std::string status_line(const std::string& name) const;  // of /proc; "0": it has gone
  pid_t pid_ = 0;
  int code_ = 0;
};

// Runs it to its end. Its output goes to `output`.
int run(const std::string& binary, const std::vector<std::string>& arguments, std::string& output);

// One command on a console's Unix socket, and its answer.
std::string console(const std::string& socket, const std::string& command);

}  // namespace cranemux::testing
