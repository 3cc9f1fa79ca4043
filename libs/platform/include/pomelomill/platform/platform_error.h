#pragma once

#include <system_error>

namespace pomelomill {

enum class PlatformError {
  kUnavailable = 1,
  kOutcomeUnknown,
  kWrongGeneration,
  kNotFound,
  kRefused,
  kBadResponse,
  kBadRegionState,
};

const std::error_category& PlatformCategory();

inline std::error_code make_error_code(PlatformError e) {
  return {static_cast<int>(e), PlatformCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::PlatformError> : std::true_type {};
