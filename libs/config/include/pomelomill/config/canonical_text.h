#pragma once

#include <string>
#include <vector>

#include "pomelomill/config/declarations.h"

namespace pomelomill {

/// INI text with every key of every section in a fixed order. A parse of it
/// gives the same declarations, and equal declarations give equal text.
std::string CanonicalText(const Declarations& declarations);

enum class Change { kAdded, kRemoved, kChanged };

/// One section that differs between two files.
struct SectionChange {
  /// "[pool render]".
  std::string section;
  Change change = Change::kChanged;

  bool operator==(const SectionChange&) const = default;
};

/// The sections that differ, in the order of the canonical text.
std::vector<SectionChange> Diff(const Declarations& from,
                                const Declarations& to);

}  // namespace pomelomill
