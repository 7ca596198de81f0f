// The rules that any front must keep, checked from what clients and nodes saw. It shares nothing with the
// program: what it knows comes from the wire.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cranemux::testing {

class Rules {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Span = std::chrono::nanoseconds;

  // Requests whose ids begin like this are of clients that tell nothing: only what nodes see of them is
  // known, and they are not judged. Every other id that a node sees must have been asked.
  void set_untold(std::string prefix) { untold_ = std::move(prefix); }
  // What clients do and see.
  void asked(const std::string& id, bool safe, const std::string& customer, double units, Time at,
             Span deadline);
  void answered(const std::string& id, int status, Time at);
  void served(const std::string& id, const std::string& body);  // with that body
  void left(const std::string& id, Time at);                    // it closed its connection before the answer
  // The process that had it was killed: neither an answer nor a lost one.
  void lost_with_process(const std::string& id);
  // What nodes see: the first byte and the end of a request on a connection, what came of it.
  void begun(const std::string& id, const std::string& node, Time at);
  void ran(const std::string& id);
  void over(const std::string& id, Time at);  // answered, or its connection ended
  void cut(const std::string& id);            // its connection ended while the node still wrote its answer
  // Asked before an attempt is taken for a second one out: whoever has one of that id looks whether its
  // connection has ended, since ends and beginnings on different connections come in any order.
  void watch(std::function<void(const std::string& id)> look) { looks_.push_back(std::move(look)); }
  // What was told: a node drains, or serves again.
  void drained(const std::string& node, Time at);
  void serves(const std::string& node, Time at);

  // Every rule that was broken, in words; empty if none was. `slack` is added to each time limit.
  std::vector<std::string> broken(Span slack = std::chrono::milliseconds(250)) const;
  // Units sent on of a customer beyond what a store of that rate and burst allows in any stretch of time.
  double beyond_quota(const std::string& customer, double rate, double burst) const;
  // The units sent on in the worst window of `least` and longer, as a multiple of what a store of that rate
  // and burst allows in it: 1 is the quota.
  double worst_window(const std::string& customer, double rate, double burst, Span least) const;
  // Units beyond rate × time + burst in the worst window of any length.
  double most_beyond(const std::string& customer, double rate, double burst) const {
    return worst_excess(customer, rate, burst).units;
  }
  struct Excess {
    double units = 0;  // beyond rate × time + burst
    Time from, until;  // the window, where there are any
  };
  Excess worst_excess(const std::string& customer, double rate, double burst) const;
  // Each try that was sent on, once, in the order of time.
  struct Spent {
    std::string id;
    Time at;
    double units = 0;
  };
  std::vector<Spent> spent_by(const std::string& customer) const;
  // Tries turned away although a store that saw all that was sent on held half of its burst, and their units;
  // and all tries of that customer.
  std::pair<std::size_t, std::size_t> refused_with_room(const std::string& customer, double rate,
                                                        double burst) const;
  double units_begun(const std::string& customer = {})
      const;  // of all requests that were sent on, each once; or of one customer's
  std::size_t asked_count() const { return asks_.size(); }
  std::size_t answers(int status) const;
  std::size_t runs(const std::string& id) const;

 private:
  struct Ask {
    bool safe = true;
    std::string customer;
    double units = 1;
    Time at;
    Span deadline{};
    std::vector<std::pair<int, Time>> answers;
    std::optional<Time> left;
    std::size_t runs = 0, cuts = 0;
    bool lost_with_process = false;
    std::string answer_of;  // the request that its answer was made for, where that is another one
    int out = 0, most_out = 0;
  };
  struct Begin {
    std::string id, node;
    Time at;
  };
  struct Drain {
    Time from, until;
  };

  std::string untold_;
  std::map<std::string, Ask> asks_;
  std::vector<Begin> begins_;
  std::vector<std::function<void(const std::string&)>> looks_;
  std::map<std::string, std::vector<Drain>> drains_;
};

}  // namespace cranemux::testing
