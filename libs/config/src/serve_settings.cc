#include "pomelomill/config/serve_settings.h"

#include <algorithm>
#include <set>
#include <utility>

#include "ini_document.h"
#include "section_reader.h"

namespace pomelomill {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint32_t kMiB = 1 << 20;

void ReadEntry(SectionReader& reader, ServeSettings& settings) {
  reader.Require("id");
  reader.ReadId("id", settings.entry);
  reader.Require("region");
  reader.ReadId("region", settings.region);
  reader.Require("zone");
  reader.ReadId("zone", settings.zone);
}

void ReadListen(SectionReader& reader, ServeSettings& settings) {
  reader.Require("callers");
  reader.ReadAddress("callers", settings.caller_address);
  reader.Require("peers");
  reader.ReadAddress("peers", settings.peer_address);
  reader.Require("admin");
  reader.ReadAddress("admin", settings.admin_address);
  std::multiset<std::string> addresses = {
      settings.caller_address, settings.peer_address, settings.admin_address};
  addresses.erase("");
  const std::set<std::string> distinct(addresses.begin(), addresses.end());
  if (distinct.size() < addresses.size())
    reader.Report("", "callers, peers and admin need addresses of their own");
}

void ReadLease(SectionReader& reader, ServeSettings& settings) {
  reader.Read("entry_ttl", settings.entry_lease, seconds(1), minutes(10));
  reader.Read("control_ttl", settings.control_lease, seconds(1), minutes(10));
  reader.Read("drift_margin", settings.drift_margin, milliseconds(1),
              minutes(1));
  // A renewal is sent at a third of the time to live; the margin must leave
  // time for a second attempt.
  const Duration shortest =
      std::min(settings.entry_lease, settings.control_lease);
  if (settings.drift_margin * 3 > shortest) {
    reader.Report("drift_margin",
                  "must be at most a third of the shortest time to live");
  }
}

void ReadLimits(SectionReader& reader, ServeLimits& limits) {
  reader.Read("connections", limits.connections, 1, 1'000'000);
  reader.Read("header_bytes", limits.header_bytes, 1'024, kMiB);
  reader.Read("body_bytes", limits.body_bytes, 0, 1'024 * kMiB);
  reader.Read("header_timeout", limits.header_timeout, milliseconds(10),
              minutes(10));
  reader.Read("body_timeout", limits.body_timeout, milliseconds(10), hours(1));
  reader.Read("requests", limits.requests, 1, 10'000'000);
}

void ReadSection(SectionReader& reader, ServeSettings& settings) {
  const std::string& kind = reader.section().kind;
  if (!reader.section().name.empty()) reader.Report("", "takes no name");
  if (kind == "entry") {
    ReadEntry(reader, settings);
  } else if (kind == "listen") {
    ReadListen(reader, settings);
  } else if (kind == "peers") {
    reader.ReadAddresses("entries", settings.peers);
  } else if (kind == "store") {
    reader.Require("url");
    reader.ReadUrl("url", settings.store_url);
  } else if (kind == "platform") {
    reader.Require("url");
    reader.ReadUrl("url", settings.platform_url);
  } else if (kind == "log") {
    reader.ReadLogLevel("level", settings.log_level);
  } else if (kind == "lease") {
    ReadLease(reader, settings);
  } else if (kind == "limits") {
    ReadLimits(reader, settings.limits);
  } else {
    reader.Report("", "unknown section");
    return;
  }
  reader.ReportUnknownKeys();
}

}  // namespace

tl::expected<ServeSettings, std::vector<Diagnostic>> ParseServeSettings(
    std::string_view text, const std::string& file) {
  std::vector<Diagnostic> errors;
  const std::vector<IniSection> sections = ReadIni(text, file, errors);
  ServeSettings settings;
  std::set<std::string> kinds;
  for (const IniSection& section : sections) {
    // A duplicate section is an error already; its values must not hide those
    // of the first.
    ServeSettings duplicate;
    const bool is_first = kinds.insert(section.kind).second;
    SectionReader reader(section, file, errors);
    ReadSection(reader, is_first ? settings : duplicate);
  }
  if (!(sections.empty() && !errors.empty())) {
    for (const char* kind : {"entry", "listen", "store", "platform"}) {
      if (!kinds.contains(kind)) {
        errors.push_back({file, 0, '[' + std::string(kind) + ']',
                          "the section is required"});
      }
    }
  }
  if (errors.empty()) return settings;
  std::stable_sort(
      errors.begin(), errors.end(),
      [](const Diagnostic& a, const Diagnostic& b) { return a.line < b.line; });
  return tl::unexpected(std::move(errors));
}

}  // namespace pomelomill
