#include "cases.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../../platform/stand_in/wire.h"
#include "text.h"
#include "world.h"

namespace pomelomill::review {
namespace {

using platform::stand_in::SleepMillis;

constexpr const char* kPrefix = "/orders/";

std::string Id(int n) {
  std::string digits = std::to_string(n);
  return "5c0e7a21d94b" + std::string(4 - digits.size(), '0') + digits;
}

int Conclude(World& world, bool is_broken, const std::string& text) {
  world.record().Note((is_broken ? "BROKEN: " : "held: ") + text);
  std::cout << (is_broken ? "BROKEN: " : "held: ") << text << "\n";
  return is_broken ? kBroken : kHeld;
}

int CouldNotRun(World& world, const std::string& text) {
  world.record().Note("could not run: " + text);
  std::cout << "could not run: " << text << "\n";
  return kCouldNotRun;
}

/// Single runners crash, one at a time.
int RunCrashes(World& world, bool has_trouble) {
  constexpr std::int64_t kLengthMs = 60'000;
  constexpr std::int64_t kSubmitEveryMs = 3'000;
  constexpr std::int64_t kCrashEveryMs = 1'000;
  constexpr std::int64_t kDownMs = 900;
  if (!world.AwaitReady())
    return CouldNotRun(world, "the entries are not ready");
  SleepMillis(2'000);
  Record& record = world.record();
  std::mt19937 random(std::random_device{}());
  std::vector<std::string> accepted;
  std::vector<std::string> lasting;
  int next = 0;
  for (int i = 0; i < 2; ++i) {
    lasting.push_back(Id(next++));
    if (!world.Submit(kPrefix, lasting.back(), Lasting(5, 2'000)))
      return CouldNotRun(world, "a submission was not accepted");
  }
  const std::int64_t began = record.Now();
  std::int64_t submit_at = began;
  std::int64_t crash_at = began + 3'000;
  std::size_t last = world.runners();
  int crashes = 0;
  while (record.Now() < began + kLengthMs) {
    if (record.Now() >= submit_at) {
      submit_at += kSubmitEveryMs;
      accepted.push_back(Id(next++));
      if (!world.Submit(kPrefix, accepted.back(),
                        Submission(3'000, 2, 6, 2'000)))
        return CouldNotRun(world, "a submission was not accepted");
    }
    if (has_trouble && record.Now() >= crash_at) {
      crash_at += kCrashEveryMs;
      // Any runner but the one that crashed last.
      std::size_t chosen = last;
      while (chosen == last) chosen = random() % world.runners();
      last = chosen;
      world.CrashRunner(chosen, kDownMs);
      ++crashes;
    }
    SleepMillis(20);
  }
  SleepMillis(14'000);  // finish_s
  std::size_t unfounded = 0;
  std::string which;
  for (const auto* group : {&accepted, &lasting}) {
    for (const std::string& id : *group) {
      const std::string state = world.State(kPrefix, id);
      const std::size_t failed = world.CountEnds(id, "failed");
      record.Note(Text("submission ", id, ": ", state, ", ", failed,
                       " ends failed, ", world.CountEnds(id, "lost"),
                       " runs lost with their runner"));
      if (state != "failed" || failed != 0) continue;
      ++unfounded;
      which += " " + id + (group == &lasting ? " (lasting)" : "");
    }
  }
  return Conclude(world, unfounded != 0,
                  std::to_string(unfounded) + " of " +
                      std::to_string(accepted.size() + lasting.size()) +
                      " accepted submissions are shown as failed though no "
                      "work item of theirs ended failed, after " +
                      std::to_string(crashes) + " crashes:" + which);
}

/// A schedule whose progress grows beyond the largest value of the store.
int RunSchedule(World& world, bool has_trouble) {
  constexpr int kWorkItems = 24;
  constexpr int kFewOccurrences = 200;
  constexpr int kManyOccurrences = 2'500;
  constexpr int kIntervalMs = 25;
  constexpr std::int64_t kLongestMs = 75'000;
  constexpr int kOthers = 5;
  constexpr int kOtherCpu = 500;
  if (!world.AwaitReady())
    return CouldNotRun(world, "the entries are not ready");
  SleepMillis(2'000);
  Record& record = world.record();
  const std::string schedule = Id(0);
  Json body = Submission(100, 1, kWorkItems, 100);
  body["repeatCount"] = has_trouble ? kManyOccurrences : kFewOccurrences;
  body["startAtMs"] = platform::stand_in::UnixMillis() + 500;
  body["intervalMs"] = kIntervalMs;
  if (!world.Submit(kPrefix, schedule, body))
    return CouldNotRun(world, "the schedule was not accepted");
  const std::int64_t began = record.Now();
  const std::size_t all = static_cast<std::size_t>(kWorkItems) *
                          (has_trouble ? kManyOccurrences : kFewOccurrences);
  while (record.Now() < began + kLongestMs && world.CountDone(schedule) < all &&
         world.store().refused_values() == 0) {
    SleepMillis(500);
    record.Note("schedule: " + std::to_string(world.CountDone(schedule)) +
                " of " + std::to_string(all) +
                " work items done, largest value offered to the store " +
                std::to_string(world.store().largest_value()));
  }
  SleepMillis(5'000);
  std::vector<std::string> others;
  for (int i = 0; i < kOthers; ++i) {
    others.push_back(Id(1 + i));
    if (!world.Submit(kPrefix, others.back(), Submission(500, 2, 6, kOtherCpu)))
      return CouldNotRun(world, "a submission was not accepted");
    SleepMillis(1'000);
  }
  SleepMillis(14'000);  // finish_s
  // For 3 s: nothing of it runs, and under half of the capacity is in use.
  std::set<std::string> idle(others.begin(), others.end());
  const std::int64_t from = record.Now();
  while (record.Now() < from + 3'500) {
    std::size_t running = 0;
    for (const auto& [task, notes] : world.runs())
      for (const RunNote& it : notes) running += it.ended < 0;
    if (running * kOtherCpu > world.capacity_cpu() / 2) idle.clear();
    std::erase_if(idle, [&](const auto& it) { return world.HasRunning(it); });
    SleepMillis(50);
  }
  std::size_t lost = 0;
  for (const std::string& id : others) {
    const std::string state = world.State(kPrefix, id);
    const std::size_t done = world.CountDone(id);
    record.Note(Text("submission ", id, ": ", state, ", ", done,
                     " of 12 work items done",
                     idle.contains(id) ? ", nothing running for 3.5 s" : ""));
    lost += state != "complete" && idle.contains(id);
  }
  record.Note("schedule: " + world.State(kPrefix, schedule) + ", " +
              std::to_string(world.CountDone(schedule)) + " of " +
              std::to_string(all) + " work items done");
  return Conclude(
      world, lost != 0,
      std::to_string(lost) + " of " + std::to_string(kOthers) +
          " accepted submissions are not complete and have nothing running "
          "for 3.5 s while most capacity is free; the store refused " +
          std::to_string(world.store().refused_values()) +
          " transactions with a value over its limit, largest " +
          std::to_string(world.store().largest_value()) + " bytes");
}

/// Gangs that wait for the runners with a label.
int RunGangs(World& world, bool has_trouble) {
  constexpr int kGangs = 10;
  constexpr int kMembers = 3;
  constexpr int kCpu = 16'000;
  if (!world.AwaitReady())
    return CouldNotRun(world, "the entries are not ready");
  SleepMillis(2'000);
  Record& record = world.record();
  // Takes half of each of the two runners with the label.
  Json lasting = Lasting(2, kCpu);
  lasting["steps"][0]["requires"] = "b";
  lasting["steps"][0]["antiAffinity"] = 1;
  if (!world.Submit(kPrefix, Id(0), lasting))
    return CouldNotRun(world, "the lasting submission was not accepted");
  SleepMillis(2'000);
  std::vector<std::string> ids;
  for (int i = 0; i < kGangs; ++i) {
    ids.push_back(Id(1 + i));
    Json body =
        Submission(1'000, 1, kMembers, has_trouble ? kCpu : kCpu + 1'000);
    body["steps"][0]["requires"] = "b";
    if (has_trouble) body["steps"][0]["gang"] = true;
    if (!world.Submit(kPrefix, ids.back(), body))
      return CouldNotRun(world, "a submission was not accepted");
  }
  // visible_ms + 2 s, and a second more.
  SleepMillis(6'000);
  int wrong = 0;
  int asked = 0;
  int lowest = kGangs;
  for (int round = 0; round < 5; ++round) {
    for (std::size_t entry = 0; entry < world.entries(); ++entry) {
      const int begun = static_cast<int>(
          std::count_if(ids.begin(), ids.end(),
                        [&](const auto& it) { return world.HasBegun(it); }));
      const Answer answer = world.Call(entry, "GET", kPrefix);
      if (answer.status != 200) continue;
      ++asked;
      lowest = std::min(lowest, answer.waiting);
      if (answer.waiting * 2 >= kGangs - begun) continue;
      ++wrong;
      record.Note("waiting is given as " + std::to_string(answer.waiting) +
                  ", but " + std::to_string(kGangs - begun) +
                  " accepted submissions have not begun");
    }
    SleepMillis(500);
  }
  int shown_running = 0;
  for (const std::string& id : ids)
    shown_running +=
        world.State(kPrefix, id) == "running" && !world.HasBegun(id);
  // Once the lasting submission is cancelled, the others can be done.
  world.Call(0, "DELETE", kPrefix + Id(0));
  SleepMillis(5'000);
  int begun = 0;
  for (const std::string& id : ids) begun += world.HasBegun(id);
  record.Note("after the cancelling " + std::to_string(begun) +
              " submissions have begun");
  if (asked == 0) return CouldNotRun(world, "no answer gave waiting");
  return Conclude(
      world, wrong != 0,
      std::to_string(wrong) + " of " + std::to_string(asked) +
          " answers give under half of the " + std::to_string(kGangs) +
          " submissions that wait, the lowest " + std::to_string(lowest) +
          "; " + std::to_string(shown_running) +
          " that have not begun are shown as running");
}

/// Two clients choose the same ID, each for its own queue.
int RunSameId(World& world, bool has_trouble) {
  constexpr const char* kOther = "/quotes/";
  constexpr int kCount = 6;
  if (!world.AwaitReady())
    return CouldNotRun(world, "the entries are not ready");
  SleepMillis(2'000);
  Record& record = world.record();
  const std::string first = Id(1);
  const std::string second = has_trouble ? first : Id(2);
  if (!world.Submit(kPrefix, first, Submission(1'000, 1, kCount, 2'000)))
    return CouldNotRun(world, "the first submission was not accepted");
  SleepMillis(200);
  // Nobody has handed it in to this queue yet.
  const std::string foreign = world.State(kOther, second);
  if (!world.Submit(kOther, second, Submission(2'000, 1, kCount, 2'000)))
    return CouldNotRun(world, "the second submission was not accepted");
  SleepMillis(14'000);  // finish_s
  const std::string state = world.State(kOther, second);
  int done = 0;
  for (const auto& [task, notes] : world.runs()) {
    if (!task.starts_with(second + ".")) continue;
    done += std::any_of(notes.begin(), notes.end(), [](const RunNote& it) {
      return it.machine.starts_with("m-beta") && it.how == "done";
    });
  }
  record.Note("submission " + std::string(kOther) + second +
              ": before it was handed in shown as " + foreign + ", then " +
              state + ", " + std::to_string(done) +
              " work items done on its service");
  const bool is_unasked_shown = foreign != "gone";
  const bool is_wrongly_complete = state == "complete" && done < kCount;
  return Conclude(
      world, is_unasked_shown || is_wrongly_complete,
      std::string(kOther) + second + " is shown as " + foreign +
          " before anybody has handed it in; handed in and accepted, it is "
          "shown as " +
          state + " after " + std::to_string(done) + " of its " +
          std::to_string(kCount) + " work items have run");
}

}  // namespace

int RunCase(const std::string& name, const std::string& directory,
            const std::string& record_file, bool has_trouble) {
  Record record(record_file);
  WorldOptions options{.directory = directory};
  options.queues = {{"work", kPrefix, "alpha"}};
  if (name == "crashes") {
    World world(options, record);
    return RunCrashes(world, has_trouble);
  }
  if (name == "schedule") {
    options.runners = 4;
    World world(options, record);
    return RunSchedule(world, has_trouble);
  }
  if (name == "gangs") {
    options.special_runners = 2;
    World world(options, record);
    return RunGangs(world, has_trouble);
  }
  if (name == "same-id") {
    options.queues.push_back({"quotes", "/quotes/", "beta"});
    World world(options, record);
    return RunSameId(world, has_trouble);
  }
  std::cout << "no such case: " << name << "\n";
  return kCouldNotRun;
}

}  // namespace pomelomill::review
