#pragma once

#include <system_error>

namespace pomelomill {

/// Errors of the control plane.
enum class ControlError {
  /// Another entry has taken over the region.
  kSuperseded = 1,
  kStoreFailed,
  /// The region state in the store cannot be parsed.
  kBadRegionState,
  /// This entry does not hold the control lease.
  kNotHolder,
  kUnknownVm,
};

/// The error category of `ControlError`.
const std::error_category& ControlCategory();

inline std::error_code make_error_code(ControlError e) {
  return {static_cast<int>(e), ControlCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::ControlError> : std::true_type {};
