// A client's connection on which a test writes and reads what and when it likes, and the bytes that it sends.
#pragma once

#include <string>
#include <string_view>

#include "http/http.h"
#include "testing/stage.h"

namespace cranemux::testing {

// So many bytes that do not repeat soon, the same ones for the same size.
std::string pattern(std::size_t size);

// A request on the platform's front. `more`: further header lines, each with its end, and the body.
std::string request(const std::string& id, const std::string& more = {}, bool safe = true,
                    const char* version = "1.1", milliseconds deadline = milliseconds(4000));

class Wire {
 public:
  Wire(Stage& stage, int port);
  void send(std::string_view text);
  std::size_t write(std::string_view text);  // as much as is taken at once: how many bytes
  // Whether the other machine has taken all; false once nothing has moved for a while.
  bool send_whole(std::string_view text);
  // Bytes that the other machine has taken, and the process there has not read: as Linux tells of its socket.
  std::size_t unread_there();
  // Reads at most so much; false once the connection has ended.
  bool read(std::size_t most = 256 * 1024);
  // A whole answer: its head and its body. False: it was not whole.
  bool answer(std::string& body, std::size_t most = 256 * 1024);
  void close() { socket_.close(); }

  std::string in;
  http::Message head;
  int status = 0;
  bool keeps = false;

 private:
  Stage& stage_;
  net::tcp::socket socket_;
};

}  // namespace cranemux::testing
