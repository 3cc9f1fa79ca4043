#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "pomelomill/config.h"

namespace pomelomill {
namespace {

std::string Load(const std::string& name) {
  const std::string path =
      std::string(POMELOMILL_SOURCE_DIR) + "/libs/config/test/bad/" + name;
  const auto text = ReadFile(path);
  REQUIRE_MESSAGE(text, path);
  return *text;
}

struct BadFile {
  std::string name;
  std::string diagnostics;
};

const std::vector<BadFile>& BadFiles() {
  static const std::vector<BadFile> files = {
      {"malformed.ini", R"(malformed.ini:1: size: key outside of a section
malformed.ini:4: malformed line, expected KEY = VALUE
malformed.ini:5: malformed section, expected [KIND] or [KIND NAME]
malformed.ini:5: [pool render] region: the key is required
malformed.ini:5: [pool render] size: the key is required
malformed.ini:6: unexpected text after the section name
malformed.ini:7: malformed line, expected KEY = VALUE
malformed.ini:8: [team]: expected [team NAME] with a name of lower-case letters, digits, '.', '_' and '-'
malformed.ini:9: []: unknown section
malformed.ini:10: [queue nothing]: expected [queue SERVICE/NAME] with names of lower-case letters, digits, '.', '_' and '-'
malformed.ini:11: [fleet other]: takes no name
malformed.ini:11: [fleet other] name: the key is required
)"},
      {"unknown.ini", R"(unknown.ini:3: [fleet] colour: unknown key
unknown.ini:8: [server one]: unknown section
unknown.ini:14: [pool render] Slots: unknown key
)"},
      {"duplicate.ini",
       R"(duplicate.ini:3: [fleet] name: duplicate key, first on line 2
duplicate.ini:6: [region north] zones: "north-a" is listed twice
duplicate.ini:9: [region south] zones: zone "north-a" is already in region "north"
duplicate.ini:19: [pool crest] vms: VM "vm-2" is already in pool "render"
duplicate.ini:22: [pool render]: duplicate section, first on line 11
duplicate.ini:24: [pool render] size: must be a whole number from 1 to 10000, not "many"
)"},
      {"references.ini",
       R"(references.ini:5: [pool render] region: no region "north" is declared
references.ini:9: [service proofs] pool: no pool "crest" is declared
references.ini:11: [queue sheets/one]: no service "sheets" is declared
references.ini:14: [job batch] team: no team "studio" is declared
references.ini:17: [maintenance kernel] pools: no pool "press" is declared
)"},
      {"budgets.ini",
       R"(budgets.ini:9: [pool render] size: the mean load of its queues takes 103 slots, the pool has 16
budgets.ini:10: [pool render] min_size: must not exceed size
budgets.ini:12: [pool render] connections: must not be less than slots
budgets.ini:18: [queue proofs/never] availability: must be greater than 0 and less than 1, not "1"
budgets.ini:21: [queue proofs/zero] availability: must be greater than 0 and less than 1, not "0"
budgets.ini:24: [queue proofs/late] deadline: the deadline of 50ms is shorter than the service time of 2s
budgets.ini:33: [queue proofs/window] window: must not be shorter than the deadline
budgets.ini:37: [maintenance kernel] deadline: must differ from not_before
)"},
      {"values.ini",
       R"(values.ini:2: [fleet] name: must be a name of lower-case letters, digits, '.', '_' and '-' with at most 63 bytes, not "Not A Name"
values.ini:3: [fleet] rack_size: must be a whole number from 1 to 1000, not "0"
values.ini:4: [fleet] store_calls_per_s: must be a number from 1 to 1000, not "nan"
values.ini:7: [region north] zones: must list at least one zone
values.ini:9: [pool render] region: the key is required
values.ini:10: [pool render] size: must be a whole number from 1 to 10000, not "-1"
values.ini:11: [pool render] spare: must be one of yes, no, not "maybe"
values.ini:12: [pool render] cold_start: must be a duration such as 250ms, 2s, 5m, 1h, 1d or 6w, not "90"
values.ini:13: [pool render] slots: takes a single line
values.ini:16: [queue proofs/one]: no service "proofs" is declared
values.ini:17: [queue proofs/one] urgency: must be one of interactive, normal, batch, not "urgent"
values.ini:18: [queue proofs/one] deadline: must be a duration such as 250ms, 2s, 5m, 1h, 1d or 6w, not "5 s"
values.ini:19: [queue proofs/one] window: must be a duration such as 250ms, 2s, 5m, 1h, 1d or 6w, not "99999999999999999999s"
values.ini:20: [queue proofs/one] mean_rate: must be a number from 0 to 1000000, not "1e400"
values.ini:21: [queue proofs/one] service_time: must be a duration such as 250ms, 2s, 5m, 1h, 1d or 6w, not "1.5s"
values.ini:24: [team a] weight: must be greater than 0 and less than 1000000, not "0"
values.ini:27: [maintenance kernel] every: must be a duration such as 250ms, 2s, 5m, 1h, 1d or 6w, not "6 weeks"
values.ini:28: [maintenance kernel] deadline: must be a time of day such as 04:00, not "24:00"
values.ini:29: [maintenance kernel] max_failed_share: must be a number from 0 to 1, not "2"
)"},
      {"long-line.ini", R"(long-line.ini:3: the line is longer than 198 bytes
long-line.ini:4: the line is longer than 198 bytes
)"},
      {"control-character.ini",
       R"(control-character.ini:4: the line contains a control character
)"},
      {"empty.ini", R"(empty.ini: [fleet]: the section is required
)"},
  };
  return files;
}

// Guards against errors that are missed, reported at another line or key, or
// hidden behind the first error of a file.
TEST_CASE("each bad file gives exactly its diagnostics") {
  for (const BadFile& it : BadFiles()) {
    CAPTURE(it.name);
    const auto parsed = Parse(Load(it.name), it.name);
    REQUIRE(!parsed);
    CHECK(ToText(parsed.error()) == it.diagnostics);
  }
}

// Guards against settings that start a process with a wrong address or a lease
// that it cannot renew in time.
TEST_CASE("bad settings give exactly their diagnostics") {
  const auto parsed = ParseServeSettings(Load("settings.ini"), "settings.ini");
  REQUIRE(!parsed);
  CHECK(ToText(parsed.error()) ==
        R"(settings.ini: [platform]: the section is required
settings.ini:1: [entry] zone: the key is required
settings.ini:3: [entry] region: must be a name of lower-case letters, digits, '.', '_' and '-' with at most 63 bytes, not "Lombardy"
settings.ini:5: [listen]: callers, peers and admin need addresses of their own
settings.ini:8: [listen] admin: must be HOST:PORT, not "127.0.0.1:99999"
settings.ini:11: [store] url: must be http://HOST:PORT, not "https://127.0.0.1:7000"
settings.ini:14: [peers] entries: must be HOST:PORT, not "127.0.0.1"
settings.ini:18: [log] level: must be one of debug, info, warning, error, not "loud"
settings.ini:22: [lease] drift_margin: must be at most a third of the shortest time to live
settings.ini:25: [limits] header_bytes: must be a whole number from 1024 to 1048576, not "1"
settings.ini:27: [extra]: unknown section
)");
}

// Guards against settings examples that the parser refuses.
TEST_CASE("the settings examples are valid") {
  for (const std::string name : {"lombardy", "moravia"}) {
    const std::string path = std::string(POMELOMILL_SOURCE_DIR) +
                             "/examples/entry-" + name + "-a.ini";
    const auto text = ReadFile(path);
    REQUIRE(text);
    const auto parsed = ParseServeSettings(*text, path);
    REQUIRE_MESSAGE(parsed, ToText(parsed.error()));
    CHECK(parsed->region == RegionId(name));
    CHECK(parsed->zone == ZoneId(name + "-a"));
    CHECK(parsed->peers.size() == 2);
    CHECK(parsed->admin_address == "127.0.0.1:8082");
    CHECK(parsed->limits == ServeLimits{});
  }
}

// Guards against reading a directory or a missing file as an empty one.
TEST_CASE("unreadable and oversize files are errors") {
  CHECK(ReadFile("/nonexistent/file.ini").error() == ConfigError::kUnreadable);
  CHECK(ReadFile("/").error() == ConfigError::kUnreadable);
  CHECK(ReadFile("/dev/zero").error() == ConfigError::kTooLarge);
}

}  // namespace
}  // namespace pomelomill
