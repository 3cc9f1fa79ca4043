#include "pomelomill/jobserver/coordinator.h"

#include <optional>
#include <utility>
#include <vector>

#include "cluster_view.h"
#include "fleet_manager.h"
#include "ownership.h"
#include "pomelomill/base/late_calls.h"
#include "pomelomill/store/lease_keeper.h"
#include "pomelomill/store/prefix_follower.h"
#include "pomelomill/store/store_error.h"
#include "pool_owner.h"
#include "store_keys.h"
#include "store_records.h"
#include "worker_directory.h"

namespace pomelomill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::milliseconds(900);
constexpr Duration kLeaseRetryPause = std::chrono::milliseconds(150);

}  // namespace

class Coordinator::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const PlatformHooks& platform, TimerService& timers,
       JobServiceSettings settings, IncarnationId incarnation,
       CoordinatorHooks hooks)
      : platform_(platform),
        timers_(timers),
        settings_(std::move(settings)),
        incarnation_(std::move(incarnation)),
        hooks_(std::move(hooks)),
        lease_(platform_.leases, timers_,
               {.ttl = settings_.entry_lease,
                .drift_margin = settings_.lease_margin,
                .call_timeout = kStoreTimeout,
                .retry_pause = kLeaseRetryPause},
               LeaseHooks()),
        ownership_(platform_.store, timers_, lease_, view_, settings_,
                   incarnation_, MakeOwnershipHooks()),
        cluster_follower_(platform_.store, timers_, kClusterPrefix,
                          ClusterHooks()),
        config_follower_(platform_.store, timers_, platform_.config_key,
                         ConfigHooks()),
        worker_directory_(platform_.store, timers_, platform_.worker_prefix,
                          WorkerHooks()) {}

  void Start() {
    lease_.Start();
    cluster_follower_.Start();
    config_follower_.Start();
  }

  void Leave() {
    fleet_manager_.reset();
    ownership_.Leave();
    for (auto& [id, pool] : pools_) {
      pool->Release([weak = weak_from_this(), pool_id = id] {
        const auto self = weak.lock();
        if (self != nullptr) self->ScheduleDrop(pool_id);
      });
    }
  }

  void Halt() {
    is_halted_ = true;
    worker_directory_.Stop();
    pools_.clear();
    fleet_manager_.reset();
    hooks_ = {};
  }

  bool has_released_pools() const { return pools_.empty(); }
  const FleetConfig* config() const {
    return fleet_config_ ? &*fleet_config_ : nullptr;
  }
  const ClusterView& view() const { return view_; }
  std::optional<Instant> last_store_contact() const {
    return config_follower_.last_contact();
  }
  const PoolBacklog* FindBacklog(const PoolId& pool) const {
    const auto contact = cluster_follower_.last_contact();
    const bool is_recent =
        contact && timers_.Now() - *contact < settings_.entry_lease;
    return is_recent ? view_.FindBacklog(pool) : nullptr;
  }
  std::size_t owned_pools() const { return pools_.size(); }

  std::optional<JobPhase> FindJobPhase(const PoolId& pool,
                                       const JobId& job) const {
    const auto it = pools_.find(pool);
    if (it == pools_.end() || !it->second->is_loaded()) return std::nullopt;
    return it->second->ShownPhase(job);
  }

  std::optional<DispatchLoad> FindPoolLoad(const PoolId& pool) const {
    const auto it = pools_.find(pool);
    if (it == pools_.end() || !it->second->is_loaded()) return std::nullopt;
    return it->second->load();
  }

  std::optional<std::uint32_t> FindWaitingJobs(const PoolId& pool,
                                               const QueueId& queue) const {
    const auto it = pools_.find(pool);
    if (it == pools_.end() || !it->second->is_loaded()) return std::nullopt;
    return it->second->Waiting(queue);
  }

 private:
  void Event(std::string_view part, std::string_view event,
             std::vector<EventField> fields) {
    if (hooks_.event) hooks_.event(part, event, std::move(fields));
  }

  LeaseKeeperHooks LeaseHooks() {
    return {.on_held =
                [this](const LeaseId& lease) {
                  Event("lease", "held", {{"lease", lease.value()}});
                  ownership_.Update();
                },
            .on_uncertain = [this] { Event("lease", "uncertain", {}); },
            .on_lapsed = [this] { Event("lease", "lapsed", {}); }};
  }

  OwnershipHooks MakeOwnershipHooks() {
    return {.on_acquired =
                [this](const PoolId& pool, FencingToken token,
                       const LeaseId& lease) {
                  StartPoolOwner(pool, token, lease);
                },
            .on_lost = [this](const PoolId& pool) { ScheduleDrop(pool); },
            .on_hand_over =
                [this](const PoolId& pool, const std::function<void()>& done) {
                  HandOver(pool, done);
                },
            .event = hooks_.event};
  }

  PrefixFollowerHooks ClusterHooks() {
    return {.on_change =
                [this](const StoredKey& change) {
                  if (!view_.Apply(change, timers_.Now()))
                    Event("cluster", "bad-record", {{"key", change.key}});
                  if (ClusterView::IsBacklogKey(change.key) ||
                      !cluster_follower_.is_loaded())
                    return;
                  ownership_.Update();
                  for (auto& [id, pool] : pools_) pool->OnClusterChange();
                },
            .on_loaded = [this] { ownership_.Update(); },
            .on_lost =
                [this](std::error_code ec) {
                  Event("store", "lost", {{"error", ec.message()}});
                },
            .on_regained = [this] { Event("store", "regained", {}); }};
  }

  PrefixFollowerHooks ConfigHooks() {
    return {.on_change =
                [this](const StoredKey& change) {
                  if (change.key == platform_.config_key && !change.is_removed)
                    OnConfig(change);
                },
            .on_lost =
                [this](std::error_code ec) {
                  Event("config", "watch-lost", {{"error", ec.message()}});
                },
            .on_regained = [this] { Event("config", "watch-regained", {}); }};
  }

  WorkerDirectoryHooks WorkerHooks() {
    return {.decode =
                [this](const StoredKey& entry) {
                  return platform_.decode_worker(entry);
                },
            .on_refreshed =
                [this] {
                  for (auto& [id, pool] : pools_)
                    pool->OnWorkers(worker_directory_.WorkersOf(id));
                },
            .on_bad_record =
                [this](const std::string& key, std::error_code ec) {
                  Event("workers", "bad-record",
                        {{"key", key}, {"error", ec.message()}});
                }};
  }

  void OnConfig(const StoredKey& change) {
    auto config = platform_.decode_config(change.value);
    if (!config) {
      return Event("config", "rejected",
                   {{"version", std::to_string(change.version.value())},
                    {"error", config.error().message()}});
    }
    if (fleet_config_ && config->revision <= fleet_config_->revision) return;
    fleet_config_ = *std::move(config);
    Event("config", "in-force",
          {{"revision", std::to_string(fleet_config_->revision.value())},
           {"queues", std::to_string(fleet_config_->queues.size())}});
    for (auto& [id, pool] : pools_) pool->OnConfig(*fleet_config_);
    if (fleet_manager_) fleet_manager_->OnConfig(*fleet_config_);
    Roles roles = {{PoolId(kFleetRole), RoleKind::kFleet}};
    for (const PoolConfig& it : fleet_config_->pools)
      roles[it.id] = it.is_spare ? RoleKind::kSparePool : RoleKind::kPool;
    ownership_.SetRoles(std::move(roles));
  }

  void StartPoolOwner(const PoolId& pool, FencingToken token,
                      const LeaseId& lease) {
    if (pool == PoolId(kFleetRole)) return StartFleetManager(token, lease);
    DropPoolOwner(pool);
    auto owner = std::make_unique<PoolOwner>(
        platform_, timers_, settings_, pool, token,
        PoolOwnerHooks{
            .on_lost = [this, pool] { ScheduleDrop(pool); },
            .starts_allowed_until = [this, lease] { return HeldUntil(lease); },
            .orders_allowed_until =
                [this, lease] {
                  const Instant held = HeldUntil(lease);
                  return held == Instant::min() ? held
                                                : held + settings_.order_grace;
                },
            .has_stopped =
                [this, token](const OwnerRecord& it) {
                  return it.entry == settings_.entry ||
                         view_.HasStopped(it, Version(token.value()));
                },
            .follow_worker =
                [this](const WorkerId& it) {
                  worker_directory_.Follow(it, kLateCallLifetime);
                },
            .lease = lease,
            .publishes_backlog = hooks_.publishes_backlogs,
            .incarnation = incarnation_,
            .former = FormerOwnershipOf(pool),
            .vacancy = view_.FindVacancy(pool),
            .wall_ms = hooks_.wall_ms,
            .event = hooks_.event,
            .on_share =
                [this, pool](const WorkspaceId& workspace,
                             const ResourceAmount& share) {
                  if (hooks_.on_share) hooks_.on_share(pool, workspace, share);
                },
            .time = hooks_.on_job_time,
            .on_decision = hooks_.on_decision});
    owner->Start(*fleet_config_);
    if (worker_directory_.is_loaded())
      owner->OnWorkers(worker_directory_.WorkersOf(pool));
    pools_[pool] = std::move(owner);
    worker_directory_.Start();
  }

  void DropPoolOwner(const PoolId& pool) {
    const auto it = pools_.find(pool);
    if (it == pools_.end()) return;
    if (const auto ended = it->second->ownership())
      former_ownerships_[pool] = *ended;
    pools_.erase(it);
  }

  std::optional<PoolOwnership> FormerOwnershipOf(const PoolId& pool) const {
    const auto it = former_ownerships_.find(pool);
    if (it == former_ownerships_.end()) return std::nullopt;
    return it->second;
  }

  void HandOver(const PoolId& pool, const std::function<void()>& done) {
    // The fleet role needs no final write.
    if (pool == PoolId(kFleetRole)) fleet_manager_.reset();
    const auto it = pools_.find(pool);
    if (it == pools_.end()) return done();
    it->second->Release([weak = weak_from_this(), pool, done] {
      const auto self = weak.lock();
      if (self == nullptr || self->is_halted_) return;
      self->ScheduleDrop(pool);
      done();
    });
  }

  /// Passes on the load of a pool that this or another entry owns. Fails with
  /// StoreError::kUnavailable when the pool has no known owner, else with the
  /// error of the query or DispatchError::kMalformedRecord.
  void FetchPoolLoad(const PoolId& pool,
                     const std::function<void(Result<DispatchLoad>)>& done) {
    if (const auto load = FindPoolLoad(pool)) return done(*load);
    const auto address = view_.OwnerAddress(pool);
    if (!address || !hooks_.query_peer)
      return done(Unexpected(StoreError::kUnavailable));
    hooks_.query_peer(*address, LoadPath(pool),
                      [done](const Result<std::string>& body) {
                        if (!body) return done(Unexpected(body.error()));
                        done(DecodeLoad(*body));
                      });
  }

  void StartFleetManager(FencingToken token, const LeaseId& lease) {
    fleet_manager_ = std::make_unique<FleetManager>(
        platform_, timers_, settings_, token,
        FleetManagerHooks{
            .on_lost = [this] { ScheduleDrop(PoolId(kFleetRole)); },
            .vm_orders_allowed_until = [this,
                                        lease] { return HeldUntil(lease); },
            .load = [this](const PoolId& pool,
                           auto done) { FetchPoolLoad(pool, done); },
            .event = hooks_.event,
            .on_decision = hooks_.on_decision});
    fleet_manager_->Start(*fleet_config_);
  }

  /// Time until which `lease` is certainly held; Instant::min() when another
  /// lease has replaced it.
  Instant HeldUntil(const LeaseId& lease) const {
    return lease_.lease() == lease ? lease_.held_until() : Instant::min();
  }

  /// Destroys the owner of `pool` from a timer, since its own callbacks call
  /// this.
  void ScheduleDrop(const PoolId& pool) {
    timers_.ScheduleAfter(Duration(0), [weak = weak_from_this(), pool] {
      const auto self = weak.lock();
      if (self == nullptr || self->is_halted_) return;
      if (pool == PoolId(kFleetRole)) self->fleet_manager_.reset();
      self->DropPoolOwner(pool);
      if (self->pools_.empty()) self->worker_directory_.Stop();
    });
  }

  const PlatformHooks& platform_;
  TimerService& timers_;
  const JobServiceSettings settings_;
  const IncarnationId incarnation_;
  CoordinatorHooks hooks_;
  ClusterView view_;
  std::optional<FleetConfig> fleet_config_;
  std::map<PoolId, std::unique_ptr<PoolOwner>> pools_;
  /// The latest ended ownership of each pool by this process.
  std::map<PoolId, PoolOwnership> former_ownerships_;
  std::unique_ptr<FleetManager> fleet_manager_;
  LeaseKeeper lease_;
  Ownership ownership_;
  PrefixFollower cluster_follower_;
  PrefixFollower config_follower_;
  /// Follows the list of workers only while this entry owns a pool.
  WorkerDirectory worker_directory_;
  bool is_halted_ = false;
};

