#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/platform_hooks.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

struct WorkerDirectoryHooks {
  std::function<Result<ListedWorker>(const StoredKey&)> decode;
  /// The store has answered: the directory is as current as it can be. Runs
  /// once in each period while the store answers.
  std::function<void()> on_refreshed;
  /// An entry cannot be used; once for each key until it can.
  std::function<void(const std::string& key, std::error_code)> on_bad_record;
};

/// The workers that the store lists. Reads the list once and from then on its
/// changes, once in each period: workers renew their entries all the time, and
/// a call for each change would cost more than the list.
class WorkerDirectory {
 public:
  WorkerDirectory(const TransactionClient& client, TimerService& timers,
                  std::string prefix, WorkerDirectoryHooks hooks);
  ~WorkerDirectory();
  WorkerDirectory(const WorkerDirectory&) = delete;
  WorkerDirectory& operator=(const WorkerDirectory&) = delete;

  /// No effect when it has been started.
  void Start();
  /// Asks nothing more and forgets the list, which would grow old.
  void Stop();

  /// Whether the list has been read since Start().
  bool is_loaded() const;
  std::vector<ListedWorker> WorkersOf(const PoolId& pool) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
