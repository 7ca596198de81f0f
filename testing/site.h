// One gatekeeper on the platform's protocol, run as the platform runs it: a configuration in JSON, a place
// where operators call, and, where a test asks for it, an inherited listening socket that several lives
// share.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/client.h"
#include "testing/node.h"
#include "testing/program.h"
#include "testing/rules.h"
#include "testing/stage.h"

namespace cranemux::testing {

class Site {
 public:
  explicit Site(std::string binary, bool inherits = false);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  Node& node(const std::string& name);           // before the start
  std::map<std::string, std::string> elsewhere;  // further nodes, that the test plays itself, by name
  struct Life {
    std::unique_ptr<Program> program;
    int management = 0;  // its port
  };
  // Starts one more process and waits until it answers `check` with yes; or not, where `ready` is false.
  Life& start(bool ready = true);
  Life& life() { return lives_.back(); }

  // One line, and the whole answer. Empty: nobody answered.
  std::string call(const Life& life, const std::string& line);
  std::string call(const std::string& line) { return call(life(), line); }
  // A figure of `vars`, as `router_pending` or `router_upstream_requests{lane="job-status"}`; -1: not there.
  long figure(const Life& life, const std::string& name);
  long figure(const std::string& name) { return figure(life(), name); }
  bool ready(const Life& life) { return call(life, "check").starts_with("done"); }
  std::string configuration() const;  // as the next process is given it
  int health();                       // the status of GET /health/ready
  std::string log(std::size_t life);

  std::string limits = "{\"sockets\":384,\"memory_mb\":48}";
  std::string classes =
      R"([{"name":"job-status","goal-time-ns":2000000000,"give-up-ns":4000000000,"points":3,"semantics":"free"},)"
      R"({"name":"book-job","goal-time-ns":2000000000,"give-up-ns":4000000000,"points":5,)"
      R"("semantics":"single_shot"}])";
  std::string plans = R"([{"name":"corner","per-second":1,"peak-units":4,"pays":0.72},)"
                      R"({"name":"business","per-second":2000,"peak-units":4000,"pays":1.2}])";
  const std::string binary;
  Stage stage;
  Rules rules;
  Folder folder;
  int port = 0;
  int mail_port() const { return mail_; }   // where other gatekeepers' messages come
  std::map<std::string, std::string> more;  // environment

 private:
  int socket_ = -1;
  const int mail_ = free_port();
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::list<Life> lives_;
};

}  // namespace cranemux::testing
