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
#include "pomelomill/http/persistent_http_client.h"
#include "pomelomill/store/transaction_client.h"
#include "store_records.h"

namespace pomelomill {

/// Queries on the pools that this process owns. Each returns nullopt when it
/// does not own the pool or has not loaded it yet; job_phase also when the pool
/// does not have the job.
struct LocalPools {
  std::function<std::optional<JobPhase>(const PoolId&, const JobId&)> job_phase;
  std::function<std::optional<std::uint32_t>(const PoolId&, const QueueId&)>
      waiting_jobs;
  std::function<std::optional<DispatchLoad>(const PoolId&)> pool_load;
};

/// Looks up jobs and queues for callers. Asks the pool's owner first, which may
/// be this process or a peer. The phase of a job is read from the store when
/// the owner does not answer or does not have the job; the number of waiting
/// jobs is known to the owner only.
class JobLookup {
 public:
  JobLookup(const TransactionClient& store, PersistentHttpClient& peers,
            const ClusterView& view, LocalPools local);

  /// Caches the location of a job, which saves reading it from the store.
  void CacheLocation(const JobId& job, const JobLocation& location);
  /// Passes on the location of a job, from the cache or a linearizable read of
  /// the store; nullopt when the job does not exist. Fails with the store's
  /// error or DispatchError::kMalformedRecord.
  void FindLocation(const JobId& job,
                    StoreCallback<std::optional<JobLocation>> done);
  /// Passes on the phase of a job; nullopt when the job does not exist. Fails
  /// with the store's error or DispatchError::kMalformedRecord. Asks the owner
  /// of the expected pool before the store, so that the usual case needs no
  /// read of the store.
  void FindPhase(const JobId& job, const JobLocation& expected,
                 StoreCallback<std::optional<JobPhase>> done);
  /// Passes on the number of waiting jobs of a queue; StoreError::kUnavailable
  /// when no owner of the pool answers.
  void FindWaitingJobs(const PoolId& pool, const QueueId& queue,
                       StoreCallback<std::uint32_t> done);

 private:
  /// Asks the pool's owner, this process or a peer, for the phase of a job.
  /// Passes on nullopt when the owner does not answer or does not have the job.
  void QueryOwner(const JobId& job, const PoolId& pool,
                  std::function<void(std::optional<JobPhase>)> done);
  /// Asks the owner of the job's pool, then the store.
  void FindPhaseAtOwner(const JobId& job, const JobLocation& location,
                        StoreCallback<std::optional<JobPhase>> done);
  /// Reads the phase from the store; a job without stored progress is queued.
  void ReadStoredPhase(const JobId& job, const JobLocation& location,
                       StoreCallback<std::optional<JobPhase>> done);

  const TransactionClient& store_;
  PersistentHttpClient& peers_;
  const ClusterView& view_;
  LocalPools local_;
  std::map<JobId, JobLocation> locations_;
  /// Cached jobs, the oldest first; the oldest is evicted.
  std::deque<JobId> cache_order_;
  /// Expires with this object; callbacks of calls in flight then do nothing.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

/// Sends a GET request for `path` to the entry at `address` ("HOST:PORT") and
/// passes on the body of its response. Fails with the HTTP client's error, or
/// with StoreError::kUnavailable for a status other than 200.
void QueryPeer(PersistentHttpClient& peers, const std::string& address,
               const std::string& path,
               std::function<void(Result<std::string>)> done);

/// HTTP response of an entry to a query of a peer.
struct PeerResponse {
  int status = 200;
  std::string body;
};

/// Handles a peer's query for the phase of a job ("/jobs/POOL/JOB"), the number
/// of waiting jobs of a queue ("/queues/POOL/QUEUE") or the load of a pool
/// ("/loads/POOL"). The body is the phase as text, the number in decimal, or
/// the load by EncodeLoad(). Status 404 when the path is unknown or `local` has
/// no result.
PeerResponse AnswerPeerQuery(const LocalPools& local,
                             const std::string& target);

}  // namespace pomelomill
