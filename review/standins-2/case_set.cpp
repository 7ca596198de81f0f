// Bad clients, whose units and sets are out of range or not a number, under a usual customer's name. Each is
// owed an error or a close within 3 s, and none may be served as if its request were sound.
#include "standins.h"

namespace {

using namespace standins;

constexpr int kWorkers = 2, kRounds = 10;
constexpr long kOwed = 3000, kSlack = 50, kWork = 20;  // ms

// What X-Call-Terms holds; none of it is a set of gatekeepers, or a number of units.
constexpr const char* kBad[] = {
    "units=,spread=1,first=0",    "units=x,spread=1,first=0",  "units=0,spread=1,first=0",
    "units=-1,spread=1,first=0",  "units=99,spread=1,first=0", "units=1,spread=x,first=0",
    "units=1,spread=-1,first=0",  "units=1,spread=0,first=0",  "units=1,spread=99,first=0",
    "units=1,spread=1.5,first=0", "units=1,spread=1,first=x",  "units=1,spread=1,first=-1",
    "units=1,spread=1,first=99",  "units=1,spread=,first=0",   "units=1,spread=1,first=",
    "units=1,spread=,first=",
};

struct Case {
  Record& record;
  std::atomic<int> usual{0}, usual_failed{0}, errors{0}, served{0}, unanswered{0};

  void work(Connection& connection) {
    while (const auto request = connection.read()) {
      sleep_ms(kWork);
      const auto id = request->field("req-id");
      record.line("worker: ran ", id);
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id);
    }
  }

  std::optional<Message> ask(int port, const std::string& id, const std::string& terms) {
    Connection connection;
    if (!connection.open(port)) return std::nullopt;
    Request request;
    request.id = id;
    auto text = request.text();
    if (!terms.empty()) {
      const std::string begin = "X-Call-Terms: ";
      const auto at = text.find(begin) + begin.size();
      text.replace(at, text.find("\r\n", at) - at, terms);
    }
    record.line("client: sends ", id, " with terms \"", terms, '"');
    connection.send(text);
    auto answer = connection.read(Clock::now() + milliseconds(kOwed + kSlack));
    record.line("client: ", id,
                answer ? " answered with " + std::to_string(answer->status())
                       : std::string(connection.ended() ? " closed" : " got nothing"));
    if (!answer && !connection.ended()) ++unanswered;
    return answer;
  }
};

}  // namespace

int main(int count, char** arguments) {
  if (count != 2) not_run("usage: case_set RECORD");
  Record record(arguments[1]);
  const Folder folder;
  Case play{record};
  std::vector<std::unique_ptr<Server>> workers;
  Site site;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Server>([&play](Connection& c) { play.work(c); }));
    site.workers.push_back(workers.back()->port());
  }
  const auto config = folder.write("config.json", site.json());
  Gatekeeper gatekeeper("", {{"ROUTER_CONFIG", config}, {"TMPDIR", folder.path()}}, folder.path() + "/log");
  if (!gatekeeper.ready(site.port)) not_run("the gatekeeper is not ready");
  int number = 0;
  for (int round = 0; round < kRounds; ++round) {
    const auto answer = play.ask(site.port, "usual-" + std::to_string(round), "");
    ++(answer && answer->status() == 200 ? play.usual : play.usual_failed);
    for (const auto* terms : kBad) {
      if (!trouble()) break;
      const auto id = "bad-" + std::to_string(++number);
      const auto got = play.ask(site.port, id, terms);
      if (got && got->status() < 400) {
        ++play.served;
        if (round == 0)
          record.result("SERVED: terms \"", terms, "\" got ", got->status(), " \"", got->body, '"');
      } else if (got) {
        ++play.errors;
      }
    }
    sleep_ms(300);
  }
  record.result("usual requests: ", play.usual.load(), " served, ", play.usual_failed.load(),
                " not; bad ones: ", play.errors.load(), " got an error, ", play.served.load(),
                " were served, ", play.unanswered.load(), " got nothing in time");
  if (play.usual == 0) not_run("nothing was served");
  record.result(play.served > 0 ? "broken" : "held");
  return play.served > 0 ? kBroken : kHeld;
}
