#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pomelomill {

/// One error in a file of declarations or settings.
struct Diagnostic {
  std::string file;
  /// Counted from 1; 0 when the error concerns the file as a whole.
  std::size_t line = 0;
  /// "[SECTION] KEY", "[SECTION]", or empty when the line has neither.
  std::string key;
  std::string reason;

  bool operator==(const Diagnostic&) const = default;
};

/// "FILE:LINE: KEY: REASON", without the parts that are absent.
std::string ToText(const Diagnostic& diagnostic);

/// One line for each diagnostic.
std::string ToText(const std::vector<Diagnostic>& diagnostics);

}  // namespace pomelomill
