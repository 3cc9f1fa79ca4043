#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "log.h"
#include "pomelomill/config.h"

namespace pomelomill {
namespace {

std::string ReadSource(const std::string& name) {
  return ReadFile(std::string(POMELOMILL_SOURCE_DIR) + '/' + name).value();
}

/// The row of a table that begins with `cell`; empty when there is none.
std::string RowOf(const std::string& page, const std::string& cell) {
  const auto at = page.find("\n| `" + cell + "` |");
  if (at == std::string::npos) return "";
  return page.substr(at + 1, page.find('\n', at + 1) - at - 1);
}

// Guards against settings and defaults that operators cannot look up. The
// example names every setting; lease times and limits have their defaults.
TEST_CASE("the operators' page lists every setting with its default") {
  const std::string page = ReadSource("docs/operators.md");
  const std::string name = "examples/entry-lombardy-a.ini";
  const std::string text = ReadSource(name);
  const auto settings = ParseServeSettings(text, name);
  REQUIRE(settings);
  const ServeSettings defaults;
  CHECK(settings->log_level == defaults.log_level);
  CHECK(settings->entry_lease == defaults.entry_lease);
  CHECK(settings->control_lease == defaults.control_lease);
  CHECK(settings->drift_margin == defaults.drift_margin);
  CHECK(settings->limits == defaults.limits);

  std::istringstream lines(text);
  std::string section;
  int settings_seen = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with('[')) section = line;
    const auto equals = line.find(" = ");
    if (line.starts_with(';') || equals == std::string::npos) continue;
    const std::string key = section + ' ' + line.substr(0, equals);
    CAPTURE(key);
    const std::string row = RowOf(page, key);
    CHECK_FALSE(row.empty());
    ++settings_seen;
    const bool has_default =
        section == "[log]" || section == "[lease]" || section == "[limits]";
    if (has_default)
      CHECK(row.find("| `" + line.substr(equals + 3) + "` |") !=
            std::string::npos);
  }
  // The parser takes no other key than those of the example.
  const std::string parser = ReadSource("libs/config/src/serve_settings.cc");
  int keys_read = 0;
  for (auto at = parser.find("reader.Read"); at != std::string::npos;
       at = parser.find("reader.Read", at + 1)) {
    ++keys_read;
  }
  CHECK(keys_read == settings_seen);
}

// Guards against log lines whose part operators cannot look up.
TEST_CASE("the operators' page lists every log prefix") {
  const std::string page = ReadSource("docs/operators.md");
  for (const LogPart part :
       {LogPart::kApp, LogPart::kControl, LogPart::kMembership,
        LogPart::kPlatform, LogPart::kRouting, LogPart::kStore,
        LogPart::kTraffic}) {
    CAPTURE(LogPrefix(part));
    CHECK_FALSE(RowOf(page, LogPrefix(part)).empty());
  }
}

}  // namespace
}  // namespace pomelomill
