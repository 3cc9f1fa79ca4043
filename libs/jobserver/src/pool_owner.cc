#include "pool_owner.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "backlog_publisher.h"
#include "dispatch_event_fields.h"
#include "evacuation_tracker.h"
#include "order_sender.h"
#include "plan_scheduler.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/store/prefix_follower.h"
#include "pool_roster.h"
#include "pool_workers.h"
#include "progress_reader.h"
#include "progress_writer.h"
#include "share_writer.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

/// Least time between two writes of progress: tasks that end close together
/// share a write. Short compared to the run times of tasks, a second or more.
constexpr Duration kMinStoreInterval = std::chrono::milliseconds(40);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kReleaseTimeout = std::chrono::seconds(1);
/// Period of the removal of ended jobs past their retention time.
constexpr Duration kCleanupPeriod = std::chrono::seconds(5);
/// Short compared with the run times of tasks.
constexpr Duration kMinPlanInterval = std::chrono::milliseconds(4);
/// Delay of the plan after an answer to a start while further starts wait for
/// one, so that one plan serves several answers.
constexpr Duration kDeferredStartDelay = std::chrono::milliseconds(4);
/// Run numbers reserved for each owner, so that owners never share one. A task
/// fails for good long before one owner has started it this often.
constexpr std::uint32_t kRunNumbersPerOwner = 100'000;

}  // namespace

