#include "log.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "change_log.h"

namespace pomelomill {
namespace {

// Guards against lines that a log collector cannot split, and against a level
// that lets through what it should hold back.
TEST_CASE("a log line has time, severity, prefix and sentence") {
  std::ostringstream out;
  StartLog(LogLevel::kInfo, out);
  Log(LogPart::kStore, LogLevel::kWarning, "store unreachable");
  Log(LogPart::kApp, LogLevel::kDebug, "not shown");
  StopLog();
  Log(LogPart::kApp, LogLevel::kError, "not shown");
  std::string shape = out.str();
  std::replace_if(
      shape.begin(), shape.end(),
      [](unsigned char c) { return std::isdigit(c) != 0; }, '0');
  CHECK(shape ==
        "0000-00-00T00:00:00.000000Z warning [store] store unreachable\n");
}

// Guards against changes without a line, and against lines without a change.
TEST_CASE("each change of an entry has one log line") {
  std::vector<std::string> lines;
  ChangeLog log([&](LogPart part, LogLevel, const std::string& sentence) {
    lines.push_back(std::string(LogPrefix(part)) + ' ' + sentence);
  });
  const auto observe = [&](const EntrySnapshot& next) {
    lines.clear();
    log.Observe(next);
    auto seen = lines;
    lines.clear();
    log.Observe(next);
    CHECK(lines.empty());
    return seen;
  };
  using Lines = std::vector<std::string>;

  EntrySnapshot now;
  CHECK(observe(now).empty());
  now.entry.permit.basis = PermitBasis::kLease;
  CHECK(observe(now) == Lines{"[membership] send permit gained by lease"});
  now.entry.permit.basis = PermitBasis::kNone;
  CHECK(observe(now) == Lines{"[membership] send permit lost"});
  now.entry.permit.basis = PermitBasis::kContacts;
  CHECK(observe(now) == Lines{"[membership] send permit regained by contacts"});
  now.entry.config_revision = Revision(7);
  CHECK(observe(now) == Lines{"[control] configuration revision 7 in force"});
  now.entry.is_holder = true;
  CHECK(observe(now) == Lines{"[control] control lease taken"});
  now.entry.is_holder = false;
  CHECK(observe(now) == Lines{"[control] control lease lost"});
  now.is_store_reachable = false;
  CHECK(observe(now) == Lines{"[store] store unreachable"});
  now.is_store_reachable = true;
  CHECK(observe(now) == Lines{"[store] store reachable again"});

  RegionState state;
  state.vms[VmId("v")] = {};
  state.shares = {
      {EntryId("a"), IncarnationId("a.1"), 1, SharePhase::kActive},
      {EntryId("b"), IncarnationId("b.1"), 1, SharePhase::kJoining}};
  now.state = std::make_shared<const RegionState>(state);
  CHECK(observe(now) ==
        Lines{"[membership] slot shares changed to a 1, b 1 joining"});
  state.waves[WaveId("w")] = {.id = WaveId("w"),
                              .phase = WavePhase::kStoppedByItself,
                              .reason = "2 VMs did not return"};
  now.state = std::make_shared<const RegionState>(state);
  CHECK(observe(now) ==
        Lines{"[control] wave w stopped: 2 VMs did not return"});
  now.ejected = {VmId("v")};
  CHECK(observe(now) == Lines{"[routing] endpoint v ejected"});
  now.ejected = {};
  CHECK(observe(now) == Lines{"[routing] endpoint v returned"});
}

}  // namespace
}  // namespace pomelomill
