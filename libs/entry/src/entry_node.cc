#include "pomelomill/entry/entry_node.h"

#include <algorithm>
#include <utility>

#include "endpoint_reporter.h"
#include "pomelomill/base/random.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/control/region_writer.h"
#include "pomelomill/entry/registrar.h"
#include "pomelomill/membership/fencing_view.h"
#include "pomelomill/membership/member_table.h"
#include "pomelomill/membership/registrations.h"
#include "pomelomill/membership/slot_shares.h"
#include "pomelomill/membership/state_gate.h"
#include "pomelomill/peer/exchange_book.h"
#include "pomelomill/peer/exchange_loop.h"
#include "pomelomill/platform/region_state_json.h"
#include "pomelomill/routing/slot_share.h"
#include "pomelomill/store/key_watcher.h"
#include "pomelomill/store/store_error.h"
#include "slot_readiness.h"

namespace pomelomill {
namespace {

constexpr Duration kPermitInterval = std::chrono::milliseconds(100);
constexpr Duration kReadRetry = std::chrono::milliseconds(500);

}  // namespace

class EntryNode::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(EntryNodeSettings settings, StoreClient store, PlatformClient platform,
       TimerService& timers, EntryNodeHooks hooks, DecisionLog* decisions)
      : settings_(std::move(settings)),
        self_{.entry = settings_.entry,
              .incarnation = settings_.incarnation,
              .region = settings_.region,
              .address = settings_.peer_address},
        store_(store),
        timers_(timers),
        hooks_(std::move(hooks)),
        random_(settings_.seed),
        slots_(settings_.incarnation),
        table_(self_, settings_.membership),
        permit_(settings_.incarnation, settings_.membership),
        registrations_(settings_.membership),
        loop_(timers, table_, permit_, book_, MakeExchangeHooks(),
              settings_.seed),
        config_watcher_(store_, timers, kConfigKey,
                        [this](const StoreItem& it) { OfferConfig(it.value); },
                        {.wait = settings_.watch_wait}),
        state_watcher_(store_, timers, RegionStateKey(settings_.region),
                       [this](const StoreItem& it) {
                         OfferStateText(it.value, it.version,
                                        StateSource::kStore);
                       },
                       {.wait = settings_.watch_wait}),
        registrar_({.self = self_,
                    .admin_address = settings_.admin_address,
                    .ttl = settings_.membership.lease_ttl,
                    .timeout = settings_.store_timeout},
                   store, timers, RegistrarHooks()),
        controller_({.region = settings_.region,
                     .self = settings_.incarnation,
                     .call_timeout = settings_.store_timeout},
                    std::move(store), std::move(platform), timers,
                    MakeControllerHooks(), decisions) {}

  void Start() {
    registrar_.Start();
    config_watcher_.Start();
    state_watcher_.Start();
    ListEntries();
    PublishOwnLists();
    AskSeeds();
    loop_.Start();
    CheckPermit();
    controller_.Start();
  }

  void BeginLeaving() {
    is_leaving_ = true;
    controller_.Stop();
  }

  void Leave(std::function<void()> done) {
    is_handing_over_ = true;
    leave_until_ = timers_.Now() + settings_.handover_timeout;
    leave_done_ = std::move(done);
    WaitForHandover();
  }

  void Halt() { is_stopped_ = true; }

  void TrafficReported(TrafficReport report) {
    demand_.Observe(report.queues, timers_.Now());
    traffic_ = std::move(report);
    UpdateSharesVersion();
    if (state_.value()) slots_.Update(*state_.value(), traffic_.load);
  }

  void HandleExchange(const ExchangeMessage& message,
                      const PeerCallback<ExchangeMessage>& reply) {
    loop_.Handle(message, reply);
  }

  FetchStateReply HandleFetchState(const FetchStateRequest& request) const {
    FetchStateReply reply;
    if (config_.revision() > request.config_revision) {
      reply.config_revision = config_.revision();
      reply.config_text = ToJson(config_.record());
    }
    if (request.region == settings_.region &&
        state_.number() > request.state_version) {
      reply.state_version = state_.number();
      reply.state_text = ToJson(*state_.value());
    }
    return reply;
  }

  bool is_ready() const {
    return !is_leaving_ && config_.revision() > Revision() && state_.value() &&
           slots_.has_slots() && permit_.Check(timers_.Now()).is_allowed();
  }

