// Case 2: clients post long requests, and two of four workers hang: their machines accept connections and
// take in what their buffers hold, no more. The rule is broken if a request whose last byte the gatekeeper's
// machine has taken has no final answer half a second after its time.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <memory>

#include "standins.h"

namespace {

using namespace review;

constexpr int kWorkers = 4, kHang = 2;  // "a quarter to a half of the workers hang" (more/mass/STANDING.md)
constexpr std::size_t kLongest = std::size_t{32} * 1024 * 1024;  // "up to 32 MB" (operation/DAYS.md)
constexpr milliseconds kDeadline{2000};                          // of `book-job`
constexpr milliseconds kAfter{550};   // half a second, and the 50 ms of docs/PROTOCOL
constexpr milliseconds kStalls{400};  // nothing has moved for so long
constexpr std::chrono::seconds kStays{10};
constexpr milliseconds kLook{5};
constexpr std::size_t kPiece = std::size_t{16} * 1024;  // written at once
constexpr int kWorkerBuffer = 64 * 1024;                // bytes that a worker's system takes in
constexpr int kProbes = 6, kRequests = 16;
constexpr std::size_t kStep = std::size_t{24} * 1024;             // between the sizes of two requests
constexpr std::size_t kUsualRoom = std::size_t{4} * 1024 * 1024;  // where no worker hangs

// A worker that reads a request and answers; while `hangs`, it does nothing at all on any connection. Its
// machine still accepts connections and takes in what its buffers hold.
void serve(Worker& worker, Socket& socket, const std::atomic<bool>& hangs) {
  std::string in;
  Message head;
  bool begun = false;
  while (!worker.stopping()) {
    if (hangs) {
      std::this_thread::sleep_for(kLook);
      continue;
    }
    const auto got = socket.read(in, Clock::now() + kLook);
    if (got == Socket::Read::ended || got == Socket::Read::broken) return;
    Message request;
    if (!begun && in.find("\r\n\r\n") != std::string::npos) {
      begun = true;
      worker.record.line(worker.name + " begins to read a request");
    }
    if (take_message(in, request) != Parsed::whole) continue;
    begun = false;
    worker.ran(request.field("Req-Id"));
    worker.record.line(worker.name + " has " + request.field("Req-Id") + " whole and answers it");
    std::this_thread::sleep_for(milliseconds(85));
    socket.write(good_answer("done " + request.field("Req-Id")), Clock::now() + std::chrono::seconds(1));
  }
}

struct Seen {
  std::atomic<int> taken{0}, answered{0}, lost{0}, not_whole{0};
};

// Bytes that the client's system still holds, as the gatekeeper's machine has not taken them.
std::size_t untaken(const Socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.fd(), SIOCOUTQ, &bytes) != 0) throw CannotRun("no SIOCOUTQ");
  return static_cast<std::size_t>(bytes);
}

// Writes piece by piece, each once the gatekeeper's machine has taken the one before. Returns the bytes that
// it has taken, once that is all, or nothing has moved for kStalls.
std::size_t write_taken(const Socket& socket, const std::string& text) {
  std::size_t sent = 0;
  auto moved = Clock::now();
  for (auto left = std::size_t{0}; Clock::now() - moved < kStalls;) {
    const auto now_left = untaken(socket);
    if (now_left != left) moved = Clock::now();
    left = now_left;
    if (left == 0 && sent == text.size()) break;
    if (left > 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(50));
      continue;
    }
    const auto got = socket.write(std::string_view(text).substr(sent, kPiece), Clock::now() + kStalls);
    if (got == 0) break;
    sent += got;
    moved = Clock::now();
  }
  return sent - untaken(socket);
}

Request booking(const std::string& id, unsigned customer, std::size_t size) {
  Request request;
  request.id = id;
  request.klass = "book-job";
  request.deadline = kDeadline;
  request.customer = customer;
  request.units = 2;
  request.body.assign(size, 'b');
  return request;
}

// A client that begins a request of 32 MB, finds that nothing moves any more, and leaves. Returns how much
// was taken until then; 0 where it was answered or ended.
std::size_t probe(int number, int port) {
  const auto socket = connect(port);
  if (!socket.open()) throw CannotRun("a client cannot connect");
  const auto text =
      booking("p" + std::to_string(number), 300 + static_cast<unsigned>(number), kLongest).text();
  const auto taken = write_taken(socket, text);
  std::string in;
  const bool waits = socket.read(in, Clock::now()) == Socket::Read::nothing;  // neither answered nor ended
  return taken < text.size() && waits ? taken : 0;
}

