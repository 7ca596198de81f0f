#include "handover/state.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cranemux::handover {
namespace {

// A change of what a record holds is a new version: the next process then starts fresh.
constexpr std::uint32_t kMagic = 0x31485843;  // "CXH1"
constexpr std::uint16_t kVersion = 4;
constexpr auto kFirstKind = static_cast<std::uint16_t>(Kind::hello),
               kLastKind = static_cast<std::uint16_t>(Kind::taken);
constexpr std::size_t kMostPayload = 64 * 1024 * 1024;

}  // namespace

std::string frame(Kind kind, std::string_view payload) {
  auto magic = kMagic;
  auto version = kVersion;
  auto size = static_cast<std::uint32_t>(payload.size());
  std::uint64_t sum = XXH64(payload.data(), payload.size(), static_cast<std::uint64_t>(kind));
  Writer head;
  head(magic, version, kind, size, sum);
  return head.take().append(payload);
}

Verdict take_frame(std::string& in, Frame& out) {
  if (in.size() < kFrameHead) {
    const auto seen = std::min<std::size_t>(in.size(), sizeof kMagic);
    const bool ours = std::memcmp(in.data(), &kMagic, seen) == 0;
    return ours ? Verdict::partial : Verdict::foreign;
  }
  std::uint32_t magic = 0, size = 0;
  std::uint16_t version = 0, kind = 0;
  std::uint64_t sum = 0;
  Reader head(std::string_view(in).substr(0, kFrameHead));
  head(magic, version, kind, size, sum);
  if (magic != kMagic || version != kVersion || size > kMostPayload || kind < kFirstKind || kind > kLastKind)
    return Verdict::foreign;
  if (in.size() < kFrameHead + size) return Verdict::partial;
  out.kind = static_cast<Kind>(kind);
  out.payload = in.substr(kFrameHead, size);
  if (XXH64(out.payload.data(), size, kind) != sum) return Verdict::foreign;
  in.erase(0, kFrameHead + size);
  return Verdict::whole;
}

}  // namespace cranemux::handover
