// An answer that a stand-in writes piece by piece, as a slow worker does.
#pragma once

#include <string>
#include <vector>

#include "testing/stage.h"

namespace cranemux::testing {

struct PacedAnswer {
  struct Piece {
    milliseconds after;  // the one before it
    std::string bytes;
  };
  std::vector<Piece> pieces;
  bool ends = false;  // the connection, after the last piece
};

// `data` as one chunk.
std::string chunk(const std::string& data);

// False: the other side has ended the connection before the last piece.
net::awaitable<bool> write_paced(net::tcp::socket& socket, PacedAnswer answer);

}  // namespace cranemux::testing
