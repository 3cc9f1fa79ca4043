#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "pomelomill/config/diagnostic.h"

namespace pomelomill {

/// One key of a section. A value that continues on indented lines has one
/// part for each line.
struct IniEntry {
  std::string key;
  std::vector<std::string> parts;
  std::size_t line = 0;
};

/// "[kind name]" or "[kind]" with its keys in the order of the file.
struct IniSection {
  std::string kind;
  std::string name;
  std::size_t line = 0;
  std::vector<IniEntry> entries;

  /// "[kind name]".
  std::string title() const;
};

/// Largest file that is read, in bytes.
inline constexpr std::size_t kMaxFileBytes = 1 << 20;

/// Splits INI text into sections and adds an error for each malformed line,
/// duplicate section and duplicate key to `errors`. A duplicate section is
/// returned as well, so that its values are checked; a duplicate key is not.
std::vector<IniSection> ReadIni(std::string_view text, const std::string& file,
                                std::vector<Diagnostic>& errors);

}  // namespace pomelomill
