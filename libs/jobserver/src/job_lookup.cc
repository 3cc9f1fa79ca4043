#include "job_lookup.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "pomelomill/dispatch/dispatch_error.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(900);
/// An owner answers from memory within a few milliseconds; a hung process must
/// not delay the caller for longer than this.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(400);
constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(250);
/// The largest response, a pool's load, names all its idle and lightly loaded
/// workers.
constexpr std::size_t kMaxPeerResponseBytes = std::size_t{64} << 10;
/// About 2 MB, at a few hundred bytes per job.
constexpr std::size_t kMaxCachedLocations = 8'192;

HttpRequest PeerRequest(const std::string& address, const std::string& path) {
  HttpRequest request;
  request.url = "http://" + address + path;
  request.timeout = kPeerTimeout;
  request.connect_timeout = kPeerConnectTimeout;
  request.max_response_bytes = kMaxPeerResponseBytes;
  return request;
}

std::optional<JobPhase> ParsePhase(const std::string& text) {
  for (const JobPhase it :
       {JobPhase::kQueued, JobPhase::kRunning, JobPhase::kComplete,
        JobPhase::kFailed, JobPhase::kCancelled}) {
    if (text == ToText(it)) return it;
  }
  return std::nullopt;
}

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    parts.push_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

}  // namespace

JobLookup::JobLookup(const TransactionClient& store,
                     PersistentHttpClient& peers, const ClusterView& view,
                     LocalPools local)
    : store_(store), peers_(peers), view_(view), local_(std::move(local)) {}

void JobLookup::CacheLocation(const JobId& job, const JobLocation& location) {
  if (!locations_.emplace(job, location).second) return;
  cache_order_.push_back(job);
  if (cache_order_.size() <= kMaxCachedLocations) return;
  locations_.erase(cache_order_.front());
  cache_order_.pop_front();
}

void JobLookup::FindLocation(const JobId& job,
                             StoreCallback<std::optional<JobLocation>> done) {
  if (const auto it = locations_.find(job); it != locations_.end())
    return done(std::optional(it->second));
  store_.read(
      JobLocationKey(job), kStoreTimeout,
      [this, job, done = std::move(done),
       lifetime = std::weak_ptr(lifetime_)](const Result<StoredKey>& result) {
        if (lifetime.expired()) return;
        if (!result && result.error() == StoreError::kNotFound)
          return done(std::optional<JobLocation>());
        if (!result) return done(Unexpected(result.error()));
        const auto location = DecodeJobLocation(result->value);
        if (!location) return done(Unexpected(location.error()));
        CacheLocation(job, *location);
        done(std::optional(*location));
      });
}

void JobLookup::FindPhase(const JobId& job, const JobLocation& expected,
                          StoreCallback<std::optional<JobPhase>> done) {
  if (const auto it = locations_.find(job); it != locations_.end())
    return FindPhaseAtOwner(job, it->second, std::move(done));
  QueryOwner(job, expected.pool,
             [this, job, expected,
              done = std::move(done)](const std::optional<JobPhase>& known) {
               if (known) {
                 CacheLocation(job, expected);
                 return done(known);
               }
               FindLocation(
                   job,
                   [this, job, expected,
                    done](const Result<std::optional<JobLocation>>& location) {
                     if (!location) return done(Unexpected(location.error()));
                     if (!*location) return done(std::optional<JobPhase>());
                     if ((*location)->pool == expected.pool)
                       return ReadStoredPhase(job, **location, done);
                     FindPhaseAtOwner(job, **location, done);
                   });
             });
}

void JobLookup::QueryOwner(const JobId& job, const PoolId& pool,
                           std::function<void(std::optional<JobPhase>)> done) {
  if (const auto phase = local_.job_phase(pool, job)) return done(phase);
  const auto address = view_.OwnerAddress(pool);
  if (!address) return done(std::nullopt);
  QueryPeer(peers_, *address, "/jobs/" + pool.value() + "/" + job.value(),
            [done = std::move(done), lifetime = std::weak_ptr(lifetime_)](
                const Result<std::string>& body) {
              if (lifetime.expired()) return;
              done(ParsePhase(body.value_or("")));
            });
}

void JobLookup::FindPhaseAtOwner(const JobId& job, const JobLocation& location,
                                 StoreCallback<std::optional<JobPhase>> done) {
  QueryOwner(job, location.pool,
             [this, job, location,
              done = std::move(done)](const std::optional<JobPhase>& phase) {
               if (phase) return done(phase);
               ReadStoredPhase(job, location, done);
             });
}

void JobLookup::ReadStoredPhase(const JobId& job, const JobLocation& location,
                                StoreCallback<std::optional<JobPhase>> done) {
  store_.read(ProgressKey(location.pool, job), kStoreTimeout,
              [done = std::move(done), lifetime = std::weak_ptr(lifetime_)](
                  const Result<StoredKey>& result) {
                if (lifetime.expired()) return;
                if (!result && result.error() == StoreError::kNotFound)
                  return done(std::optional(JobPhase::kQueued));
                if (!result) return done(Unexpected(result.error()));
                const auto progress = DecodeJobProgress(result->value);
                if (!progress) return done(Unexpected(progress.error()));
                done(std::optional(progress->phase));
              });
}

void JobLookup::FindWaitingJobs(const PoolId& pool, const QueueId& queue,
                                StoreCallback<std::uint32_t> done) {
  if (const auto waiting = local_.waiting_jobs(pool, queue))
    return done(*waiting);
  const auto address = view_.OwnerAddress(pool);
  if (!address) return done(Unexpected(StoreError::kUnavailable));
  QueryPeer(peers_, *address, "/queues/" + pool.value() + "/" + queue.value(),
            [done = std::move(done), lifetime = std::weak_ptr(lifetime_)](
                const Result<std::string>& answer) {
              if (lifetime.expired()) return;
              const std::string body = answer.value_or("");
              std::uint32_t n = 0;
              const auto [end, ec] =
                  std::from_chars(body.data(), body.data() + body.size(), n);
              if (ec != std::errc() || end != body.data() + body.size())
                return done(Unexpected(StoreError::kUnavailable));
              done(n);
            });
}

void QueryPeer(PersistentHttpClient& peers, const std::string& address,
               const std::string& path,
               std::function<void(Result<std::string>)> done) {
  peers.Send(PeerRequest(address, path),
             [done = std::move(done)](const HttpResult& result) {
               if (result.error) return done(Unexpected(result.error));
               if (result.response.status != 200)
                 return done(Unexpected(StoreError::kUnavailable));
               done(result.response.body);
             });
}

PeerResponse AnswerPeerQuery(const LocalPools& local,
                             const std::string& target) {
  const std::vector<std::string> parts = SplitPath(target);
  if (parts.size() < 2) return {404, ""};
  const PoolId pool(parts[1]);
  if (parts.size() == 2 && parts[0] == "loads") {
    const auto load = local.pool_load(pool);
    return load ? PeerResponse{200, EncodeLoad(*load)} : PeerResponse{404, ""};
  }
  if (parts.size() != 3) return {404, ""};
  if (parts[0] == "jobs") {
    const auto phase = local.job_phase(pool, JobId(parts[2]));
    return phase ? PeerResponse{200, ToText(*phase)} : PeerResponse{404, ""};
  }
  if (parts[0] == "queues") {
    const auto waiting = local.waiting_jobs(pool, QueueId(parts[2]));
    return waiting ? PeerResponse{200, std::to_string(*waiting)}
                   : PeerResponse{404, ""};
  }
  return {404, ""};
}

}  // namespace pomelomill
