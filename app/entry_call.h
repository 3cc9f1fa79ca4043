#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>

namespace pomelomill {

/// An entry's response to one admin call.
struct EntryAnswer {
  /// An ExitCode; kExitOk when `body` is valid.
  int exit_code = 0;
  /// Of the HTTP response; 0 without one.
  int status = 0;
  /// Also that of an error response, when it is JSON.
  nlohmann::json body;
};

/// Calls `path` on an entry's admin address and reports failures to `err`,
/// prefixed with the name of the command.
EntryAnswer CallEntry(const std::string& command, const std::string& method,
                      const std::string& entry, const std::string& path,
                      std::ostream& err);

/// Prints JSON as indented "name: value" lines.
void PrintLines(const nlohmann::json& json, std::ostream& out, int indent = 0);

}  // namespace pomelomill
