#include "record.h"

#include <algorithm>

#include "wire.h"

namespace pomelomill::soak {

using platform::stand_in::UnixMillis;

void Record::Note(const std::string& text) {
  const std::lock_guard lock(mutex_);
  Write(text);
}

void Record::Started(const std::string& worker, const std::string& task,
                     std::uint32_t run) {
  const std::lock_guard lock(mutex_);
  Write("worker " + worker + " start " + task + " run " + std::to_string(run));
  ++counts_["starts"];
  ++starts_[task.substr(0, task.find('.'))];
  const std::string started =
      "run " + std::to_string(run) + " of " + task + " starts on " + worker;
  for (const auto& [other, other_run] : running_[task]) {
    std::string text = started;
    text += " while run ";
    text += std::to_string(other_run);
    text += " is in progress on ";
    text += other;
    Report("TWICE", text);
  }
  if (done_.contains(task))
    Report("AFTER-DONE", started + " after an acknowledged end done");
  CheckCap(task);
  running_[task][worker] = run;
}

void Record::SetCap(const std::string& workspace, std::int64_t cpu_millis) {
  const std::lock_guard lock(mutex_);
  caps_[workspace] = cpu_millis;
}

void Record::SetWorkspace(const std::string& job, const std::string& workspace,
                          std::int64_t cpu_millis) {
  const std::lock_guard lock(mutex_);
  jobs_[job] = {workspace, cpu_millis};
}

void Record::CheckCap(const std::string& task) {
  const std::string& workspace =
      jobs_[task.substr(0, task.find('.'))].workspace;
  const std::int64_t cap = caps_[workspace];
  if (cap == 0) return;
  std::int64_t used = 0;
  for (const auto& [other, runs] : running_) {
    const JobShape& job = jobs_[other.substr(0, other.find('.'))];
    if (job.workspace == workspace)
      used += job.cpu_millis * static_cast<std::int64_t>(runs.size());
  }
  if (used * 10 <= cap * 11) return;
  Report("QUOTA", workspace + " runs " + std::to_string(used) + " of " +
                      std::to_string(cap) + " before the start of " + task);
}

void Record::Ended(const std::string& worker, const std::string& task,
                   std::uint32_t run, const std::string& outcome) {
  const std::lock_guard lock(mutex_);
  Write("worker " + worker + " " + outcome + " " + task + " run " +
        std::to_string(run));
  ++counts_["ends " + outcome];
  running_[task].erase(worker);
}

void Record::Acknowledged(const std::string& task, const std::string& outcome) {
  const std::lock_guard lock(mutex_);
  if (outcome == "done") done_.insert(task);
}

void Record::Attempted(const std::string& job, int status) {
  const std::lock_guard lock(mutex_);
  Write("client POST " + job + " " + std::to_string(status));
  ++counts_["submissions " + std::to_string(status)];
  attempts_[job].push_back(status);
}

void Record::Broken(const std::string& rule, const std::string& text) {
  const std::lock_guard lock(mutex_);
  Report(rule, text);
}

void Record::CheckRefused() {
  const std::lock_guard lock(mutex_);
  for (const auto& [job, statuses] : attempts_) {
    const bool is_refused =
        std::all_of(statuses.begin(), statuses.end(), [](int it) {
          return it == 429 || it == 503 || it == 404 || it == 401;
        });
    if (is_refused && starts_.contains(job)) {
      Report("REFUSED", job + " was rejected by each of " +
                            std::to_string(statuses.size()) +
                            " attempts and has " +
                            std::to_string(starts_[job]) + " starts");
    }
  }
}

std::vector<std::string> Record::broken() {
  const std::lock_guard lock(mutex_);
  return broken_;
}

std::string Record::Summary() {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [name, count] : counts_)
    text += (text.empty() ? "" : ", ") + name + " " + std::to_string(count);
  return text;
}

void Record::Write(const std::string& text) {
  file_ << std::to_string(UnixMillis()) + " " + text + "\n" << std::flush;
}

void Record::Report(const std::string& rule, const std::string& text) {
  broken_.push_back(rule + ": " + text);
  Write("BROKEN " + broken_.back());
}

}  // namespace pomelomill::soak
