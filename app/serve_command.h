#pragma once

#include <string>

namespace pomelomill {

/// Runs one entry until SIGTERM or SIGINT, which end it gracefully. Returns
/// the exit code: 0 after a graceful stop, 2 for bad settings, 1 when an
/// address cannot be used.
int RunServe(const std::string& settings_file);

}  // namespace pomelomill
