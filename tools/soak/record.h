#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace pomelomill::soak {

/// What happened, as the workers and the clients saw it, and the rules that it
/// broke. Each line of the file begins with the milliseconds of Unix time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Note(const std::string& text);
  void Started(const std::string& worker, const std::string& task,
               std::uint32_t run);
  void Ended(const std::string& worker, const std::string& task,
             std::uint32_t run, const std::string& outcome);
  /// The owner has seen this end.
  void Acknowledged(const std::string& task, const std::string& outcome);
  /// An attempt of a submission; 0 when there was no answer.
  void Attempted(const std::string& job, int status);
  void Broken(const std::string& rule, const std::string& text);

  /// Cap on the cores of a workspace, in thousandths; 0 for none.
  void SetCap(const std::string& workspace, std::int64_t cpu_millis);
  /// A job is about to be submitted, whose tasks have `cpu_millis` each at
  /// most.
  void SetWorkspace(const std::string& job, const std::string& workspace,
                    std::int64_t cpu_millis);

  /// Breaks REFUSED for each job that ran although each attempt was rejected.
  void CheckRefused();
  std::vector<std::string> broken();
  std::string Summary();

 private:
  void Write(const std::string& text);
  void Report(const std::string& rule, const std::string& text);
  /// Reports QUOTA when the workspace of the task runs more than its cap and a
  /// tenth before the start of the task, which is the one task more.
  void CheckCap(const std::string& task);

  struct JobShape {
    std::string workspace;
    std::int64_t cpu_millis = 0;
  };

  std::mutex mutex_;
  std::ofstream file_;
  /// Worker and run of the runs in progress, by task.
  std::map<std::string, std::map<std::string, std::uint32_t>> running_;
  std::set<std::string> done_;
  std::map<std::string, std::vector<int>> attempts_;
  std::map<std::string, int> starts_;
  std::map<std::string, std::int64_t> caps_;
  std::map<std::string, JobShape> jobs_;
  std::vector<std::string> broken_;
  std::map<std::string, int> counts_;
};

}  // namespace pomelomill::soak
