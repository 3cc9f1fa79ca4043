#pragma once

#include <system_error>

namespace pomelomill {

enum class PlannerError {
  kMissingInput = 1,
  kUnknownPool,
};

const std::error_category& PlannerCategory();

inline std::error_code make_error_code(PlannerError e) {
  return {static_cast<int>(e), PlannerCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::PlannerError> : std::true_type {};