  EntryStatus status() const {
    const IncarnationId holder = controller_.holder();
    const Member* const member = table_.Find(holder);
    const bool is_own = holder == settings_.incarnation;
    return {.entry = settings_.entry,
            .incarnation = settings_.incarnation,
            .is_ready = is_ready(),
            .is_leaving = is_leaving_,
            .permit = permit_.Check(timers_.Now()),
            .is_holder = controller_.is_holder(),
            .holder = holder,
            .holder_entry = is_own              ? settings_.entry
                            : member != nullptr ? member->info.entry
                                                : EntryId(),
            .holder_admin = AdminAddress(holder),
            .config_revision = config_.revision(),
            .state_version = state_.number(),
            .members = table_.members().size(),
            .states_refused = state_.refused()};
  }

  std::shared_ptr<const RegionState> region_state() const {
    return state_.value();
  }
  const ConfigState& config() const { return config_; }
  Controller& controller() { return controller_; }

  std::string PeerAddress(const IncarnationId& incarnation) const {
    const Member* member = table_.Find(incarnation);
    return member == nullptr ? "" : member->info.address;
  }

  std::map<QueueId, QueueDemand> demand() const {
    if (!config_.declarations()) return {};
    std::vector<std::vector<QueueLoad>> entries = {demand_.Loads()};
    for (const auto& [incarnation, peer] : book_.peers()) {
      const Member* member = table_.Find(incarnation);
      if (member == nullptr || member->info.region != settings_.region ||
          table_.Health(incarnation, timers_.Now()) == MemberHealth::kLost)
        continue;
      std::vector<QueueLoad>& loads = entries.emplace_back();
      for (const auto& [queue, load] : peer.queues) loads.push_back(load);
    }
    return SumDemand(entries, config_.declarations()->queues);
  }

 private:
  template <typename T, typename F>
  std::function<void(Result<T>)> Guard(F handler) {
    return [weak = weak_from_this(),
            handler = std::move(handler)](const Result<T>& result) {
      const auto self = weak.lock();
      if (self && !self->is_stopped_) handler(result);
    };
  }

  void After(Duration delay, void (Impl::*step)()) {
    timers_.ScheduleAfter(delay, [weak = weak_from_this(), step] {
      const auto self = weak.lock();
      if (self && !self->is_stopped_) (self.get()->*step)();
    });
  }

  Registrar::Hooks RegistrarHooks() {
    return {.registered =
                [this](Instant lease_sent, Version version) {
                  table_.set_registration(version);
                  permit_.Registered(lease_sent, settings_.membership.lease_ttl,
                                     timers_.Now());
                  ReadState();
                },
            .lapsed = [this] { permit_.LeaseLapsed(); }};
  }

  ControllerHooks MakeControllerHooks() {
    return {
        .entry_lease = [this] { return registrar_.lease(); },
        .jitter = [this] { return random_.Unit(); },
        .is_drained = [this](const VmId& vm,
                             Version since) { return IsDrained(vm, since); },
        .check_health = hooks_.check_health,
        .demand = [this] { return demand(); },
        .next_shares =
            [this](const RegionState& state, Version version) {
              return NextShares(state, version);
            },
        .wall_clock_s = hooks_.wall_clock_s,
        .utc_offset_s = hooks_.utc_offset_s,
        .on_state_written =
            [this](std::shared_ptr<const RegionState> state, Version version) {
              OfferState(std::move(state), version, StateSource::kStore);
            }};
  }

  /// Ends the process's membership once no share of slots is its own any
  /// more: then its successor need not wait until its lease has lapsed.
  void WaitForHandover() {
    const auto state = state_.value();
    const bool has_share =
        state && FindShare(*state, settings_.incarnation) != nullptr;
    const bool has_others = state && state->shares.size() > 1;
    if (has_share && has_others && timers_.Now() < leave_until_)
      return After(kPermitInterval, &Impl::WaitForHandover);
    is_stopped_ = true;
    registrar_.Stop(std::move(leave_done_));
  }

  // Configuration and region state.

