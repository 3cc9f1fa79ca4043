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
int RunSuspects(World& world, bool has_trouble) {
  constexpr int kSubmissions = 60;
  constexpr int kCount = 24;
  constexpr int kCpu = 600;
  constexpr int kRunMs = 4'000;
  constexpr std::int64_t kSubmitEveryMs = 333;
  constexpr std::int64_t kCrashEveryMs = 1'000;
  constexpr std::int64_t kDownMs = 900;
  if (!world.AwaitReady())
    return CouldNotRun(world, "the entries are not ready");
  SleepMillis(2'000);
  Record& record = world.record();
  std::mt19937 random(std::random_device{}());
  std::vector<std::string> ids;
  const std::int64_t began = record.Now();
  std::int64_t crash_at = began + kCrashEveryMs;
  std::size_t last = world.runners();
  for (int i = 0; i < kSubmissions; ++i) {
    ids.push_back(Id(i));
    if (!world.Submit(kPrefix, ids.back(), Submission(kRunMs, 1, kCount, kCpu)))
      return CouldNotRun(world, "a submission was not accepted");
    while (record.Now() < began + (i + 1) * kSubmitEveryMs) {
      SleepMillis(10);
      if (!has_trouble || record.Now() < crash_at) continue;
      crash_at += kCrashEveryMs;
      // Any runner but the one that crashed last.
      std::size_t chosen = last;
      while (chosen == last) chosen = random() % world.runners();
      last = chosen;
      world.CrashRunner(chosen, kDownMs);
    }
  }
  const std::int64_t accepted_at = record.Now();
  while (record.Now() < accepted_at + 14'000) SleepMillis(50);  // finish_s
  // For 3 s: nothing of it runs, and under half of the capacity is in use.
  std::set<std::string> idle(ids.begin(), ids.end());
  std::size_t most_running = 0;
  const std::int64_t from = record.Now();
  while (record.Now() < from + 3'500) {
    std::size_t running = 0;
    for (const auto& [task, notes] : world.runs())
      for (const RunNote& it : notes) running += it.ended < 0 ? 1 : 0;
    most_running = std::max(most_running, running);
    if (running * kCpu * 2 > world.capacity_cpu()) idle.clear();
    std::erase_if(idle, [&](const auto& it) { return world.HasRunning(it); });
    SleepMillis(50);
  }
  std::size_t lost = 0;
  std::size_t failed = 0;
  for (const std::string& id : ids) {
    const std::string state = world.State(kPrefix, id);
    const std::size_t done = world.CountDone(id);
    record.Note(Text("submission ", id, ": ", state, ", ", done, " of ", kCount,
                     " work items done",
                     idle.contains(id) ? ", nothing running for 3.5 s" : ""));
    lost += state != "complete" && done < kCount && idle.contains(id) ? 1 : 0;
    failed += state == "failed" ? 1 : 0;
  }
  return Conclude(
      world, lost != failed,
      Text(lost - failed, " of ", kSubmissions, " accepted submissions, ",
           (from - accepted_at) / 1'000,
           " s after their acceptance, have work items to run and nothing "
           "running for 3.5 s, while at most ",
           most_running * kCpu, " of ", world.capacity_cpu(),
           " thousandths of a core are in use; shown as failed: ", failed));
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

/// A late copy of a start reaches the runner's next life.
int RunLateStart(World& world, bool has_trouble) {
  constexpr int kEarlier = 4;
  constexpr std::int64_t kDownMs = 300;
  constexpr std::int64_t kShortestDelayMs = 2'000;
  if (!world.AwaitReady())
    return CouldNotRun(world, "the entries are not ready");
  SleepMillis(2'000);
  Record& record = world.record();
  for (int i = 0; i < kEarlier; ++i) {
    if (!world.Submit(kPrefix, Id(i), Submission(300, 1, 24, 1'000)))
      return CouldNotRun(world, "a submission was not accepted");
  }
  const std::string id = Id(kEarlier);
  if (has_trouble) {
    for (std::size_t i = 0; i < world.runners(); ++i)
      world.gate(i).KeepStart(id);
  }
  if (!world.Submit(kPrefix, id, Submission(1'000, 1, 1, 1'000)))
    return CouldNotRun(world, "the submission was not accepted");
  const std::int64_t began = record.Now();
  while (record.Now() < began + 5'000 && world.State(kPrefix, id) != "complete")
    SleepMillis(100);
  if (world.State(kPrefix, id) != "complete")
    return CouldNotRun(world, "the submission did not end");
  const std::size_t kept = [&] {
    for (std::size_t i = 0; i < world.runners(); ++i)
      if (world.gate(i).has_kept()) return i;
    return world.runners();
  }();
  if (has_trouble && kept == world.runners())
    return CouldNotRun(world, "no start was kept back");
  if (has_trouble) {
    record.Note("one start had no answer, another copy of it was carried out");
    while (record.Now() < began + kShortestDelayMs) SleepMillis(10);
    world.CrashSilently(kept, kDownMs);
    while (!world.gate(kept).has_target()) SleepMillis(10);
    SleepMillis(300);
    const WireReply reply = world.gate(kept).Deliver();
    record.Note("the start that was late by " +
                std::to_string(record.Now() - began) + " ms is answered " +
                std::to_string(reply.status) + " " + reply.body);
  }
  SleepMillis(5'000);
  int starts = 0;
  int after_done = 0;
  for (const auto& [task, notes] : world.runs()) {
    if (!task.starts_with(id)) continue;
    for (const RunNote& it : notes) {
      ++starts;
      for (const RunNote& earlier : notes) {
        after_done += earlier.how == "done" && earlier.is_seen &&
                      earlier.ended < it.began;
      }
    }
  }
  return Conclude(world, after_done != 0,
                  "the work item was started " + std::to_string(starts) +
                      " times, " + std::to_string(after_done) +
                      " of them after a run had ended done and this end had "
                      "been taken note of");
}

}  // namespace

int RunCase(const std::string& name, const std::string& directory,
            const std::string& record_file, bool has_trouble) {
  Record record(record_file);
  WorldOptions options{.directory = directory};
  options.queues = {{"work", kPrefix, "alpha"}};
  if (name == "suspects") {
    World world(options, record);
    return RunSuspects(world, has_trouble);
  }
  if (name == "gangs") {
    options.special_runners = 2;
    World world(options, record);
    return RunGangs(world, has_trouble);
  }
  if (name == "late-start") {
    options.has_network = true;
    World world(options, record);
    return RunLateStart(world, has_trouble);
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