class PoolOwner::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const PlatformHooks& platform, TimerService& timers,
       const JobServiceSettings& settings, PoolId pool, FencingToken token,
       PoolOwnerHooks hooks)
      : platform_(platform),
        timers_(timers),
        settings_(settings),
        pool_(std::move(pool)),
        token_(token),
        hooks_(std::move(hooks)),
        workers_(platform_.workers, timers_, settings_.task_lease,
                 MakeWorkersHooks()),
        orders_(platform_.workers, timers_, MakeOrderHooks()),
        self_{settings.entry, hooks_.incarnation},
        began_at_(timers_.Now()),
        newest_token_(token),
        leases_(settings, timers, hooks_.has_stopped),
        plans_(timers_, kMinPlanInterval, [this] {
          if (!is_halted_) Plan();
        }) {}

  void Start(const FleetConfig& config) {
    config_ = config;
    roster_.emplace(
        platform_.store, timers_, pool_, token_, self_,
        PoolRosterHooks{
            .on_read =
                [this](const auto& it) {
                  leases_.SetPrevious(it, hooks_.former, hooks_.vacancy);
                },
            .alone_from = [this] { return leases_.extended_until(); },
            .lease_terms = [this] { return leases_.TermsToStore(); },
            .on_loaded = [this] { LoadProgress(); },
            .on_stored = [this] { ApplyList(); },
            .on_committed = [this](Version it) { OnCommitted(it); },
            .on_lost = [this] { ReportLost("the owner key has changed"); },
            .on_bad_record =
                [this](const std::string& it) { ReportBadRecord(it); }});
    writer_.emplace(
        platform_.store, timers_, pool_, token_,
        ProgressWriterHooks{
            .on_stored = [this](std::uint64_t number) { OnStored(number); },
            .on_committed = [this](Version it) { OnCommitted(it); },
            .on_lost = [this] { ReportLost("the owner key has changed"); },
            .on_retry =
                [this](std::error_code ec) {
                  Event("progress-retry", {{"error", ec.message()}});
                }});
    evacuations_.emplace(
        platform_.store, timers_, pool_, token_,
        EvacuationTrackerHooks{
            .is_empty =
                [this](const WorkerId& it) { return workers_.IsEmpty(it); },
            .on_retry =
                [this] { plans_.ScheduleAt(timers_.Now() + kRetryDelay); },
            .on_report_finished =
                [this](const WorkerId& worker, bool is_stored) {
                  Event("worker-emptied", {{"worker", worker.value()},
                                           {"stored", YesOrNo(is_stored)}});
                }});
    roster_->Load();
  }

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
    workers_.Halt();
    follower_.reset();
    writer_.reset();
    shares_.reset();
    roster_.reset();
    evacuations_.reset();
    backlog_publisher_.reset();
    progress_reader_.reset();
    timers_.Cancel(cleanup_timer_);
  }

  void OnConfig(const FleetConfig& config) {
    config_ = config;
    if (dispatcher_) ApplyConfig();
  }

  void OnWorkers(const std::vector<ListedWorker>& workers) {
    workers_.SetListed(workers);
    ApplyList();
  }

  void OnClusterChange() {
    if (!leases_.Update()) return;
    Event("inherited-leases", leases_.Fields());
    workers_.LimitInheritedLeases(leases_.Remaining());
    roster_->StoreEarlierOwnersGone();
  }

  void Release(std::function<void()> done) {
    if (is_releasing_) return;
    is_releasing_ = true;
    // The next owner takes the shares over as they are stored.
    if (shares_) shares_->Stop();
    on_released_ = std::move(done);
    timers_.ScheduleAfter(kReleaseTimeout, Guarded(&Impl::FinishRelease));
    ContinueRelease();
  }

  bool is_loaded() const { return is_loaded_; }

  std::optional<PoolOwnership> ownership() const {
    if (!roster_ || roster_->current().owner != self_) return std::nullopt;
    return PoolOwnership{.owner = self_,
                         .owner_count = roster_->current().owner_count,
                         .extended_until = leases_.extended_until()};
  }

  std::optional<JobPhase> ShownPhase(const JobId& job) const {
    return dispatcher_ ? dispatcher_->ShownPhase(job) : std::nullopt;
  }
  std::uint32_t Waiting(const QueueId& queue) const {
    return dispatcher_ ? dispatcher_->WaitingJobs(queue) : 0;
  }
  DispatchLoad load() const {
    return dispatcher_ ? dispatcher_->load() : DispatchLoad{};
  }

 private:
  void Event(std::string_view event, std::vector<EventField> fields) {
    if (!hooks_.event) return;
    fields.insert(fields.begin(), {{"pool", pool_.value()},
                                   {"token", std::to_string(token_.value())}});
    hooks_.event("owner", event, std::move(fields));
  }

  void ReportBadRecord(const std::string& key) {
    Event("bad-record", {{"key", key}});
  }

  void ReportLost(const char* reason) {
    Event("lost", {{"reason", reason}});
    // Deferred: the hook destroys this object, whose functions are running.
    timers_.ScheduleAfter(Duration(0), Guarded(&Impl::CallOnLost));
  }

  void CallOnLost() { hooks_.on_lost(); }

  std::function<void()> Guarded(void (Impl::*step)()) {
    return [weak = weak_from_this(), step] {
      const auto self = weak.lock();
      if (self != nullptr && !self->is_halted_) (self.get()->*step)();
    };
  }

  void LoadProgress() {
    progress_reader_.emplace(
        platform_.store, timers_, pool_,
        ProgressReaderHooks{
            .on_record =
                [this](StoredProgress it) {
                  writer_->SetStoredVersion(it.job, it.version);
                  if (it.progress)
                    loaded_progress_[it.job] = *std::move(it.progress);
                },
            .on_bad_record =
                [this](const std::string& it) { ReportBadRecord(it); },
            .on_loaded = [this] { FollowJobs(); }});
    progress_reader_->Start();
  }

  void FollowJobs() {
    DispatcherOptions options;
    options.first_run =
        roster_->previous().owner_count * kRunNumbersPerOwner + 1;
    dispatcher_.emplace(
        options, [this](const DispatchEvent& it) { OnNote(it); }, hooks_.time);
    shares_.emplace(platform_.store, timers_, pool_, token_, ShareHooks());
    ApplyConfig();
    std::vector<WorkerId> expected;
    for (const auto& [id, address] : roster_->previous().workers)
      expected.push_back(id);
    dispatcher_->AwaitWorkerReports(expected);
    follower_.emplace(
        platform_.store, timers_, PoolPrefix(pool_),
        PrefixFollowerHooks{
            .on_change = [this](const StoredKey& it) { OnKey(it); },
            .on_loaded = [this] { OnLoaded(); },
            .on_lost =
                [this](std::error_code ec) {
                  Event("watch-lost", {{"error", ec.message()}});
                },
            .on_regained = [this] { Event("watch-regained", {}); }});
    follower_->Start();
  }

  void OnLoaded() {
    is_loaded_ = true;
    loaded_progress_.clear();
    Event("loaded",
          {{"jobs", std::to_string(dispatcher_->active_jobs())},
           {"workers", std::to_string(roster_->previous().workers.size())},
           {"owners", std::to_string(roster_->current().owner_count)}});
    Event("inherited-leases", leases_.Fields());
    for (const auto& [id, address] : roster_->current().workers)
      workers_.EnsureLink({id, address}, leases_.Remaining());
    ApplyList();
    ScheduleCleanup();
    if (hooks_.publishes_backlog) PublishBacklogs();
  }

  void ReportTakeover() {
    if (std::exchange(is_takeover_reported_, true)) return;
    Event("takeover-complete",
          {{"after_ms", std::to_string(ToMillis(timers_.Now() - began_at_))}});
  }

  void PublishBacklogs() {
    backlog_publisher_.emplace(
        platform_.store, timers_, pool_, token_, hooks_.lease,
        BacklogPublisherHooks{
            .estimate = [this] { return dispatcher_->backlog(timers_.Now()); },
            .may_publish = [this] { return MayStartTasks(); },
            .on_published =
                [this](Duration delay, const Status& result) {
                  Event("backlog", {{"ms", std::to_string(ToMillis(delay))},
                                    {"stored", YesOrNo(result.has_value())}});
                }});
    backlog_publisher_->Start();
  }

  void OnKey(const StoredKey& change) {
    const std::string jobs = JobPrefix(pool_);
    const std::string cancels = CancelPrefix(pool_);
    const std::string evacuations = EvacuationPrefix(pool_);
    if (change.key.starts_with(evacuations)) {
      const WorkerId worker(change.key.substr(evacuations.size()));
      if (change.is_removed) {
        evacuations_->Remove(worker);
        dispatcher_->ReopenWorker(worker);
      } else {
        evacuations_->Add(worker, change.value);
        dispatcher_->CloseWorker(worker, timers_.Now());
      }
      return plans_.Schedule();
    }
    if (change.is_removed) return;
    if (change.key.starts_with(cancels)) {
      const JobId id(change.key.substr(cancels.size()));
      if (dispatcher_->ShownPhase(id)) {
        dispatcher_->CancelJob(id, timers_.Now(), hooks_.wall_ms());
      } else {
        pending_cancels_.insert(id);
      }
      return plans_.Schedule();
    }
    if (!change.key.starts_with(jobs)) return;
    const JobId id(change.key.substr(jobs.size()));
    auto job = DecodeStoredJob(change.value);
    if (!job) return ReportBadRecord(change.key);
    AddedJob added = ToAddedJob(id, *std::move(job));
    added.is_inherited = change.created.value() < token_.value();
    if (const auto it = loaded_progress_.find(id); it != loaded_progress_.end())
      added.progress = std::move(it->second);
    dispatcher_->AddJob(added, timers_.Now());
    if (pending_cancels_.erase(id) != 0)
      dispatcher_->CancelJob(id, timers_.Now(), hooks_.wall_ms());
    plans_.Schedule();
  }

  void ApplyConfig() {
    for (const QueueConfig& it : config_.queues)
      dispatcher_->SetQueue(it.id, {it.policy, config_.revision});
    std::map<WorkspaceId, double> weights;
    for (const WorkspaceConfig& it : config_.workspaces)
      weights[it.id] = it.weight;
    dispatcher_->SetWorkspaceWeights(std::move(weights));
    shares_->SetCaps(config_.workspaces);
    plans_.Schedule();
  }

  ShareWriterHooks ShareHooks() {
    return {
        .uses = [this] { return dispatcher_->workspace_uses(); },
        .on_limits =
            [this](const WorkspaceId& id, const WorkspaceLimits& limits) {
              dispatcher_->SetWorkspaceLimits(id, limits);
              plans_.Schedule();
            },
        .on_committed = [this](Version it) { OnCommitted(it); },
        .on_share =
            [this](const WorkspaceId& id, const PoolShare& former,
                   const PoolShare& share) {
              const auto uses = dispatcher_->workspace_uses();
              const auto use = uses.find(id);
              Event("workspace-share",
                    FieldsOf(id, former, share,
                             use == uses.end() ? WorkspaceUse{} : use->second));
              if (hooks_.on_share) hooks_.on_share(id, share.amount);
            },
        .on_lost = [this] { ReportLost("the owner key has changed"); },
        .on_bad_record =
            [this](const std::string& it) { ReportBadRecord(it); }};
  }

  void ApplyList() {
    if (!is_loaded_) return;
    UpdateRoster();
    ApplyWorkers();
  }

  /// The next owner waits for the workers in the roster. A worker must be in it
  /// before tasks are started there; one on which nothing runs need not be.
  void UpdateRoster() {
    if (is_releasing_) return;
    roster_->SetWorkers(workers_.WantedRoster(roster_->current().workers));
  }

  void ApplyWorkers() {
    std::vector<WorkerSpec> usable;
    for (const ListedWorker& it : workers_.listed()) {
      if (!roster_->Contains({it.spec.id, it.address})) continue;
      usable.push_back(it.spec);
      workers_.EnsureLink({it.spec.id, it.address}, leases_.RemainingWithOwn());
      workers_.FindLink(it.spec.id)->OnListed(it.spec.started_ms);
    }
    dispatcher_->SetListedWorkers(usable);
    workers_.DropGoneLinks();
    plans_.Schedule();
  }

  PoolWorkersHooks MakeWorkersHooks() {
    return {
        .dispatcher = [this]() -> Dispatcher& { return *dispatcher_; },
        .event =
            [this](std::string_view event, std::vector<EventField> fields) {
              Event(event, std::move(fields));
            },
        .on_change = [this] { plans_.Schedule(); },
        .on_fenced = [this] { ReportLost("a worker has seen a higher token"); },
        .may_send_orders = [this] { return MaySendOrders(); },
        .newest_token = [this] { return newest_token_; },
        .request_token = [this] { roster_->Rewrite(); },
        .wall_ms = hooks_.wall_ms};
  }

  OrderSenderHooks MakeOrderHooks() {
    return {.find_link =
                [this](const WorkerId& id) { return workers_.FindLink(id); },
            .may_start_tasks = [this] { return MayStartTasks(); },
            .may_send_orders = [this] { return MaySendOrders(); },
            .on_start_result =
                [this](const StartOrder& order, StartOutcome outcome,
                       std::int64_t clock_ms) {
                  dispatcher_->OnStartResult(order.worker, order.key, order.run,
                                             outcome, clock_ms, timers_.Now());
                  if (outcome != StartOutcome::kStarted) {
                    plans_.Schedule();
                  } else if (dispatcher_->has_deferred_starts()) {
                    plans_.ScheduleAt(timers_.Now() + kDeferredStartDelay);
                  }
                },
            .on_start_settled =
                [this](const StartOrder& order, bool is_answered) {
                  if (!is_answered && hooks_.follow_worker)
                    hooks_.follow_worker(order.worker);
                  dispatcher_->OnStartSettled(order.key, order.run, is_answered,
                                              timers_.Now());
                },
            .on_stop_result =
                [this](const StopOrder& order,
                       std::optional<std::int64_t> clock_ms) {
                  dispatcher_->OnStopResult(order.worker, order.key, order.run,
                                            clock_ms, timers_.Now());
                  if (!clock_ms) plans_.Schedule();
                },
            .on_fenced =
                [this] { ReportLost("a worker has seen a higher token"); }};
  }

  void OnCommitted(Version version) {
    const FencingToken token(version.value());
    if (token <= newest_token_) return;
    newest_token_ = token;
    workers_.OnNewerToken();
  }

  bool MaySendOrders() const {
    return !is_halted_ && !is_owner_key_removal_sent_ &&
           timers_.Now() < hooks_.orders_allowed_until();
  }

  bool MayStartTasks() const {
    return MaySendOrders() && !is_releasing_ &&
           timers_.Now() < hooks_.starts_allowed_until();
  }

  void Plan() {
    if (workers_.TakeRosterChange()) ApplyList();
    if (is_loaded_ && !is_releasing_) {
      if (MaySendOrders()) {
        const bool may_start = MayStartTasks();
        // Otherwise some starts of a gang could be rejected but not all.
        workers_.ReportBlockedWorkers();
        // What has ended since may have to be given back before it is used
        // again.
        shares_->Update();
        const Instant began = timers_.Now();
        const DispatchPlan plan =
            dispatcher_->Plan(began, hooks_.wall_ms(), may_start);
        if (hooks_.on_decision) {
          hooks_.on_decision("dispatch", dispatcher_->active_jobs(),
                             timers_.Now() - began);
        }
        if (!may_start) plans_.ScheduleAt(timers_.Now() + kRetryDelay);
        for (const StopOrder& it : plan.stops) orders_.Send(it);
        for (const StartOrder& it : plan.starts) orders_.Send(it);
        if (plan.next_plan_at)
          plans_.ScheduleAt(std::max(*plan.next_plan_at, timers_.Now()));
        if (dispatcher_->is_takeover_complete()) {
          shares_->SetTakeoverComplete();
          ReportTakeover();
        }
        shares_->Update();
      } else {
        plans_.ScheduleAt(timers_.Now() + kRetryDelay);
      }
    }
    if (is_loaded_ && !is_releasing_) evacuations_->ReportEmptyWorkers();
    StoreProgress();
  }

  void StoreProgress() {
    if (!dispatcher_ || !writer_->is_idle()) return;
    if (!is_releasing_ && timers_.Now() < store_at_) return ScheduleStore();
    const ProgressBatch batch = dispatcher_->TakeBatch();
    if (batch.number == 0) return;
    store_at_ = timers_.Now() + kMinStoreInterval;
    writer_->Write(batch);
  }

  void ScheduleStore() {
    if (is_store_scheduled_) return;
    is_store_scheduled_ = true;
    timers_.ScheduleAt(store_at_, Guarded(&Impl::StoreNow));
  }

  void StoreNow() {
    is_store_scheduled_ = false;
    StoreProgress();
  }

  void OnStored(std::uint64_t number) {
    dispatcher_->OnStored(number);
    workers_.OnEndsStored();
    StoreProgress();
    if (is_releasing_) ContinueRelease();
  }

  void ScheduleCleanup() {
    cleanup_timer_ =
        timers_.ScheduleAfter(kCleanupPeriod, Guarded(&Impl::RemoveExpired));
  }

  void RemoveExpired() {
    const auto jobs = dispatcher_->TakeExpiredJobs(timers_.Now());
    if (!jobs.empty() && MaySendOrders()) writer_->Remove(jobs);
    ScheduleCleanup();
  }

  void ContinueRelease() {
    if (dispatcher_) StoreProgress();
    if (!writer_->is_idle() || is_owner_key_removal_sent_) return;
    is_owner_key_removal_sent_ = true;
    roster_->ReleasePool([this] { FinishRelease(); });
  }

  void FinishRelease() {
    Event("released", {});
    if (const auto done = std::exchange(on_released_, {}); done) done();
  }

  void OnNote(const DispatchEvent& note) {
    if (hooks_.event) Event(note.event, FieldsOf(note));
  }

  const PlatformHooks& platform_;
  TimerService& timers_;
  const JobServiceSettings& settings_;
  const PoolId pool_;
  const FencingToken token_;
  PoolOwnerHooks hooks_;
  PoolWorkers workers_;
  OrderSender orders_;
  const OwnerRecord self_;
  /// When the pool was acquired.
  const Instant began_at_;
  /// The store's version of the latest write that this owner made on condition
  /// that it owns the pool: higher than its own token, lower than that of any
  /// later owner.
  FencingToken newest_token_;
  InheritedLeases leases_;
  PlanScheduler plans_;
  FleetConfig config_;
  std::optional<ProgressReader> progress_reader_;
  std::optional<ProgressWriter> writer_;
  std::optional<ShareWriter> shares_;
  std::optional<Dispatcher> dispatcher_;
  std::optional<PrefixFollower> follower_;
  std::optional<PoolRoster> roster_;
  /// Stored progress of jobs that are not loaded yet.
  std::map<JobId, JobProgress> loaded_progress_;
  /// Cancellations that were read before their jobs.
  std::set<JobId> pending_cancels_;
  std::optional<EvacuationTracker> evacuations_;
  std::optional<BacklogPublisher> backlog_publisher_;
  std::function<void()> on_released_;
  TimerId cleanup_timer_ = 0;
  /// Earliest time of the next write of progress.
  Instant store_at_{};
  bool is_store_scheduled_ = false;
  bool is_loaded_ = false;
  bool is_takeover_reported_ = false;
  bool is_releasing_ = false;
  bool is_owner_key_removal_sent_ = false;
  bool is_halted_ = false;
};

