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
/// An owner answers from memory within some milliseconds; a frozen one must
/// not hold the caller.
constexpr Duration kPeerTimeout = std::chrono::milliseconds(400);
constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(250);
/// The longest answer names all idle and light workers of a pool.
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} << 10;
/// Some hundred bytes each: about 2 MB.
constexpr std::size_t kMaxRemembered = 8'192;

HttpRequest PeerRequest(const std::string& address, const std::string& path) {
  HttpRequest request;
  request.url = "http://" + address + path;
  request.timeout = kPeerTimeout;
  request.connect_timeout = kPeerConnectTimeout;
  request.max_response_bytes = kMaxAnswerBytes;
  return request;
}

std::optional<JobPhase> PhaseOf(const std::string& text) {
  for (const JobPhase it :
       {JobPhase::kQueued, JobPhase::kRunning, JobPhase::kComplete,
        JobPhase::kFailed, JobPhase::kCancelled}) {
    if (text == ToText(it)) return it;
  }
  return std::nullopt;
}

std::vector<std::string> Split(const std::string& path) {
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

JobLookup::JobLookup(const TransactionClient& store, HttpClient& peers,
                     const ClusterView& view, LocalPools local)
    : store_(store), peers_(peers), view_(view), local_(std::move(local)) {}

void JobLookup::Remember(const JobId& job, const JobPlace& place) {
  if (!places_.emplace(job, place).second) return;
  remembered_.push_back(job);
  if (remembered_.size() <= kMaxRemembered) return;
  places_.erase(remembered_.front());
  remembered_.pop_front();
}

void JobLookup::FindPlace(const JobId& job,
                          StoreCallback<std::optional<JobPlace>> done) {
  if (const auto it = places_.find(job); it != places_.end())
    return done(std::optional(it->second));
  store_.read(JobIdKey(job), kStoreTimeout,
              [this, job, done = std::move(done),
               alive = std::weak_ptr(alive_)](const Result<StoredKey>& result) {
                if (alive.expired()) return;
                if (!result && result.error() == StoreError::kNotFound)
                  return done(std::optional<JobPlace>());
                if (!result) return done(Unexpected(result.error()));
                const auto place = DecodeJobPlace(result->value);
                if (!place) return done(Unexpected(place.error()));
                Remember(job, *place);
                done(std::optional(*place));
              });
}

void JobLookup::FindPhase(const JobId& job, const JobPlace& likely,
                          StoreCallback<std::optional<JobPhase>> done) {
  if (const auto it = places_.find(job); it != places_.end())
    return FindPhaseAt(job, it->second, std::move(done));
  AskOwner(job, likely.pool,
           [this, job, likely,
            done = std::move(done)](const std::optional<JobPhase>& known) {
             if (known) {
               Remember(job, likely);
               return done(known);
             }
             FindPlace(job, [this, job, likely, done](
                                const Result<std::optional<JobPlace>>& place) {
               if (!place) return done(Unexpected(place.error()));
               if (!*place) return done(std::optional<JobPhase>());
               if ((*place)->pool == likely.pool)
                 return ReadPhase(job, **place, done);
               FindPhaseAt(job, **place, done);
             });
           });
}

void JobLookup::AskOwner(const JobId& job, const PoolId& pool,
                         std::function<void(std::optional<JobPhase>)> done) {
  if (const auto phase = local_.phase(pool, job)) return done(phase);
  const auto address = view_.OwnerAddress(pool);
  if (!address) return done(std::nullopt);
  AskPeer(peers_, *address, "/jobs/" + pool.value() + "/" + job.value(),
          [done = std::move(done),
           alive = std::weak_ptr(alive_)](const Result<std::string>& body) {
            if (alive.expired()) return;
            done(PhaseOf(body.value_or("")));
          });
}

void JobLookup::FindPhaseAt(const JobId& job, const JobPlace& place,
                            StoreCallback<std::optional<JobPhase>> done) {
  AskOwner(job, place.pool,
           [this, job, place,
            done = std::move(done)](const std::optional<JobPhase>& phase) {
             if (phase) return done(phase);
             ReadPhase(job, place, done);
           });
}

void JobLookup::ReadPhase(const JobId& job, const JobPlace& place,
                          StoreCallback<std::optional<JobPhase>> done) {
  store_.read(ProgressKey(place.pool, job), kStoreTimeout,
              [done = std::move(done),
               alive = std::weak_ptr(alive_)](const Result<StoredKey>& result) {
                if (alive.expired()) return;
                if (!result && result.error() == StoreError::kNotFound)
                  return done(std::optional(JobPhase::kQueued));
                if (!result) return done(Unexpected(result.error()));
                const auto progress = DecodeJobProgress(result->value);
                if (!progress) return done(Unexpected(progress.error()));
                done(std::optional(progress->phase));
              });
}

void JobLookup::FindWaiting(const PoolId& pool, const QueueId& queue,
                            StoreCallback<std::uint32_t> done) {
  if (const auto waiting = local_.waiting(pool, queue)) return done(*waiting);
  const auto address = view_.OwnerAddress(pool);
  if (!address) return done(Unexpected(StoreError::kUnavailable));
  AskPeer(peers_, *address, "/queues/" + pool.value() + "/" + queue.value(),
          [done = std::move(done),
           alive = std::weak_ptr(alive_)](const Result<std::string>& answer) {
            if (alive.expired()) return;
            const std::string body = answer.value_or("");
            std::uint32_t n = 0;
            const auto [end, ec] =
                std::from_chars(body.data(), body.data() + body.size(), n);
            if (ec != std::errc() || end != body.data() + body.size())
              return done(Unexpected(StoreError::kUnavailable));
            done(n);
          });
}

void AskPeer(HttpClient& peers, const std::string& address,
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

PeerAnswer AnswerPeer(const LocalPools& local, const std::string& target) {
  const std::vector<std::string> parts = Split(target);
  if (parts.size() < 2) return {404, ""};
  const PoolId pool(parts[1]);
  if (parts.size() == 2 && parts[0] == "loads") {
    const auto load = local.load(pool);
    return load ? PeerAnswer{200, EncodeLoad(*load)} : PeerAnswer{404, ""};
  }
  if (parts.size() != 3) return {404, ""};
  if (parts[0] == "jobs") {
    const auto phase = local.phase(pool, JobId(parts[2]));
    return phase ? PeerAnswer{200, ToText(*phase)} : PeerAnswer{404, ""};
  }
  if (parts[0] == "queues") {
    const auto waiting = local.waiting(pool, QueueId(parts[2]));
    return waiting ? PeerAnswer{200, std::to_string(*waiting)}
                   : PeerAnswer{404, ""};
  }
  return {404, ""};
}

}  // namespace pomelomill
