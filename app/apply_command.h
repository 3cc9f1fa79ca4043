#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/base/time.h"

namespace pomelomill {

struct ApplyOptions {
  std::string file;
  /// "http://HOST:PORT".
  std::string store_url;
  /// Empty: an id is made up and printed.
  std::string apply_id;
  std::string author;
  /// Refuses to replace any other revision; absent replaces the current one.
  std::optional<std::uint64_t> base_revision;
  /// Admin addresses of entries on which the revision must be in force.
  std::vector<std::string> entries;
  bool waits = false;
  /// Of the write and of the wait.
  Duration timeout = std::chrono::seconds(10);
  bool is_json = false;
};

/// Writes the file's canonical text as the next revision of `config/current`
/// by compare-and-swap. A conflict reports the revision, author and sections
/// of the configuration that was accepted first. Repeating an apply id that
/// was accepted has no second effect. Returns an ExitCode.
int RunApply(const ApplyOptions& options, std::ostream& out, std::ostream& err);

}  // namespace pomelomill
