#pragma once

namespace pomelomill {

/// Exit codes of all commands; scripts rely on them.
enum ExitCode : int {
  kExitOk = 0,
  /// The operation failed and had no effect.
  kExitFailed = 1,
  /// The command line is wrong.
  kExitUsage = 2,
  /// The operators' file has errors.
  kExitInvalidFile = 3,
  /// Another configuration was accepted first; nothing was written.
  kExitConflict = 4,
  /// The store or the entry cannot be reached; nothing was written.
  kExitUnavailable = 5,
  /// The operation may or may not have taken effect; repeat it with the same
  /// apply id.
  kExitUnknown = 6,
  /// The configuration was accepted and was not in force on every named entry
  /// in time.
  kExitNotInForce = 7,
};

}  // namespace pomelomill
