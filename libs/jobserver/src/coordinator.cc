#include "pomelomill/jobserver/coordinator.h"

#include <optional>
#include <utility>
#include <vector>

#include "cluster_view.h"
#include "fleet_manager.h"
#include "ownership.h"
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
constexpr Duration kLeaseRetry = std::chrono::milliseconds(150);

}  // namespace

class Coordinator::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const PlatformHooks& platform, TimerService& timers,
       JobServiceSettings settings, IncarnationId incarnation,
       CoordinatorHooks hooks)
      : platform_(platform),
        timers_(timers),
        settings_(std::move(settings)),
        hooks_(std::move(hooks)),
        lease_(platform_.leases, timers_,
               {.ttl = settings_.entry_lease,
                .drift_margin = settings_.lease_margin,
                .call_timeout = kStoreTimeout,
                .retry_pause = kLeaseRetry},
               LeaseHooks()),
        ownership_(platform_.store, timers_, lease_, view_, settings_,
                   std::move(incarnation), MakeOwnershipHooks()),
        cluster_(platform_.store, timers_, kClusterPrefix, ClusterHooks()),
        config_(platform_.store, timers_, platform_.config_key, ConfigHooks()),
        workers_(platform_.store, timers_, platform_.worker_prefix,
                 WorkerHooks()) {}

  void Start() {
    lease_.Start();
    cluster_.Start();
    config_.Start();
  }

  void Leave() {
    fleet_manager_.reset();
    ownership_.Leave();
    for (auto& [id, pool] : pools_) {
      pool->Release([weak = weak_from_this(), pool_id = id] {
        const auto self = weak.lock();
        if (self != nullptr) self->DropPoolLater(pool_id);
      });
    }
  }

  void Halt() {
    is_halted_ = true;
    workers_.Stop();
    pools_.clear();
    fleet_manager_.reset();
    hooks_ = {};
  }

  bool has_left() const { return pools_.empty(); }
  const FleetConfig* config() const { return fleet_ ? &*fleet_ : nullptr; }
  const ClusterView& view() const { return view_; }
  std::optional<Instant> last_contact() const { return config_.last_contact(); }
  std::size_t owned_pools() const { return pools_.size(); }

  std::optional<JobPhase> Phase(const PoolId& pool, const JobId& job) const {
    const auto it = pools_.find(pool);
    if (it == pools_.end() || !it->second->is_loaded()) return std::nullopt;
    return it->second->ShownPhase(job);
  }

  std::optional<DispatchLoad> Load(const PoolId& pool) const {
    const auto it = pools_.find(pool);
    if (it == pools_.end() || !it->second->is_loaded()) return std::nullopt;
    return it->second->load();
  }

  std::optional<std::uint32_t> Waiting(const PoolId& pool,
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
                       const LeaseId& lease) { Own(pool, token, lease); },
            .on_lost = [this](const PoolId& pool) { DropPoolLater(pool); },
            .event = hooks_.event};
  }

  PrefixFollowerHooks ClusterHooks() {
    return {.on_change =
                [this](const StoredKey& change) {
                  if (!view_.Apply(change))
                    Event("cluster", "bad-record", {{"key", change.key}});
                  if (cluster_.is_loaded()) ownership_.Update();
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
                    pool->OnWorkers(workers_.WorkersOf(id));
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
    if (fleet_ && config->revision <= fleet_->revision) return;
    fleet_ = *std::move(config);
    Event("config", "in-force",
          {{"revision", std::to_string(fleet_->revision.value())},
           {"queues", std::to_string(fleet_->queues.size())}});
    for (auto& [id, pool] : pools_) pool->OnConfig(*fleet_);
    if (fleet_manager_) fleet_manager_->OnConfig(*fleet_);
    Roles roles = {{PoolId(kFleetPool), RoleKind::kFleet}};
    for (const PoolConfig& it : fleet_->pools)
      roles[it.id] = it.is_spare ? RoleKind::kSparePool : RoleKind::kPool;
    ownership_.SetRoles(std::move(roles));
  }

  void Own(const PoolId& pool, FencingToken token, const LeaseId& lease) {
    if (pool == PoolId(kFleetPool)) return OwnFleet(token, lease);
    auto owner = std::make_unique<PoolOwner>(
        platform_, timers_, settings_, pool, token,
        PoolOwnerHooks{
            .on_lost = [this, pool] { DropPoolLater(pool); },
            .starts_allowed_until = [this, lease] { return HeldUntil(lease); },
            .orders_allowed_until =
                [this, lease] {
                  const Instant held = HeldUntil(lease);
                  return held == Instant::min() ? held
                                                : held + settings_.order_grace;
                },
            .wall_ms = hooks_.wall_ms,
            .event = hooks_.event,
            .time = hooks_.time,
            .on_decision = hooks_.decided});
    owner->Start(*fleet_);
    if (workers_.is_loaded()) owner->OnWorkers(workers_.WorkersOf(pool));
    pools_[pool] = std::move(owner);
    workers_.Start();
  }

  void FindLoad(const PoolId& pool,
                const std::function<void(Result<DispatchLoad>)>& done) {
    if (const auto load = Load(pool)) return done(*load);
    const auto address = view_.OwnerAddress(pool);
    if (!address || !hooks_.ask_peer)
      return done(Unexpected(StoreError::kUnavailable));
    hooks_.ask_peer(*address, LoadPath(pool),
                    [done](const Result<std::string>& body) {
                      if (!body) return done(Unexpected(body.error()));
                      done(DecodeLoad(*body));
                    });
  }

  void OwnFleet(FencingToken token, const LeaseId& lease) {
    fleet_manager_ = std::make_unique<FleetManager>(
        platform_, timers_, settings_, token,
        FleetManagerHooks{
            .on_lost = [this] { DropPoolLater(PoolId(kFleetPool)); },
            .vm_orders_allowed_until = [this,
                                        lease] { return HeldUntil(lease); },
            .load = [this](const PoolId& pool,
                           auto done) { FindLoad(pool, done); },
            .event = hooks_.event,
            .on_decision = hooks_.decided});
    fleet_manager_->Start(*fleet_);
  }

  /// Until when `lease` is certainly held; the past when it has been replaced.
  Instant HeldUntil(const LeaseId& lease) const {
    return lease_.lease() == lease ? lease_.held_until() : Instant::min();
  }

  void DropPoolLater(const PoolId& pool) {
    timers_.ScheduleAfter(Duration(0), [weak = weak_from_this(), pool] {
      const auto self = weak.lock();
      if (self == nullptr || self->is_halted_) return;
      if (pool == PoolId(kFleetPool)) self->fleet_manager_.reset();
      self->pools_.erase(pool);
      if (self->pools_.empty()) self->workers_.Stop();
    });
  }

  const PlatformHooks& platform_;
  TimerService& timers_;
  const JobServiceSettings settings_;
  CoordinatorHooks hooks_;
  ClusterView view_;
  std::optional<FleetConfig> fleet_;
  std::map<PoolId, std::unique_ptr<PoolOwner>> pools_;
  std::unique_ptr<FleetManager> fleet_manager_;
  LeaseKeeper lease_;
  Ownership ownership_;
  PrefixFollower cluster_;
  PrefixFollower config_;
  /// Runs while a pool is owned.
  WorkerDirectory workers_;
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
bool Coordinator::has_left() const { return impl_->has_left(); }
const FleetConfig* Coordinator::config() const { return impl_->config(); }
const ClusterView& Coordinator::view() const { return impl_->view(); }
std::optional<Instant> Coordinator::last_contact() const {
  return impl_->last_contact();
}
std::size_t Coordinator::owned_pools() const { return impl_->owned_pools(); }
std::optional<JobPhase> Coordinator::Phase(const PoolId& pool,
                                           const JobId& job) const {
  return impl_->Phase(pool, job);
}
std::optional<DispatchLoad> Coordinator::Load(const PoolId& pool) const {
  return impl_->Load(pool);
}
std::optional<std::uint32_t> Coordinator::Waiting(const PoolId& pool,
                                                  const QueueId& queue) const {
  return impl_->Waiting(pool, queue);
}

}  // namespace pomelomill
