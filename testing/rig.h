// A gatekeeper of several services with its stand-ins: writes the file, starts the program, steers it.
#pragma once

#include <signal.h>

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

// A file of services in parts, so that a test changes what it is about.
struct ServicesFile {
  std::string limits = "{sockets: 1024, memory_mb: 64}";
  std::string classes =
      "{job-status: {aim: 2s, give_up: 3s, worth: 3, repeat: safe}, book-job: {aim: 2s, give_up: 3s, worth: "
      "5, repeat: "
      "never}}";
  std::string plans = "{corner: {units_per_s: 2, burst: 6}, business: {units_per_s: 2000, burst: 4000}}";
  std::string tier;                          // none: alone
  std::string listeners;                     // none: one of the platform's form
  std::map<std::string, std::string> pools;  // by name: what stands in its braces
  std::vector<std::string> routes;           // what stands in the braces of each
  std::string text(int port) const;
};

class Rig {
 public:
  explicit Rig(std::string binary);

  Node& node(
      const std::string& name);  // made when it is first named; its address stands for `@name` in a pool
  ServicesFile file;
  void write();   // the file as it is now
  void start();   // writes it, starts the program, and waits until it is ready
  void reload();  // writes it and sends SIGHUP, then waits until that has been taken up
  std::string console(const std::string& command) {
    return testing::console(folder.path("console"), command);
  }
  std::size_t counter(const std::string& name, const std::string& pool = {});
  void drained(const std::string& pool, const std::string& node,
               bool drained);  // by the console, and the rules hear it

  const std::string binary;
  Stage stage;
  Rules rules;
  Folder folder;
  const int port;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::unique_ptr<Program> program;
  std::map<std::string, std::vector<std::string>> members;  // nodes by pool, as the file names them

 private:
  std::string filled(const std::string& text, const std::string& pool);
};

// Waits until somebody accepts there; false where none does, or `alive` says that none will.
bool wait_for_listener(int port, milliseconds most = milliseconds(20'000),
                       const std::function<bool()>& alive = {});

}  // namespace cranemux::testing
