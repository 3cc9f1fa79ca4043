#pragma once

#include <iosfwd>
#include <string>

namespace pomelomill {

struct ExplainOptions {
  /// Admin address of an entry, "HOST:PORT".
  std::string entry;
  /// "vm", "pool", "service", "wave", "revision" and others (see Subject).
  std::string kind;
  std::string name;
  bool is_json = false;
};

/// Prints an entry's decisions on one subject: what was decided, from which
/// facts, and which alternative lost and by how much. Returns an ExitCode.
int RunExplain(const ExplainOptions& options, std::ostream& out,
               std::ostream& err);

}  // namespace pomelomill