  /// The read that the send permit asks for after each registration.
  void ReadState() {
    const Instant sent = timers_.Now();
    store_.get(RegionStateKey(settings_.region), settings_.store_timeout,
               Guard<StoreItem>([this, sent](const Result<StoreItem>& item) {
                 if (item) {
                   OfferStateText(item->value, item->version,
                                  StateSource::kStore);
                   permit_.StateRead(item->version, sent);
                 } else if (item.error() == StoreError::kNotFound) {
                   permit_.StateRead(Version(), sent);
                 } else {
                   After(kReadRetry, &Impl::ReadState);
                 }
               }));
  }

  void OfferConfig(const std::string& json) {
    const auto record = ReadConfigRecord(json);
    if (!record) return;
    const auto is_new = config_.Offer(*record);
    if (!is_new || !*is_new) return;
    hooks_.declarations_changed(config_.declarations());
    controller_.set_declarations(config_.declarations(), config_.revision());
  }

  void OfferStateText(const std::string& text, Version version,
                      StateSource source) {
    auto state = RegionStateFromJson(text);
    if (!state) return;
    OfferState(std::make_shared<const RegionState>(std::move(*state)), version,
               source);
  }

  void OfferState(std::shared_ptr<const RegionState> state, Version version,
                  StateSource source) {
    const auto is_new = state_.Offer(version, std::move(state), source);
    if (!is_new || !*is_new) return;
    // The table goes to the data plane before any permit that rests on it.
    hooks_.table_changed(state_.value(), version);
    permit_.StateInForce(version, state_.value()->shares);
    UpdatePermit();
  }

  void FetchFrom(const std::string& address) {
    if (is_fetching_) return;
    is_fetching_ = true;
    const FetchStateRequest request{.region = settings_.region,
                                    .config_revision = config_.revision(),
                                    .state_version = state_.number()};
    hooks_.fetch_state(
        address, request, settings_.peer_timeout,
        Guard<FetchStateReply>([this](const Result<FetchStateReply>& reply) {
          is_fetching_ = false;
          if (!reply) return;
          if (!reply->config_text.empty()) OfferConfig(reply->config_text);
          if (!reply->state_text.empty())
            OfferStateText(reply->state_text, reply->state_version,
                           StateSource::kPeer);
        }));
  }

  // Membership.

  std::string AdminAddress(const IncarnationId& incarnation) const {
    if (incarnation == settings_.incarnation) return settings_.admin_address;
    const auto it = admin_addresses_.find(incarnation);
    return it == admin_addresses_.end() ? "" : it->second;
  }

  /// The holder of the control lease lists often, to see which leases have
  /// lapsed; the others only to learn addresses, and often until they know
  /// that of the holder.
  void ListEntries() {
    After(settings_.holder_list_interval, &Impl::ListEntries);
    const Instant now = timers_.Now();
    const IncarnationId holder = controller_.holder();
    const bool lacks_address = !settings_.admin_address.empty() &&
                               !holder.empty() && AdminAddress(holder).empty();
    if (now < next_listing_ && !controller_.is_holder() && !lacks_address)
      return;
    next_listing_ = now + settings_.list_interval;
    const Version known = state_.number();
    store_.range(
        EntryKeyPrefix(settings_.region), settings_.store_timeout,
        Guard<std::vector<StoreItem>>(
            [this, known, now](const Result<std::vector<StoreItem>>& listing) {
              if (listing) {
                admin_addresses_ = AdminAddressesOf(*listing);
                Listed(MembersOf(*listing), known, now);
              } else {
                next_listing_ = timers_.Now();
              }
            }));
  }

  void Listed(const std::vector<MemberInfo>& members, Version known,
              Instant sent) {
    std::vector<Registration> registrations;
    for (const MemberInfo& it : members) {
      registrations.push_back({it.entry, it.incarnation, it.registration});
      if (it.incarnation != settings_.incarnation)
        static_cast<void>(table_.Learn(it));
    }
    registrations_.Observe(registrations, known, sent, timers_.Now());
  }

  ExchangeHooks MakeExchangeHooks() {
    return {.send = hooks_.exchange,
            .own_report = [this] { return OwnReport(); },
            .shares =
                [this] {
                  return state_.value() ? state_.value()->shares
                                        : std::vector<EntryShare>();
                },
            .on_contact = [this](const Member& member) { OnContact(member); },
            .on_replaced = [] {}};
  }