// One client with one request.
void post(const Request& request, int port, Record& record, Seen& seen) {
  const auto socket = connect(port);
  if (!socket.open()) throw CannotRun("a client cannot connect");
  const auto name = request.id + " (" + std::to_string(request.body.size()) + " bytes)";
  const auto text = request.text();
  record.line(name + " is written");
  const auto count = write_taken(socket, text);
  const bool taken = count == text.size();
  const auto from = Clock::now();
  if (taken) {
    record.line(name + ": its last byte is taken by the gatekeeper's machine");
    ++seen.taken;
  }
  std::string in;
  const auto answer = read_message(socket, in, from + (taken ? kDeadline + kAfter : milliseconds(0)));
  const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - from).count();
  if (answer) {
    ++seen.answered;
    record.line(name + " gets " + answer->start + " after " + std::to_string(ms) + " ms");
  } else if (taken) {
    ++seen.lost;
    record.line("LOST: " + name + " has no answer " + std::to_string(ms) + " ms after its last byte");
    const auto late = read_message(socket, in, Clock::now() + kStays);
    record.line(name + (late ? " gets " + late->start + " then" : " has none 10 s later, either"));
  } else {
    ++seen.not_whole;
    record.line(name + " could not be written whole: " + std::to_string(count) + " bytes are taken");
  }
}

int play() {
  const Setting setting;
  Record record(setting.record);
  record.line(setting.trouble ? "with the disruption" : "TROUBLE=0: no worker hangs");
  std::atomic<bool> hangs{false};
  const std::atomic<bool> sound{false};
  std::vector<std::unique_ptr<Worker>> workers;
  Discovery discovery(record);
  for (int i = 0; i < kWorkers; ++i) {
    const auto name = "w" + std::to_string(i);
    const auto& state = i < kHang ? hangs : sound;
    workers.push_back(std::make_unique<Worker>(
        name, record, [&state](Worker& w, Socket& s) { serve(w, s, state); }, kWorkerBuffer));
    discovery.list(name, workers.back()->port());
  }
  const std::vector<int> peers{free_port(), free_port()};
  Gatekeeper first({setting.root, setting.run, setting.folder, 0, peers}, discovery, record);
  Gatekeeper second({setting.root, setting.run, setting.folder, 1, peers}, discovery, record);
  first.wait_until_ready();
  second.wait_until_ready();
  if (setting.trouble) {
    record.line("w0 and w1 hang");
    hangs = true;
  }
  std::atomic<bool> failed{false};
  const auto at_once = [&](int count, const std::function<void(int)>& act) {
    std::vector<std::thread> clients;
    for (int i = 0; i < count; ++i) {
      clients.emplace_back([&, i] {
        try {
          act(i);
        } catch (const CannotRun& error) {
          record.line(error.what());
          failed = true;
        }
      });
    }
    for (auto& client : clients) client.join();
  };
  // How much two systems and the gatekeeper take in before a client has to wait, at the other gatekeeper.
  std::atomic<std::size_t> room{0};
  at_once(kProbes, [&](int i) {
    const auto taken = probe(i, second.port());
    if (taken > 0)
      record.line("p" + std::to_string(i) + " had to wait after " + std::to_string(taken) + " bytes");
    if (taken > 0 && (room == 0 || taken < room)) room = taken;
  });
  const auto most = room > 0 ? room.load() : kUsualRoom;
  Seen seen;
  at_once(kRequests, [&](int i) {
    const auto size = most + kStep * 4 - kStep * static_cast<std::size_t>(i + 1);
    post(booking("b" + std::to_string(i), 200 + static_cast<unsigned>(i), size), first.port(), record, seen);
  });
  record.line("taken " + std::to_string(seen.taken) + ", answered " + std::to_string(seen.answered) +
              ", lost " + std::to_string(seen.lost) + ", not written whole " +
              std::to_string(seen.not_whole));
  if (failed || !first.runs() || !second.runs() || seen.taken == 0) return 2;
  record.line(seen.lost > 0 ? "the rule is broken" : "the rule held");
  return seen.lost > 0 ? 1 : 0;
}

}  // namespace

int main() {
  try {
    return play();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return 2;
  }
}
