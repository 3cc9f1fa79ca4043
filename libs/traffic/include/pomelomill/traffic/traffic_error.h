#pragma once

#include <system_error>

namespace pomelomill {

enum class TrafficError {
  /// The listening address cannot be used.
  kListenFailed = 1,
};

const std::error_category& TrafficCategory();

inline std::error_code make_error_code(TrafficError e) {
  return {static_cast<int>(e), TrafficCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::TrafficError> : std::true_type {};
