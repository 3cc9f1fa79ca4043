#pragma once

#include <system_error>

namespace pomelomill {

enum class DispatchError {
  /// A stored text is not a valid job, job progress or task key.
  kMalformedRecord = 1,
  /// A job has no steps or a step has no tasks, a step depends on itself or a
  /// later step, the interval is negative, or a limit is exceeded.
  kInvalidJob,
};

const std::error_category& DispatchCategory();

inline std::error_code make_error_code(DispatchError e) {
  return {static_cast<int>(e), DispatchCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::DispatchError> : std::true_type {};
