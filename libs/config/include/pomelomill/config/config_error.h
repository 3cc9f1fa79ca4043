#pragma once

#include <system_error>

namespace pomelomill {

enum class ConfigError {
  kMalformed = 1,
  kTooLarge,
  kUnreadable,
  /// The value of `config/current` is not a record.
  kMalformedRecord,
  /// A higher revision has been seen.
  kOldRevision,
  /// Two texts claim the same revision.
  kRevisionConflict,
};

const std::error_category& ConfigCategory();

inline std::error_code make_error_code(ConfigError e) {
  return {static_cast<int>(e), ConfigCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::ConfigError> : std::true_type {};