PoolOwner::PoolOwner(const PlatformHooks& platform, TimerService& timers,
                     const JobServiceSettings& settings, PoolId pool,
                     FencingToken token, PoolOwnerHooks hooks)
    : impl_(std::make_shared<Impl>(platform, timers, settings, std::move(pool),
                                   token, std::move(hooks))) {}

PoolOwner::~PoolOwner() { impl_->Halt(); }

void PoolOwner::Start(const FleetConfig& config) { impl_->Start(config); }
void PoolOwner::OnConfig(const FleetConfig& config) { impl_->OnConfig(config); }
void PoolOwner::OnClusterChange() { impl_->OnClusterChange(); }
void PoolOwner::OnWorkers(const std::vector<ListedWorker>& workers) {
  impl_->OnWorkers(workers);
}
void PoolOwner::Release(std::function<void()> done) {
  impl_->Release(std::move(done));
}
std::optional<PoolOwnership> PoolOwner::ownership() const {
  return impl_->ownership();
}
bool PoolOwner::is_loaded() const { return impl_->is_loaded(); }
std::optional<JobPhase> PoolOwner::ShownPhase(const JobId& job) const {
  return impl_->ShownPhase(job);
}
DispatchLoad PoolOwner::load() const { return impl_->load(); }
std::uint32_t PoolOwner::Waiting(const QueueId& queue) const {
  return impl_->Waiting(queue);
}

}  // namespace pomelomill
