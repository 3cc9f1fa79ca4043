#pragma once

#include <system_error>

namespace pomelomill {

enum class ConfigError {
  kMalformed = 1,
  kTooLarge,
  kUnreadable,
};

const std::error_category& ConfigCategory();

inline std::error_code make_error_code(ConfigError e) {
  return {static_cast<int>(e), ConfigCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::ConfigError> : std::true_type {};
