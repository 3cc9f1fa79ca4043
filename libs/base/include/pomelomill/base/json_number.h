#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace pomelomill {

/// Longest stored time, about 95 years, with which no sum of times overflows.
inline constexpr std::int64_t kMaxStoredMillis = 3'000'000'000'000;

[[noreturn]] inline void ThrowOutOfRange(const nlohmann::json& json) {
  constexpr int kNumberOutOfRange = 406;
  throw nlohmann::json::out_of_range::create(
      kNumberOutOfRange, "not an integer of this range", &json);
}

/// Returns the integer that `json` holds. Throws nlohmann::json::out_of_range
/// for any other value and for a number that T does not hold; the library's own
/// conversions give another number then.
template <typename T>
T JsonInteger(const nlohmann::json& json) {
  if (json.is_number_unsigned()) {
    const auto n = json.get<std::uint64_t>();
    if (std::in_range<T>(n)) return static_cast<T>(n);
  } else if (json.is_number_integer()) {
    const auto n = json.get<std::int64_t>();
    if (std::in_range<T>(n)) return static_cast<T>(n);
  }
  ThrowOutOfRange(json);
}

/// As JsonInteger(), for a time in milliseconds of at most kMaxStoredMillis
/// before or after zero.
inline std::int64_t JsonMillis(const nlohmann::json& json) {
  const auto ms = JsonInteger<std::int64_t>(json);
  if (ms < -kMaxStoredMillis || ms > kMaxStoredMillis) ThrowOutOfRange(json);
  return ms;
}

/// As JsonInteger(), for an array; throws nlohmann::json::exception.
template <typename T>
std::vector<T> JsonIntegers(const nlohmann::json& json) {
  std::vector<T> all;
  for (const auto& it : json.get_ref<const nlohmann::json::array_t&>())
    all.push_back(JsonInteger<T>(it));
  return all;
}

}  // namespace pomelomill
