// Stand-ins for the review's cases: a client, workers, discovery's agent and the platform, each as the
// operators' pages describe them. Plain POSIX sockets and threads, no library beyond the C++ standard.
//
// Units: times are std::chrono durations, or milliseconds since the record began where a record line shows
// them; sizes are bytes. Errors: what keeps a case from running throws CannotRun, which a case's main turns
// into exit code 2; what a peer does on the wire comes back as a value. Source: the page that each item's
// comment names, under given/.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The case could not be played: exit code 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// record.txt, which run.sh has begun: one line for each thing that was run, sent or answered, with
// milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void line(const std::string& text);
  // The lines of a process's log, as far as `shown` says so.
  void quote(const std::string& path, const std::function<bool(const std::string&)>& shown);

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

// A file descriptor that is closed with its holder.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }
  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void close();

  // Writes all by `until`. Returns how many bytes the system has taken.
  std::size_t write(std::string_view bytes, Clock::time_point until) const;
  // Appends what comes by `until`. `more`: something came; `ended`: an orderly end; `broken`: a reset.
  enum class Read { more, nothing, ended, broken };
  Read read(std::string& into, Clock::time_point until) const;

 private:
  int fd_ = -1;
};

// Listens on 127.0.0.1, on a port that the system chooses. `receive_buffer`: bytes, 0 for the system's own.
struct Listener {
  explicit Listener(int receive_buffer = 0);
  Socket socket;
  int port = 0;
};
int free_port();           // on 127.0.0.1, not in use at the moment
Socket connect(int port);  // to 127.0.0.1; not open where nobody listens

// One message of HTTP/1.1 whose body has a Content-Length, is chunked, or is absent.
struct Message {
  std::string start, body;
  std::map<std::string, std::string> fields;  // by name in lower case
  std::string field(const std::string& name) const;
  int status() const;  // of an answer; 0 where it is none
  std::string head;    // as it came
};
enum class Parsed { whole, partial, bad };
// Takes one whole message off the front of `buffer`. `body`: false takes the head alone.
Parsed take_message(std::string& buffer, Message& message, bool body = true);
// Reads one whole message by `until`. Returns none at a time-out or an end before its last byte.
std::optional<Message> read_message(const Socket& socket, std::string& buffer, Clock::time_point until);

// What a client asks for. Source: docs/PROTOCOL-cranemux.md, "Clients to gatekeepers".
struct Request {
  std::string id, klass = "job-status", plan = "citywide";
  unsigned customer = 1;
  milliseconds deadline{1500};  // `Req-Deadline-Ms`
  int units = 1;
  std::string body;          // of a POST
  std::string text() const;  // the whole request; GET for `job-status`, POST for `book-job`
};

// A worker: accepts connections and lets `serve` play one request. Source: docs/PROTOCOL-cranemux.md,
// "Gatekeepers to workers". It counts how often each request id has run, by `ran`.
class Worker {
 public:
  // Called on a thread of its own for each connection, until it returns or `stopping`.
  using Serve = std::function<void(Worker&, Socket&)>;
  Worker(std::string name, Record& record, Serve serve, int receive_buffer = 0);
  ~Worker();
  const std::string name;
  int port() const { return listener_.port; }
  bool stopping() const { return stopping_; }
  void ran(const std::string& id);
  std::map<std::string, int> runs();
  Record& record;

 private:
  void accept();
  Listener listener_;
  Serve serve_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};
// 200 with `body`.
std::string good_answer(const std::string& body);

// Discovery's agent on the gatekeeper's machine: answers a call with the whole list at once and keeps a watch
// open with an empty line every 2 s. Source: docs/PROTOCOL-cranemux.md, "Discovery".
class Discovery {
 public:
  explicit Discovery(Record& record);
  ~Discovery();
  int port() const { return listener_.port; }
  void list(const std::string& name, int port);  // an active worker that started long ago
  std::string whole_list();                      // as JSON

 private:
  void accept();
  void serve(Socket socket);
  Listener listener_;
  Record& record_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::map<std::string, int> workers_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// A gatekeeper of the small deployment, started as the platform starts it: `/bin/sh -c` with the deploy
// file's `run` from the repository's root, with a configuration and a $TMPDIR of its own. Source:
// docs/DEPLOY-cranemux.md.
class Gatekeeper {
 public:
  struct Place {
    std::string root, run, folder;  // the repository, the deploy file's `run`, a temporary folder
    int index = 0;                  // its number in the settings
    std::vector<int> peer_ports;    // of all gatekeepers, in that order
  };
  Gatekeeper(const Place& place, Discovery& discovery, Record& record);
  ~Gatekeeper();  // SIGKILL, where it still runs
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  const std::string& log() const { return log_; }
  void wait_until_ready();  // GET /health/ready says 200; CannotRun after 30 s
  void signal(int number, const char* name);
  bool runs();  // false once it has ended; then the record has how

 private:
  Record& record_;
  std::string log_;
  int port_ = 0;
  pid_t pid_ = -1;
};

// Variables that run.sh sets: CASE_ROOT, CASE_RUN, CASE_FOLDER (temporary), CASE_RECORD, and TROUBLE, where
// "0" leaves the disruption out.
struct Setting {
  Setting();
  std::string root, run, folder, record;
  bool trouble = true;
};

}  // namespace review
