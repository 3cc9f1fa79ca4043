#include <doctest/doctest.h>

#include <functional>
#include <string>

#include "pomelomill/base/random.h"
#include "pomelomill/dispatch.h"
#include "store_records.h"

namespace pomelomill {
namespace {

constexpr int kMutations = 4'000;

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

}  // namespace

// Guards against one damaged value in the store that ends each process that
// reads it.
TEST_CASE("no mutation of a stored value throws") {
  JobSpec spec;
  spec.payload = "t";
  spec.steps.resize(2);
  spec.steps[1].after = {0};
  spec.steps[1].estimate = std::chrono::milliseconds(900);
  DecodeMutations(EncodeStoredJob(QueueId("q"), spec),
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

}  // namespace pomelomill
