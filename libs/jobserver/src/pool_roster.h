#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/transaction_client.h"
#include "store_records.h"

namespace pomelomill {

struct PoolRosterHooks {
  /// The roster of previous owners is read, and this owner is counted.
  std::function<void()> on_loaded;
  /// A changed list of workers is stored.
  std::function<void()> on_stored;
  /// The pool belongs to somebody else.
  std::function<void()> on_lost;
  /// The stored roster cannot be understood.
  std::function<void(const std::string& key)> on_bad_record;
};

/// The pool's count of owners and the workers that may run its tasks, in the
/// store: the next owner learns from there whom to ask.
class PoolRoster {
 public:
  PoolRoster(const TransactionClient& client, TimerService& timers, PoolId pool,
             FencingToken token, PoolRosterHooks hooks);
  ~PoolRoster();
  PoolRoster(const PoolRoster&) = delete;
  PoolRoster& operator=(const PoolRoster&) = delete;

  void Load();
  /// Stores another list of workers; ignored while a write is under way.
  void SetWorkers(std::map<WorkerId, std::string> workers);

  /// As previous owners left it.
  const RosterRecord& previous() const;
  /// As stored now.
  const RosterRecord& current() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
