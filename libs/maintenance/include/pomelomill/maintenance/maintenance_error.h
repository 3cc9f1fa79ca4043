#pragma once

#include <system_error>

namespace pomelomill {

enum class MaintenanceError {
  /// The declarations or the region state are absent.
  kMissingInput = 1,
  /// No wave with this id is declared.
  kUnknownWave,
};

const std::error_category& MaintenanceCategory();

inline std::error_code make_error_code(MaintenanceError e) {
  return {static_cast<int>(e), MaintenanceCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::MaintenanceError> : std::true_type {
};
