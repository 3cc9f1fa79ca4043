#pragma once

#include <iosfwd>
#include <string>

namespace pomelomill {

struct StatusOptions {
  /// Admin address of an entry, "HOST:PORT".
  std::string entry;
  bool is_json = false;
};

/// Prints what an entry reports about itself. Returns an ExitCode.
int RunStatus(const StatusOptions& options, std::ostream& out,
              std::ostream& err);

}  // namespace pomelomill