  /// Seeds are asked until a member with that address is known.
  void AskSeeds() {
    After(settings_.membership.exchange_interval, &Impl::AskSeeds);
    for (const std::string& address : settings_.seeds) {
      const auto& members = table_.members();
      const bool is_known = std::any_of(
          members.begin(), members.end(),
          [&](const auto& it) { return it.second.info.address == address; });
      if (!is_known && address != settings_.peer_address) Ask(address);
    }
  }

  void Ask(const std::string& address) {
    MemberReport report = OwnReport();
    report.info = table_.self();
    hooks_.exchange(
        address, book_.Compose(IncarnationId(), std::move(report)),
        settings_.peer_timeout,
        Guard<ExchangeMessage>([this](const Result<ExchangeMessage>& reply) {
          if (reply) static_cast<void>(table_.Learn(reply->report.info));
        }));
  }

  void OnContact(const Member& member) {
    const MemberReport& report = member.report;
    if (report.info.region == settings_.region) {
      state_.Seen(report.state_version);
      TellDataPlane(member);
    }
    const bool is_behind =
        report.config_revision > config_.revision() || state_.is_behind();
    if (is_behind) FetchFrom(report.info.address);
    UpdatePermit();
  }

  void TellDataPlane(const Member& member) {
    const PeerView* view = book_.Find(member.info.incarnation);
    if (view == nullptr) return;
    LoadReport load{.entry = member.info.entry,
                    .state_version = member.report.state_version};
    for (const auto& [pool, it] : view->pools)
      load.pools[pool] = {it.queued, it.in_flight, it.free_slots};
    for (const auto& [vm, it] : view->endpoints) {
      if (it.condition == EndpointCondition::kDraining)
        hooks_.endpoint_leaving({it.vm, it.generation});
    }
    hooks_.peer_load_received(load);
  }

  MemberReport OwnReport() const {
    MemberReport report;
    report.config_revision = config_.revision();
    // What the data plane acts on, which may trail what is known here.
    report.state_version = traffic_.load.state_version;
    if (const auto sent = registrar_.lease_sent())
      report.lease_age = timers_.Now() - *sent;
    report.shares_version = shares_version_;
    // Peers take the slots as soon as they know; until then this entry still
    // sends the requests in its queues.
    report.is_leaving = is_handing_over_;
    for (const auto& [vm, n] : traffic_.load.in_flight) report.in_flight += n;
    if (!state_.value()) return report;
    for (const auto& [id, vm] : state_.value()->vms) {
      if (vm.phase == VmPhase::kActive) continue;
      report.draining.push_back(
          {id, InFlight(id), traffic_.load.state_version});
    }
    return report;
  }

  std::uint32_t InFlight(const VmId& vm) const {
    const auto it = traffic_.load.in_flight.find(vm);
    return it == traffic_.load.in_flight.end() ? 0 : it->second;
  }

  void PublishOwnLists() {
    After(settings_.membership.exchange_interval, &Impl::PublishOwnLists);
    for (const auto& [pool, it] : traffic_.load.pools)
      book_.SetPool({pool, it.queued, it.in_flight, it.free_slots});
    for (const QueueLoad& it : demand_.Loads()) book_.SetQueue(it);
    for (const auto& [incarnation, member] : table_.members())
      book_.SetMember(member.info);
    book_.SetMember(table_.self());
    if (state_.value())
      endpoint_reporter_.Publish(*state_.value(), traffic_.load, &book_);
  }

  // Permit, drains and shares.

  void CheckPermit() {
    After(kPermitInterval, &Impl::CheckPermit);
    UpdatePermit();
  }

  void UpdatePermit() {
    if (const auto sent = registrar_.lease_sent())
      permit_.LeaseRenewed(*sent, settings_.membership.lease_ttl);
    const Permit permit = permit_.Check(timers_.Now());
    const Instant until =
        permit.is_allowed() ? permit.valid_until : timers_.Now();
    if (until == permit_sent_) return;
    permit_sent_ = until;
    hooks_.permit_changed(until);
  }

  bool IsDrained(const VmId& vm, Version since) {
    const auto state = state_.value();
    if (!state) return false;
    const FencingView view(table_, registrations_, state->shares,
                           traffic_.load.state_version);
    return view.MissingForVm(vm, since, InFlight(vm), timers_.Now()).empty();
  }

