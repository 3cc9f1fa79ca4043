#pragma once

#include <string>

namespace pomelomill::review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Runs the case of that name. `directory` is a temporary folder for settings
/// and logs, `record` the file that tells what was sent, answered and run.
/// Without `has_trouble` the case runs without its disruption.
int RunCase(const std::string& name, const std::string& directory,
            const std::string& record, bool has_trouble);

}  // namespace pomelomill::review
