// Is this a build with ASan and UBSan? Their pauses and their memory are no figures of the program's.
#pragma once

namespace cranemux::testing {

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kSanitized = true;
#else
constexpr bool kSanitized = false;
#endif

}  // namespace cranemux::testing
