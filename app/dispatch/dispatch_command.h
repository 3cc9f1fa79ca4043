#pragma once

#include <string>

namespace pomelomill {

/// Runs one entry of the job service until SIGTERM or SIGINT. Reads the
/// settings from `settings_file` or, when it is empty, from the file named by
/// the environment variable POMELOMILL_SETTINGS. Returns the exit code of the
/// process: 0 after a stop, 1 when the server fails to start, 2 when the
/// settings cannot be read or are invalid. With `rejects_overload`, see
/// JobServerHooks::rejects_overload.
int RunDispatch(const std::string& settings_file,
                bool rejects_overload = false);

}  // namespace pomelomill
