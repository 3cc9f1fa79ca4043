#pragma once

#include <iosfwd>
#include <string>

namespace pomelomill {

struct DrainOptions {
  /// Admin address of an entry, "HOST:PORT".
  std::string entry;
  std::string vm;
  bool is_json = false;
};

/// Asks for a graceful stop of one VM. Returns an ExitCode.
int RunDrain(const DrainOptions& options, std::ostream& out, std::ostream& err);

}  // namespace pomelomill
