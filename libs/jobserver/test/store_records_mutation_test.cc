#include <doctest/doctest.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "pomelomill/base/random.h"
#include "pomelomill/dispatch.h"
#include "store_records.h"

namespace pomelomill {
namespace {

constexpr int kMutations = 4'000;
/// Least of the times in Examples(), in milliseconds, and more than any other
/// number there.
constexpr std::int64_t kLeastTime = 9'000;

/// Gives a stored value with changed, missing and added bytes to its decoder.
void DecodeMutations(const std::string& valid,
                     const std::function<void(const std::string&)>& decode) {
  Random random(1);
  for (int i = 0; i < kMutations; ++i) {
    std::string text = valid;
    for (std::uint64_t n = random.Below(4) + 1; n > 0; --n) {
      if (text.empty()) break;
      const std::size_t at = random.Below(text.size());
      if (random.Chance(0.2)) {
        text.resize(at);
      } else if (random.Chance(0.5)) {
        text.insert(at, 1, "0189-+.,:{}[]\" \n\xff"[random.Below(17)]);
      } else {
        text[at] = static_cast<char>(random.Below(256));
      }
    }
    CAPTURE(i);
    CAPTURE(text);
    CHECK_NOTHROW(decode(text));
  }
}

using Decoder = std::function<bool(const std::string&)>;

/// Valid values, each with its decoder, which returns whether it accepts a
/// text.
std::vector<std::pair<std::string, Decoder>> Examples() {
  const std::chrono::milliseconds time(kLeastTime);
  JobSpec spec;
  spec.payload = "t";
  spec.occurrences = 3;
  spec.first_due_ms = 1'700'000'000'000;
  spec.interval = time;
  spec.steps.resize(2);
  spec.steps[1].after = {0};
  for (StepSpec& it : spec.steps) {
    it.size = {.cpu_millis = 100, .memory_mb = 200, .gpus = 1};
    it.estimate = time;
    it.latency_target = time;
    it.max_per_worker = 2;
    it.max_unavailable = 1;
    it.is_gang = true;
    it.required_label = "a";
  }
  JobProgress progress;
  progress.phase = JobPhase::kRunning;
  progress.ended_ms = kLeastTime;
  progress.tasks = {{.failed_runs = {4}},
                    {.index = 1, .crashed_runs = {5, 7}, .unfinished_run = 8}};
  RosterRecord roster;
  roster.owner_count = 3;
  roster.workers[WorkerId("w")] = "10.0.0.1:80";
  DispatchLoad load;
  load.running_cpu_millis = 4'000;
  load.idle = {WorkerId("w")};
  load.lightly_loaded = {{WorkerId("v"), 500}};
  MemberRecord member;
  member.peer_address = "10.0.0.1:80";
  const StoredJob job{.queue = QueueId("q"),
                      .spec = spec,
                      .terms = QueueTerms{{.priority = 1,
                                           .max_attempts = 4,
                                           .stretch = 2,
                                           .target_latency = time},
                                          Revision(7)}};
  BacklogRecord backlog{.token = FencingToken(7)};
  backlog.backlog.levels = {{.priority = 1, .core_ms = {1, 2, 3}}};
  backlog.backlog.run_times[QueueId("q")] = time;
  using Text = const std::string&;
  return {
      {EncodeStoredJob(job),
       [](Text it) { return DecodeStoredJob(it).has_value(); }},
      {EncodeJobSpec(spec),
       [](Text it) { return DecodeJobSpec(it).has_value(); }},
      {EncodeJobProgress(progress),
       [](Text it) { return DecodeJobProgress(it).has_value(); }},
      {EncodeJobLocation({PoolId("p"), QueueId("q")}),
       [](Text it) { return DecodeJobLocation(it).has_value(); }},
      {EncodeRoster(roster),
       [](Text it) { return DecodeRoster(it).has_value(); }},
      {EncodeLoad(load), [](Text it) { return DecodeLoad(it).has_value(); }},
      {EncodeMember(member),
       [](Text it) { return DecodeMember(it).has_value(); }},
      {EncodeBacklog(backlog),
       [](Text it) { return DecodeBacklog(it).has_value(); }},
      {EncodeOwner({EntryId("e"), IncarnationId("i")}),
       [](Text it) { return DecodeOwner(it).has_value(); }},
      {EncodeMaintainedVms({VmId("v")}),
       [](Text it) { return DecodeMaintainedVms(it).has_value(); }}};
}

/// Calls `visit` with each value inside `json`, for it to change.
void VisitValues(nlohmann::json& json,
                 const std::function<void(nlohmann::json&)>& visit) {
  visit(json);
  if (!json.is_structured()) return;
  for (auto& it : json) VisitValues(it, visit);
}

/// Returns `json` as text in which `value`, one of those inside it, is replaced
/// by the text `odd`.
std::string TextWith(const nlohmann::json& json, nlohmann::json& value,
                     std::string_view odd) {
  constexpr std::string_view kMark = "\"@odd@\"";
  nlohmann::json former = std::exchange(value, "@odd@");
  std::string text = json.dump();
  value = std::move(former);
  return text.replace(text.find(kMark), kMark.size(), odd);
}

}  // namespace

// Guards against one damaged value in the store that ends each process that
// reads it.
TEST_CASE("no mutation of a stored value throws") {
  JobSpec spec;
  spec.payload = "t";
  spec.steps.resize(2);
  spec.steps[1].after = {0};
  spec.steps[1].estimate = std::chrono::milliseconds(900);
  DecodeMutations(
      EncodeStoredJob({.queue = QueueId("q"),
                       .spec = spec,
                       .terms = QueueTerms{{.max_attempts = 4}, Revision(7)}}),
      [](const std::string& it) { DecodeStoredJob(it); });
  JobProgress progress;
  progress.phase = JobPhase::kRunning;
  progress.tasks = {{.failed_runs = {4}},
                    {.index = 1, .crashed_runs = {5, 7}, .unfinished_run = 8}};
  DecodeMutations(EncodeJobProgress(progress),
                  [](const std::string& it) { DecodeJobProgress(it); });
  DecodeMutations(EncodeJobLocation({PoolId("p"), QueueId("q")}),
                  [](const std::string& it) { DecodeJobLocation(it); });
  RosterRecord roster;
  roster.owner_count = 3;
  roster.workers[WorkerId("w")] = "10.0.0.1:80";
  DecodeMutations(EncodeRoster(roster),
                  [](const std::string& it) { DecodeRoster(it); });
  DispatchLoad load;
  load.running_cpu_millis = 4'000;
  load.idle = {WorkerId("w")};
  DecodeMutations(EncodeLoad(load),
                  [](const std::string& it) { DecodeLoad(it); });
  MemberRecord member;
  member.peer_address = "10.0.0.1:80";
  DecodeMutations(EncodeMember(member),
                  [](const std::string& it) { DecodeMember(it); });
}

// Guards against a number out of range, in the place of any value, that is read
// as another number or overflows a sum of times.
TEST_CASE(
    "no odd number in the place of a stored value is accepted as number") {
  for (const auto& example : Examples()) {
    // clang-tidy 14 captures no structured bindings.
    const std::string& valid = example.first;
    const Decoder& decode = example.second;
    CAPTURE(valid);
    REQUIRE(decode(valid));
    nlohmann::json json = nlohmann::json::parse(valid);
    VisitValues(json, [&](nlohmann::json& value) {
      std::vector<const char*> unreadable = {"1e999", "-1e999", "NaN", "-",
                                             "1.5.2"};
      // A fraction may have any size, see the test of members below.
      if (!value.is_number_float()) {
        for (const char* it : {"99999999999999999999", "18446744073709551616",
                               "-9223372036854775809"})
          unreadable.push_back(it);
      }
      for (const char* odd : unreadable) {
        const std::string text = TextWith(json, value, odd);
        CAPTURE(text);
        CHECK_FALSE(decode(text));
      }
      if (!value.is_number_integer()) return;
      std::vector<const char*> odds = {
          "-9223372036854775808", "4e18", "0.5", "-0.0", "1e300", "true"};
      if (value < kLeastTime) odds.push_back("-1");
      // A load is a sum of many numbers.
      if (!json.contains("waiting")) {
        odds.push_back("9223372036854775807");
        odds.push_back("18446744073709551615");
      }
      for (const char* odd : odds) {
        const std::string text = TextWith(json, value, odd);
        CAPTURE(text);
        CHECK_FALSE(decode(text));
      }
    });
  }
}

// Guards against a deeply nested value that takes more memory than the process
// has, or recursion without bound.
TEST_CASE("no deeply nested stored value is accepted, in any place") {
  constexpr std::size_t kLevels = 20'000;
  std::string objects;
  for (std::size_t i = 0; i < kLevels; ++i) objects += R"({"a":)";
  const std::string arrays(kLevels, '[');
  for (const std::string& odd :
       {arrays, arrays + std::string(kLevels, ']'), objects,
        objects + "1" + std::string(kLevels, '}')}) {
    for (const auto& example : Examples()) {
      // clang-tidy 14 captures no structured bindings.
      const std::string& valid = example.first;
      const Decoder& decode = example.second;
      CAPTURE(valid);
      nlohmann::json json = nlohmann::json::parse(valid);
      VisitValues(json, [&](nlohmann::json& value) {
        CHECK_FALSE(decode(TextWith(json, value, odd)));
      });
      if (!json.is_object()) continue;
      json["later"] = 0;
      CHECK_FALSE(decode(TextWith(json, json["later"], odd)));
    }
  }
}

// Guards against an entry of hardly any or of endless capacity, for which the
// shares of the roles are no numbers.
TEST_CASE("a member of a capacity out of range has that of a usual member") {
  const EntryCapacity defaults;
  for (const char* it :
       {"1e-300", "1e300", "-1", "0", "1e15", "99999999999999999999"}) {
    CAPTURE(it);
    const auto member = DecodeMember(
        R"({"peer":"10.0.0.1:1","zone":"z","incarnation":"i","cpu":)" +
        std::string(it) + "}");
    REQUIRE(member);
    CHECK(member->capacity.cpu_cores == defaults.cpu_cores);
  }
}

}  // namespace pomelomill
