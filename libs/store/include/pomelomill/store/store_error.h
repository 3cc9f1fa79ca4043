#pragma once

#include <system_error>

namespace pomelomill {

enum class StoreError {
  kConflict = 1,
  kNotFound,
  /// The service is down; the call had no effect.
  kUnavailable,
  /// The rate limit refused the call; it had no effect.
  kRateLimited,
  /// The call may or may not have taken effect.
  kOutcomeUnknown,
  kLeaseLapsed,
  /// The response could not be understood.
  kBadResponse,
  /// The service has discarded the changes that a watch asked for.
  kHistoryLost,
};

const std::error_category& StoreCategory();

inline std::error_code make_error_code(StoreError e) {
  return {static_cast<int>(e), StoreCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::StoreError> : std::true_type {};
