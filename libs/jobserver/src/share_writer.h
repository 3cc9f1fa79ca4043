#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/transaction_client.h"
#include "pomelomill/workspaces/share_ledger.h"

namespace pomelomill {

struct ShareWriterHooks {
  /// Returns what the pool uses of each workspace.
  std::function<std::map<WorkspaceId, WorkspaceUse>()> uses;
  /// The limits of a workspace may have changed.
  std::function<void(const WorkspaceId&, const WorkspaceLimits&)> on_limits;
  /// A transaction that was conditional on the pool's owner is stored.
  std::function<void(Version)> on_committed;
  /// A share was stored, changed from `former`.
  std::function<void(const WorkspaceId&, const PoolShare& former,
                     const PoolShare& share)>
      on_share;
  /// The pool has another owner.
  std::function<void()> on_lost;
  std::function<void(const std::string& key)> on_bad_record;
};

/// Keeps the shares that one pool has of the workspaces' caps in the store, as
/// a ShareLedger decides. Does nothing while no workspace has a cap. Each write
/// is conditional on the pool's owner and on the record that it changes; one
/// without an answer is repeated until its outcome is known.
class ShareWriter {
 public:
  ShareWriter(const TransactionClient& client, TimerService& timers,
              PoolId pool, FencingToken token, ShareWriterHooks hooks);
  ~ShareWriter();
  ShareWriter(const ShareWriter&) = delete;
  ShareWriter& operator=(const ShareWriter&) = delete;

  /// Sets the caps of a configuration, see ShareLedger::SetCaps().
  void SetCaps(const std::vector<WorkspaceConfig>& workspaces);
  /// All runs of earlier owners are known.
  void SetTakeoverComplete();
  /// What the pool uses has changed: stores shares that must change.
  void Update();
  /// Writes nothing more and calls no hook.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
