#pragma once

#include <system_error>

namespace pomelomill {

enum class JobsError {
  kMalformedState = 1,
  kUnknownClass,
};

const std::error_category& JobsCategory();

inline std::error_code make_error_code(JobsError e) {
  return {static_cast<int>(e), JobsCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::JobsError> : std::true_type {};
