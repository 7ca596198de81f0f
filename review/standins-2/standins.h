// Stand-ins of the second review: what the cases need to play clients, servers and the platform against the
// real program. Blocking sockets, a thread for each connection. All addresses are 127.0.0.1 with free ports.
// Errors come as values: no call here throws, and what cannot be set up ends the case with kNotRun.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;

// Milliseconds since the case started.
long now_ms();
void sleep_ms(long ms);
// A number from 0 to under 1, from the case's own generator, which is seeded by the system.
double random_fraction();
// Whether the case plays its disruption: not with TROUBLE=0 in the environment.
bool trouble();

// The file record.txt of a case: a line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  template <typename... Parts>
  void line(const Parts&... parts) {
    std::ostringstream text;
    (text << ... << parts);
    write(text.str(), false);
  }
  // A line that is also printed.
  template <typename... Parts>
  void result(const Parts&... parts) {
    std::ostringstream text;
    (text << ... << parts);
    write(text.str(), true);
  }

 private:
  void write(const std::string& text, bool prints);
  std::mutex mutex_;
  std::ofstream out_;
};

// Ends the case as one that could not run.
[[noreturn]] void not_run(const std::string& why);

// ---- HTTP/1.1 ----

struct Message {
  std::string first_line;                     // of a request or an answer, without its end
  std::map<std::string, std::string> fields;  // by name in lower case
  std::string body;
  std::string raw;  // all its bytes
  int status() const { return first_line.size() >= 12 ? std::atoi(first_line.c_str() + 9) : 0; }
  std::string field(const std::string& name) const;  // empty: not there
};

// One TCP connection. Not thread-safe but for `shut`, and for `send` beside `read`.
class Connection {
 public:
  explicit Connection(int fd = -1) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  bool open(int port);  // to 127.0.0.1
  bool is_open() const { return fd_ >= 0; }
  bool send(std::string_view bytes);
  // The next message; none at the connection's end, or when none has come whole by `until`.
  std::optional<Message> read(Clock::time_point until = Clock::time_point::max());
  std::string read_rest(Clock::time_point until);     // all bytes up to the connection's end
  bool has_input() const;                             // bytes have come that were not read yet
  bool has_buffered() const { return !in_.empty(); }  // bytes came together with the last message
  bool ended() const { return ended_; }               // the other side has closed or reset it
  void shut();                                        // ends both directions; a `read` elsewhere returns
  void close();
  void reset();  // closes it with a reset

 private:
  bool more(Clock::time_point until);
  int fd_;
  std::string in_;
  bool ended_ = false;
};

int free_port();

// Accepts connections on a free port, and plays `serve` on each in a thread of its own until the case ends.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;
  explicit Server(Serve serve);
  ~Server();
  int port() const { return port_; }

 private:
  void accept();
  int fd_ = -1, port_ = 0;
  std::atomic<bool> ends_{false};
  Serve serve_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
};

// ---- the program ----

// A folder for the case's files, removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  const std::string& path() const { return path_; }
  // Writes a file beside and renames it: the program may read it at any moment. Returns its path.
  std::string write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

// A gatekeeper as the platform runs it: `run` of deploy/balancer.toml, by /bin/sh, from the repository's
// root.
class Gatekeeper {
 public:
  // `arguments`: behind the command of the deploy file. `environment`: besides that of the case.
  Gatekeeper(const std::string& arguments, const std::map<std::string, std::string>& environment,
             const std::string& log);
  ~Gatekeeper();  // SIGTERM, and SIGKILL where that is not heeded
  void signal(int number) const;
  // Whether it runs. Where it does not, `ended` says how.
  bool runs();
  const std::string& ended() const { return ended_; }
  // Waits until GET /health/ready is answered with 200 on that port.
  bool ready(int port, milliseconds most = milliseconds(20'000));
  // Waits until it has ended, for so long at most.
  bool wait(milliseconds most);

 private:
  pid_t pid_ = -1;
  std::string ended_;
};

// A configuration for one gatekeeper of a small deployment, in the form of the deployment page: the classes
// and plans of the site hobart-dispatch, its limits and time-outs within the ranges of the site file.
struct Site {
  int port = free_port();
  int index = 0;                           // of this gatekeeper
  std::vector<int> peers = {free_port()};  // a port for each gatekeeper of the tier
  int discovery = free_port();             // where nobody listens, unless a case says otherwise
  std::vector<int> workers;                // their ports
  int management = 0;                      // 0: none
  std::string json() const;
};

// A request in the form of the protocol page.
struct Request {
  std::string id, klass = "job-status", plan = "citywide";
  unsigned customer = 1;
  int deadline_ms = 1500, first = 0;  // `first`: the one gatekeeper of the customer's set
  std::string text() const;
};

}  // namespace standins
