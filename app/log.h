#pragma once

#include <iosfwd>
#include <string_view>

#include "pomelomill/config/serve_settings.h"

namespace pomelomill {

/// The part of the system that a log line is about.
enum class LogPart {
  kApp,
  kControl,
  kMembership,
  kPlatform,
  kRouting,
  kStore,
  kTraffic,
};

/// Prefix of the part's lines, such as "[store]".
const char* LogPrefix(LogPart part);

/// Sends the lines of this process at or above `level` to `out`, which must
/// outlive them. A later call replaces the earlier destination.
void StartLog(LogLevel level, std::ostream& out);

/// Ends the output begun by StartLog() and flushes it.
void StopLog();

/// Writes one line "UTC-TIME SEVERITY PREFIX SENTENCE" (Boost.Log); from any
/// thread. Nothing is written before StartLog().
void Log(LogPart part, LogLevel level, std::string_view sentence);

}  // namespace pomelomill
