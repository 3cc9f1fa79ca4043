#pragma once

#include <iosfwd>
#include <string>

namespace pomelomill {

struct CheckOptions {
  std::string file;
  bool is_json = false;
  /// Prints the canonical text of a valid file.
  bool prints_canonical = false;
};

/// Checks one file of declarations; errors go to `err`, one a line, or as JSON
/// to `out`. Returns an ExitCode.
int RunCheck(const CheckOptions& options, std::ostream& out, std::ostream& err);

}  // namespace pomelomill
