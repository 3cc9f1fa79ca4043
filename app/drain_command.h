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

/// Asks for a graceful stop of one VM. When the entry does not hold the control
/// lease and names the holder, the holder is asked instead. Returns an
/// ExitCode.
int RunDrain(const DrainOptions& options, std::ostream& out, std::ostream& err);

}  // namespace pomelomill