Coordinator::Coordinator(const PlatformHooks& platform, TimerService& timers,
                         const JobServiceSettings& settings,
                         IncarnationId incarnation, CoordinatorHooks hooks)
    : impl_(std::make_shared<Impl>(platform, timers, settings,
                                   std::move(incarnation), std::move(hooks))) {}

Coordinator::~Coordinator() { impl_->Halt(); }

void Coordinator::Start() { impl_->Start(); }
void Coordinator::Leave() { impl_->Leave(); }
bool Coordinator::has_released_pools() const {
  return impl_->has_released_pools();
}
const FleetConfig* Coordinator::config() const { return impl_->config(); }
const ClusterView& Coordinator::view() const { return impl_->view(); }
std::optional<Instant> Coordinator::last_store_contact() const {
  return impl_->last_store_contact();
}
const PoolBacklog* Coordinator::FindBacklog(const PoolId& pool) const {
  return impl_->FindBacklog(pool);
}
std::size_t Coordinator::owned_pools() const { return impl_->owned_pools(); }
std::optional<JobPhase> Coordinator::FindJobPhase(const PoolId& pool,
                                                  const JobId& job) const {
  return impl_->FindJobPhase(pool, job);
}
std::optional<DispatchLoad> Coordinator::FindPoolLoad(
    const PoolId& pool) const {
  return impl_->FindPoolLoad(pool);
}
std::optional<std::uint32_t> Coordinator::FindWaitingJobs(
    const PoolId& pool, const QueueId& queue) const {
  return impl_->FindWaitingJobs(pool, queue);
}

}  // namespace pomelomill