  std::optional<SharesProposal> NextShares(const RegionState& state,
                                           Version version) {
    if (state.shares != seen_shares_ || shares_changed_at_ == Version()) {
      seen_shares_ = state.shares;
      shares_changed_at_ = version;
    }
    const FencingView view(table_, registrations_, state.shares,
                           traffic_.load.state_version);
    const auto change = SlotShares::Next(state.shares, shares_changed_at_,
                                         shares_version_, view, timers_.Now());
    if (!change) return std::nullopt;
    return SharesProposal{change->shares, change->reason};
  }

  /// Raises the version of the shares that this entry keeps to, once its use
  /// of every endpoint fits its share.
  void UpdateSharesVersion() {
    const auto state = state_.value();
    if (!state || traffic_.load.state_version != state_.number()) return;
    for (const auto& [vm, n] : traffic_.load.in_flight) {
      const auto it = state->vms.find(vm);
      if (it == state->vms.end() || !config_.declarations()) continue;
      const auto pool = config_.declarations()->pools.find(it->second.pool);
      if (pool == config_.declarations()->pools.end()) continue;
      if (n > ShareOf(state->shares, settings_.entry, settings_.incarnation, vm,
                      pool->second.slots))
        return;
    }
    shares_version_ = traffic_.load.state_version;
  }

  EntryNodeSettings settings_;
  MemberInfo self_;
  StoreClient store_;
  TimerService& timers_;
  EntryNodeHooks hooks_;
  Random random_;

  ConfigState config_;
  StateGate<Version, RegionState> state_;
  bool is_fetching_ = false;

  SlotReadiness slots_;
  MemberTable table_;
  SendPermit permit_;
  Registrations registrations_;
  ExchangeBook book_;
  ExchangeLoop loop_;
  DemandMeter demand_;
  TrafficReport traffic_;
  EndpointReporter endpoint_reporter_;
  Version shares_version_;
  std::vector<EntryShare> seen_shares_;
  Version shares_changed_at_;
  Instant permit_sent_{};
  Instant next_listing_{};
  /// As of the latest listing.
  std::map<IncarnationId, std::string> admin_addresses_;

  KeyWatcher config_watcher_;
  KeyWatcher state_watcher_;
  Registrar registrar_;
  Controller controller_;
  Instant leave_until_{};
  std::function<void()> leave_done_;
  bool is_leaving_ = false;
  bool is_handing_over_ = false;
  bool is_stopped_ = false;
};

EntryNode::EntryNode(EntryNodeSettings settings, StoreClient store,
                     PlatformClient platform, TimerService& timers,
                     EntryNodeHooks hooks, DecisionLog* decisions)
    : impl_(std::make_shared<Impl>(std::move(settings), std::move(store),
                                   std::move(platform), timers,
                                   std::move(hooks), decisions)) {}

EntryNode::~EntryNode() { impl_->Halt(); }

void EntryNode::Start() { impl_->Start(); }
void EntryNode::BeginLeaving() { impl_->BeginLeaving(); }
void EntryNode::Leave(std::function<void()> done) {
  impl_->Leave(std::move(done));
}
void EntryNode::TrafficReported(TrafficReport report) {
  impl_->TrafficReported(std::move(report));
}
void EntryNode::HandleExchange(const ExchangeMessage& message,
                               const PeerCallback<ExchangeMessage>& reply) {
  impl_->HandleExchange(message, reply);
}
FetchStateReply EntryNode::HandleFetchState(
    const FetchStateRequest& request) const {
  return impl_->HandleFetchState(request);
}
bool EntryNode::is_ready() const { return impl_->is_ready(); }
EntryStatus EntryNode::status() const { return impl_->status(); }
std::shared_ptr<const RegionState> EntryNode::region_state() const {
  return impl_->region_state();
}
const ConfigState& EntryNode::config() const { return impl_->config(); }
Controller& EntryNode::controller() { return impl_->controller(); }
const Controller& EntryNode::controller() const { return impl_->controller(); }
std::string EntryNode::PeerAddress(const IncarnationId& incarnation) const {
  return impl_->PeerAddress(incarnation);
}
std::map<QueueId, QueueDemand> EntryNode::demand() const {
  return impl_->demand();
}

}  // namespace pomelomill
