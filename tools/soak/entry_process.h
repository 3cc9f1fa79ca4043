#pragma once

#include <sys/types.h>

#include <mutex>
#include <string>
#include <vector>

#include "record.h"

namespace pomelomill::soak {

struct EntryOptions {
  std::string binary;
  std::string directory;
  std::string store_address;
  std::string machines_address;
  int memory_mb = 512;
  /// "NAME=VALUE".
  std::vector<std::string> environment = {};
};

/// An entry: a process of the product that can be ended, held and started
/// again. Its log is DIRECTORY/entry-INDEX.log.
class EntryProcess {
 public:
  EntryProcess(int index, EntryOptions options, Record& record);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  const std::string& callers() const { return callers_; }
  /// 0 while it is not running.
  pid_t pid() const { return pid_; }
  /// Held by whoever ends or holds the process.
  std::mutex& mutex() { return mutex_; }
  void Launch();
  void Kill();
  /// SIGTERM, and SIGKILL after the grace.
  void Terminate();
  void Signal(int signal);
  bool IsReady() const;
  /// Whether the process ends within the time.
  bool AwaitEnd(int timeout_ms);

 private:
  const int index_;
  const EntryOptions options_;
  Record& record_;
  const std::string callers_;
  const std::string ready_;
  const std::string peers_;
  const std::string metrics_;
  std::mutex mutex_;
  pid_t pid_ = 0;
};

}  // namespace pomelomill::soak
