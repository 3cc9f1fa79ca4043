#include <doctest/doctest.h>

#include "pomelomill/dispatch.h"

namespace pomelomill {

TEST_CASE("decoding returns the encoded jobs and progress") {
  JobSpec spec;
  spec.payload = "any \"text\"\n\x01";
  StepSpec step;
  step.tasks = 3;
  step.size = {.cpu_millis = 100, .memory_mb = 200, .gpus = 1};
  step.estimate = std::chrono::milliseconds(700);
  step.has_checkpoints = step.is_gang = step.is_long_running = true;
  step.required_label = "a";
  step.data_rack = "r1";
  step.max_per_worker = 2;
  step.image = "i";
  step.latency_target = std::chrono::milliseconds(90);
  step.max_unavailable = 1;
  spec.steps = {step, step};
  spec.steps[1].after = {0};
  spec.occurrences = 4;
  spec.first_due_ms = 1'700'000'000'000;
  spec.interval = std::chrono::seconds(2);
  CHECK(DecodeJobSpec(EncodeJobSpec(spec)) == spec);

  JobProgress progress;
  progress.phase = JobPhase::kFailed;
  progress.ended_ms = 12;
  progress.tasks = {{.occurrence = 1,
                     .step = 2,
                     .index = 3,
                     .is_done = true,
                     .failed_runs = {4, 6},
                     .crashed_runs = {5, 7},
                     .unfinished_run = 8,
                     .checkpoint = "s"}};
  CHECK(DecodeJobProgress(EncodeJobProgress(progress)) == progress);
}

TEST_CASE("progress of versions that count no crashes is decoded") {
  const auto progress = DecodeJobProgress(
      R"({"phase":"running","tasks":[[0,1,2,false,[4],"s"]]})");
  REQUIRE(progress);
  REQUIRE(progress->tasks.size() == 1);
  CHECK(progress->tasks[0].failed_runs == std::vector<std::uint32_t>{4});
  CHECK(progress->tasks[0].crashed_runs.empty());
}

TEST_CASE("malformed records are rejected") {
  for (const char* it :
       {"", "{", "[]", "{}", "{\"phase\":\"odd\"}", "{\"phase\":1}",
        "{\"phase\":\"failed\",\"tasks\":3}"}) {
    CAPTURE(it);
    CHECK_FALSE(DecodeJobProgress(it));
    CHECK_FALSE(DecodeJobSpec(it));
  }
}

TEST_CASE("invalid jobs are rejected") {
  JobSpec spec;
  CHECK_FALSE(CheckJob(spec));
  spec.steps.resize(1);
  CHECK(CheckJob(spec));
  spec.steps[0].tasks = 0;
  CHECK_FALSE(CheckJob(spec));
  spec.steps[0].tasks = kMaxTasksOfJob + 1;
  CHECK_FALSE(CheckJob(spec));
  spec.steps[0].tasks = 1;
  spec.steps[0].after = {0};
  CHECK_FALSE(CheckJob(spec));
  spec.steps.resize(kMaxStepsOfJob + 1);
  CHECK_FALSE(CheckJob(spec));
}

TEST_CASE("task keys are parsed from their exact text form only") {
  const TaskKey key{JobId("ab"), 1, 2, 3};
  CHECK(ToText(key) == "ab.1.2.3");
  CHECK(ParseTaskKey("ab.1.2.3") == key);
  for (const char* it : {"", "ab", "ab.1.2", "ab.1.2.3.4", ".1.2.3", "ab.1.2.x",
                         "ab.1.2.", "ab.1.2.99999999999"}) {
    CAPTURE(it);
    CHECK_FALSE(ParseTaskKey(it));
  }
}

}  // namespace pomelomill
