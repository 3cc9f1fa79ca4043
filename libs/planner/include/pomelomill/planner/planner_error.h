#pragma once

#include <system_error>

namespace pomelomill {

/// Errors of the planner.
enum class PlannerError {
  kMissingInput = 1,
  kUnknownPool,
};

/// The error category of `PlannerError`.
const std::error_category& PlannerCategory();

inline std::error_code make_error_code(PlannerError e) {
  return {static_cast<int>(e), PlannerCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::PlannerError> : std::true_type {};
