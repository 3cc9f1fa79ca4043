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
  /// Decodes a registration; an error when it describes no usable worker.
  std::function<Result<ListedWorker>(const StoredKey&)> decode;
  /// The directory is up to date. Called once in each polling period in which
  /// the store responds, also without changes, and when the registration of a
  /// worker that is followed has changed by more than a heartbeat.
  std::function<void()> on_refreshed;
  /// A registration cannot be decoded. Called once for each key until a later
  /// version of it can be decoded.
  std::function<void(const std::string& key, std::error_code)> on_bad_record;
};

/// Workers that are registered in the store. Reads the whole list once and then
/// polls for its changes at a fixed period: workers renew their registrations
/// all the time, and a call for each change would cost more than reading the
/// list.
class WorkerDirectory {
 public:
  WorkerDirectory(const TransactionClient& client, TimerService& timers,
                  std::string prefix, WorkerDirectoryHooks hooks);
  ~WorkerDirectory();
  WorkerDirectory(const WorkerDirectory&) = delete;
  WorkerDirectory& operator=(const WorkerDirectory&) = delete;

  /// Has no effect while the directory is running.
  void Start();
  /// Stops polling and clears the list, which would become outdated.
  void Stop();
  /// For so long, learns of changes of the worker's registration at once
  /// instead of at the next poll. For a few workers at a time, see
  /// EntryFollowerOptions::max_keys. No effect while is_loaded() is false.
  void Follow(const WorkerId& id, Duration time);

  /// Whether the list has been read since Start(). False again while it must be
  /// reread because the store has discarded its history; WorkersOf() returns
  /// the workers known before until then.
  bool is_loaded() const;
  std::vector<ListedWorker> WorkersOf(const PoolId& pool) const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
