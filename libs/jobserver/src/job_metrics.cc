#include "job_metrics.h"

#include <memory>
#include <utility>

namespace pomelomill {
namespace {

/// Wraps `done` so that the call is recorded before `done` runs.
template <typename T>
StoreCallback<T> InstrumentCallback(const char* kind, TimerService& timers,
                                    JobMetrics& metrics,
                                    StoreCallback<T> done) {
  return [kind, &timers, &metrics, began = timers.Now(),
          done = std::move(done)](Result<T> result) {
    metrics.ObserveStoreCall(kind, result ? "ok" : result.error().message(),
                             timers.Now() - began);
    done(std::move(result));
  };
}

}  // namespace

void JobMetrics::CountEvent(std::string_view part, std::string_view event) {
  registry_
      .counter("pomelomill_events_total", "Logged decisions and changes.",
               {{"part", std::string(part)}, {"event", std::string(event)}})
      .Add();
}

void JobMetrics::ObserveRequest(const std::string& queue,
                                const std::string& method, int status,
                                Duration took) {
  registry_
      .counter("pomelomill_job_requests_total", "Answered requests of callers.",
               {{"queue", queue},
                {"kind", method},
                {"status", std::to_string(status)}})
      .Add();
  registry_
      .histogram("pomelomill_job_request_seconds",
                 "Time from a request to its answer.",
                 {{"queue", queue}, {"kind", method}})
      .Observe(ToSeconds(took));
}

void JobMetrics::ObserveStoreCall(const std::string& kind,
                                  const std::string& result, Duration took) {
  registry_
      .counter("pomelomill_job_store_calls_total",
               "Calls on the store that ended.",
               {{"kind", kind}, {"result", result}})
      .Add();
  if (kind == "watch") return;
  registry_
      .histogram("pomelomill_job_store_seconds",
                 "Time from a call on the store to its answer.",
                 {{"kind", kind}})
      .Observe(ToSeconds(took));
}

void JobMetrics::ObserveJobTime(DispatchTiming kind, const QueueId& queue,
                                Duration took) {
  const bool is_delay = kind == DispatchTiming::kStartDelay;
  registry_
      .histogram(is_delay ? "pomelomill_job_start_delay_seconds"
                          : "pomelomill_job_run_seconds",
                 is_delay ? "Time from a job's arrival at its owner to its "
                            "first start."
                          : "Time from the start of a run to its end as done.",
                 {{"queue", queue.value()}})
      .Observe(ToSeconds(took));
}

void JobMetrics::ObserveLoopDelay(Duration delay) {
  registry_
      .histogram("pomelomill_loop_delay_seconds",
                 "How late timers of this process ran.", {})
      .Observe(ToSeconds(delay));
}

void JobMetrics::ObserveDecision(std::string_view decision, Duration took) {
  registry_
      .histogram("pomelomill_decision_seconds", "Time that a decision took.",
                 {{"decision", std::string(decision)}})
      .Observe(ToSeconds(took));
}

void JobMetrics::CountWorkspaceRequest(const WorkspaceId& workspace,
                                       int status) {
  registry_
      .counter("pomelomill_workspace_requests_total",
               "Answered requests by workspace.",
               {{"workspace", workspace.value()},
                {"status", std::to_string(status)}})
      .Add();
}

void JobMetrics::SetWorkspaceShare(const PoolId& pool,
                                   const WorkspaceId& workspace,
                                   const ResourceAmount& share) {
  const MetricLabels labels = {{"pool", pool.value()},
                               {"workspace", workspace.value()}};
  registry_
      .gauge("pomelomill_workspace_share_cores",
             "Cores of a workspace's cap that a pool of this entry may use.",
             labels)
      .Set(static_cast<double>(share.cpu_millis) / 1'000);
  registry_
      .gauge("pomelomill_workspace_share_memory_mb",
             "Memory of a workspace's cap that a pool of this entry may use.",
             labels)
      .Set(static_cast<double>(share.memory_mb));
}

void JobMetrics::SetOwnedPools(std::size_t pools) {
  registry_.gauge("pomelomill_owned_pools", "Pools that this entry owns.")
      .Set(static_cast<double>(pools));
}

void JobMetrics::ObserveRejection(const std::string& queue,
                                  const std::string& reason,
                                  Duration retry_after) {
  registry_
      .counter("pomelomill_admission_rejected_total",
               "Submissions rejected because of the pool's backlog.",
               {{"queue", queue}, {"reason", reason}})
      .Add();
  registry_
      .histogram("pomelomill_admission_retry_after_seconds",
                 "Time after which rejected callers were told to return.",
                 {{"queue", queue}})
      .Observe(ToSeconds(retry_after));
}

void JobMetrics::SetBacklog(const std::string& pool, Duration drain_time) {
  registry_
      .gauge("pomelomill_pool_backlog_seconds",
             "Time to drain the published backlog of the pool.",
             {{"pool", pool}})
      .Set(ToSeconds(drain_time));
}

void JobMetrics::SetRequestMemory(std::size_t bytes) {
  registry_
      .gauge("pomelomill_request_memory_bytes",
             "Memory held by open requests and unread responses.")
      .Set(static_cast<double>(bytes));
}

void JobMetrics::CountDroppedRequest(std::string_view reason) {
  registry_
      .counter("pomelomill_requests_dropped_total",
               "Connections that gave way to others.",
               {{"reason", std::string(reason)}})
      .Add();
}

std::string JobMetrics::Text() const { return registry_.Text(); }

TransactionClient InstrumentStoreClient(TransactionClient inner,
                                        TimerService& timers,
                                        JobMetrics& metrics) {
  const auto target =
      std::make_shared<const TransactionClient>(std::move(inner));
  TransactionClient client;
  client.read = [=, &timers, &metrics](const std::string& key, Duration timeout,
                                       StoreCallback<StoredKey> done) {
    target->read(key, timeout,
                 InstrumentCallback("read", timers, metrics, std::move(done)));
  };
  client.read_prefix = [=, &timers, &metrics](const std::string& prefix,
                                              Duration timeout,
                                              StoreCallback<PrefixRead> done) {
    target->read_prefix(
        prefix, timeout,
        InstrumentCallback("read_prefix", timers, metrics, std::move(done)));
  };
  client.watch_prefix = [=, &timers, &metrics](const std::string& prefix,
                                               Version after, Duration wait,
                                               StoreCallback<PrefixRead> done) {
    target->watch_prefix(
        prefix, after, wait,
        InstrumentCallback("watch", timers, metrics, std::move(done)));
  };
  client.commit = [=, &timers, &metrics](const Transaction& transaction,
                                         Duration timeout,
                                         StoreCallback<CommitResult> done) {
    target->commit(
        transaction, timeout,
        InstrumentCallback("commit", timers, metrics, std::move(done)));
  };
  return client;
}

}  // namespace pomelomill
