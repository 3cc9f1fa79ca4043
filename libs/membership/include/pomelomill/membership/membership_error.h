#pragma once

#include <system_error>

namespace pomelomill {

enum class MembershipError {
  /// The incarnation was replaced by a later one or was declared dead.
  kDeadIncarnation = 1,
  /// A report that lacks its sender or comes from this entry itself.
  kBadReport,
  /// A configuration or region state older than the one in force.
  kOlderState,
  /// More members than the table holds.
  kTableFull,
};

const std::error_category& MembershipCategory();

inline std::error_code make_error_code(MembershipError e) {
  return {static_cast<int>(e), MembershipCategory()};
}

}  // namespace pomelomill

template <>
struct std::is_error_code_enum<pomelomill::MembershipError> : std::true_type {};
