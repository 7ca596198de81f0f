// Several gatekeepers of the program over a relay, with stand-in nodes that count and senders of every kind:
// a tier to stop, cut and restart while the rules look on.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "testing/relay.h"
#include "testing/rig.h"

namespace cranemux::testing {

struct Sender {
  std::string name;
  double rate = 10, burst = 20;  // of its plan
  double asks = 5;               // units a second
  std::string plan() const { return "p" + name.substr(14); }
  // Which gatekeeper its next request goes to; none: any.
  std::function<int()> to = {};
  double owed = 0;  // of the next request
};

class Tier {
 public:
  Tier(std::string binary, int gatekeepers, std::uint64_t seed);

  Sender& sender(double rate, double burst, double asks);  // before the start
  std::string quotas = "guarded";                          // the file's tier.quotas
  std::string more;  // of the file's tier: further keys, each with `, ` before it
  double messages_per_s = 200;
  bool graphql = false;  // the senders speak GraphQL: a reading operation, or one that books
  milliseconds safe_deadline{1500}, unsafe_deadline{2000};
  double leave = 0, in_pieces = 0;  // shares of the requests whose client leaves early, or sends slowly
  std::set<std::string> unlisted;   // nodes, by name, that the files leave out
  void start();                     // all, and waits until they listen
  void start(int gatekeeper);
  void kill(int gatekeeper);
  int exit_code(int gatekeeper) { return at(gatekeeper).program ? at(gatekeeper).program->wait() : -1; }
  Program& program(int gatekeeper) { return *at(gatekeeper).program; }
  // Its configuration, as at the start or so that it cannot be read.
  void write_file(int gatekeeper, bool faulty);
  // So many connections to it that say nothing, instead of those before.
  void crowd(int gatekeeper, int connections);
  bool listens(int gatekeeper);
  int port(int gatekeeper) { return at(gatekeeper).port; }
  std::size_t idle_connections(int gatekeeper) { return at(gatekeeper).client->idle_connections(); }
  const std::vector<Result>& results(int gatekeeper) const {
    return gatekeepers_[static_cast<std::size_t>(gatekeeper)].client->results();
  }
  void signal(int gatekeeper, int number) { at(gatekeeper).program->signal(number); }
  bool alive(int gatekeeper) { return at(gatekeeper).program && at(gatekeeper).program->alive(); }
  std::string console(int gatekeeper, const std::string& command) {
    return testing::console(path(gatekeeper, "console"), command);
  }
  std::string path(int gatekeeper, const std::string& name) const {
    return folder.path(name + std::to_string(gatekeeper));
  }
  // All senders ask at their pace; `step` is called every 10 ms with the time since the start of this
  // stretch.
  void play(milliseconds time, const std::function<void(milliseconds)>& step = {});
  void finish();  // until all that was sent has ended, or 5 s

  std::string logs;       // a folder that keeps them; none: they go with the test
  std::set<int> leaving;  // clients go on there on open connections only
  std::set<int> absent;   // no client goes there
  std::function<void(const Ask&, const Result&)> answered;
  std::string path_of_log(int gatekeeper) const {
    return logs.empty() ? path(gatekeeper, "log") : logs + "/log" + std::to_string(gatekeeper);
  }

  Stage stage;
  Rules rules;
  Folder folder;
  std::unique_ptr<Relay> relay;
  std::vector<std::unique_ptr<Sender>> senders;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Node>> nodes;
  std::size_t asked = 0, refused = 0, served = 0, failed = 0;

 private:
  struct Gatekeeper {
    int port = 0, mail_port = 0;
    std::unique_ptr<Program> program;
    std::unique_ptr<Client> client;
    std::vector<net::tcp::socket> crowd;
  };
  Gatekeeper& at(int i) { return gatekeepers_[static_cast<std::size_t>(i)]; }
  std::string file_of(int gatekeeper) const;
  void speak_graphql();
  Ask make_ask(const Sender& sender);
  bool takes(int gatekeeper);
  void ask(Sender& sender);

  double draw() { return static_cast<double>(random() % 1000) / 1000; }

  const std::string binary_;
  std::vector<Gatekeeper> gatekeepers_;
};

}  // namespace cranemux::testing
