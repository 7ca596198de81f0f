// Clients that send at full speed: many connections in a thread of their own, so that neither the test nor
// its other stand-ins wait for them.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace cranemux::testing {

// What flooding clients send, and how.
struct FloodKind {
  // The bytes of the n-th request, counted over all connections.
  std::function<std::string(std::size_t number)> make;
  std::size_t batch = 500;          // requests that are written at once
  std::size_t most_unanswered = 0;  // requests on a connection, before it sends more; 0: as many as are taken
  std::size_t piece = 0;            // bytes of a write at most; 0: as many as are taken
  bool reads = true;                // takes its answers
  bool reconnects = false;          // a connection for each request, closed with its answer
  bool answered_each = true;        // each request has an answer of its own, and the connection goes on
  std::chrono::milliseconds leaves_after{0};  // closes its connection so long after opening it; 0: stays
};

class FloodingClients {
 public:
  FloodingClients(int port, std::size_t connections, FloodKind kind);
  ~FloodingClients();  // closes all connections at once
  FloodingClients(const FloodingClients&) = delete;
  FloodingClients& operator=(const FloodingClients&) = delete;

  void stop_sending() { finishing_ = true; }
  // After that: each request that was sent whole has been answered.
  bool finished() const { return finished_ == threads_.size() && !broken_; }
  bool broken() const { return broken_; }             // a connection ended before
  std::size_t sent() const { return sent_; }          // requests
  std::size_t answered() const { return answered_; }  // of them
  // Answers on the connection with the fewest; once finished.
  std::size_t least_answered() const;

 private:
  struct Connection {
    int fd = -1;
    std::chrono::steady_clock::time_point opened;
    bool connecting = false;
    std::string out;                     // not written yet
    std::string tail;                    // of what was read: may hold a part of a status line
    std::size_t sent = 0, answered = 0;  // requests
  };
  using Connections = std::vector<Connection>;  // of one thread
  void run(Connections& connections);
  bool turn(Connections& connections);  // false: all was answered, and no more is sent
  void open(Connection& connection) const;
  void close(Connection& connection) const;
  bool may_send(const Connection& connection) const;
  void write(Connection& connection);
  void read(Connection& connection);

  const int port_;
  const FloodKind kind_;
  std::vector<Connections> connections_;  // by thread
  std::atomic<bool> ends_{false}, finishing_{false}, broken_{false};
  std::atomic<std::size_t> sent_{0}, answered_{0}, finished_{0};
  std::vector<std::thread> threads_;
};

// A request of the platform's form. `customer`: 16 hexadecimal digits.
std::string platform_request(const std::string& id, const std::string& customer, const std::string& plan,
                             std::chrono::milliseconds deadline, const std::string& klass = "job-status");
// The head of a booking with a body of that length.
std::string booking_head(const std::string& id, const std::string& customer, const std::string& plan,
                         std::chrono::milliseconds deadline, std::size_t length);
std::string customer_name(std::size_t number);

}  // namespace cranemux::testing
