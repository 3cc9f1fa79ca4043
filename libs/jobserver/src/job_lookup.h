#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "cluster_view.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/dispatch/job_progress.h"
#include "pomelomill/http/http_client.h"
#include "pomelomill/store/transaction_client.h"
#include "store_records.h"

namespace pomelomill {

/// Answers of a pool owned by this process; nothing when it is not.
struct LocalPools {
  std::function<std::optional<JobPhase>(const PoolId&, const JobId&)> job_phase;
  std::function<std::optional<std::uint32_t>(const PoolId&, const QueueId&)>
      waiting_jobs;
  std::function<std::optional<DispatchLoad>(const PoolId&)> pool_load;
};

/// Finds out about jobs and queues: from a pool of this process, from its
/// owner, or from the store when the owner is away.
class JobLookup {
 public:
  JobLookup(const TransactionClient& store, HttpClient& peers,
            const ClusterView& view, LocalPools local);

  /// Remembers where a job belongs, so that the store is not asked.
  void CacheLocation(const JobId& job, const JobLocation& location);
  /// Nothing when the job does not exist, by a linearizable read.
  void FindLocation(const JobId& job, StoreCallback<std::optional<JobLocation>> done);
  /// Nothing when the job does not exist. The owner of the pool of `expected` is
  /// asked before the store, so that a job's state is known without it.
  void FindPhase(const JobId& job, const JobLocation& expected,
                 StoreCallback<std::optional<JobPhase>> done);
  /// An error when no owner answers.
  void FindWaitingJobs(const PoolId& pool, const QueueId& queue,
                   StoreCallback<std::uint32_t> done);

 private:
  /// Nothing when the pool's owner does not answer, or does not know the job.
  void QueryOwner(const JobId& job, const PoolId& pool,
                std::function<void(std::optional<JobPhase>)> done);
  void FindPhaseAtOwner(const JobId& job, const JobLocation& location,
                   StoreCallback<std::optional<JobPhase>> done);
  void ReadStoredPhase(const JobId& job, const JobLocation& location,
                 StoreCallback<std::optional<JobPhase>> done);

  const TransactionClient& store_;
  HttpClient& peers_;
  const ClusterView& view_;
  LocalPools local_;
  std::map<JobId, JobLocation> locations_;
  std::deque<JobId> cache_order_;
  /// Callbacks of calls under way do nothing after the object is gone.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

/// Asks another entry; the body of its answer, or an error.
void QueryPeer(HttpClient& peers, const std::string& address,
             const std::string& path,
             std::function<void(Result<std::string>)> done);

/// The answers of one entry to the lookups of others.
struct PeerResponse {
  int status = 200;
  std::string body;
};
PeerResponse AnswerPeerQuery(const LocalPools& local, const std::string& target);

}  // namespace pomelomill
