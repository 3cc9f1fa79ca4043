#pragma once

#include <cstdint>
#include <string_view>

namespace pomelomill {

/// 64-bit XXH3 of the bytes; the same on every machine and in every release,
/// so it may be stored and sent (xxHash, XXH3 algorithm).
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace pomelomill
