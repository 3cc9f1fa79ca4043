#pragma once

#include <sys/types.h>

#include <mutex>
#include <string>

#include "record.h"

namespace pomelomill::soak {

struct EntryOptions {
  std::string binary;
  std::string directory;
  std::string store_address;
  std::string machines_address;
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
  /// Held by whoever ends or holds the process.
  std::mutex& mutex() { return mutex_; }
  void Launch();
  void Kill();
  /// SIGTERM, and SIGKILL after the grace.
  void Terminate();
  void Signal(int signal);
  bool IsReady() const;

 private:
  bool AwaitEnd(int timeout_ms);

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
