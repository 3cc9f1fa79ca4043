#include "entry_host.h"

#include <utility>

#include "pomelomill/control/control_lease.h"
#include "pomelomill/control/region_writer.h"
#include "pomelomill/entry/registrar.h"
#include "pomelomill/peer/peer_error.h"
#include "pomelomill/platform/region_state_json.h"
#include "text.h"

namespace pomelomill::faults {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::StoreCall;

constexpr const char* kRegion = "region";
constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kHealthTimeout = seconds(1);
/// Pause between two looks at whether all requests have ended.
constexpr Duration kDrainPoll = milliseconds(50);
/// Wall-clock time of the start of every cell.
constexpr std::int64_t kStartSeconds = 1'700'000'000;

RegionId Region() { return RegionId(kRegion); }

std::string AddressOf(const testing::FakeProcess& process) {
  return process.name() + ":7000";
}

EntryNodeSettings SettingsFor(World& world, const testing::FakeProcess& process,
                              const EntryDirectory& entries) {
  EntryNodeSettings settings;
  settings.entry = EntryId(process.name());
  settings.incarnation =
      IncarnationId(process.name() + "/" + std::to_string(process.run()));
  settings.region = Region();
  settings.peer_address = AddressOf(process);
  for (const auto& [address, host] : entries) {
    settings.seeds.push_back(address);
  }
  settings.seed = world.random.Next();
  return settings;
}

std::vector<QueueTotals> TotalsOf(const std::vector<QueueStatus>& queues) {
  std::vector<QueueTotals> totals;
  for (const QueueStatus& it : queues) {
    totals.push_back(
        {.queue = it.queue,
         .arrived = it.arrived,
         .service_time = it.service_time,
         .asked = it.counts.requests,
         .missed = it.counts.requests - it.counts.answered_in_time});
  }
  return totals;
}

std::string PlatformStep(const std::string& call) {
  if (call == "list-vms") return "vms.list";
  if (call == "vm-status") return "stop.poll";
  if (call == "drain") return "drain.call";
  return call == "start" ? "start.call" : "stop.call";
}

}  // namespace

EntryHost::EntryHost(World& world, testing::FakeProcess& process,
                     const EntryDirectory& entries)
    : world_(world),
      process_(process),
      entries_(entries),
      run_(process.run()),
      store_(MakeStore()) {
  const EntryNodeSettings settings = SettingsFor(world, process, entries);
  RouterOptions options;
  options.entry = settings.entry;
  options.incarnation = settings.incarnation;
  options.seed = settings.seed;
  router_ = std::make_unique<RouterHost>(world, process, options);
  claims_ = std::make_unique<KeyClaims>(
      store_, process, KeyClaimsOptions{.incarnation = settings.incarnation});
  router_->on_respond = [this](std::size_t request, Outcome outcome) {
    const std::string& key = world_.evidence.requests[request].key;
    if (key.empty()) return;
    claims_->Finish(key,
                    {outcome, outcome == Outcome::kAnswered
                                  ? 200
                                  : (outcome == Outcome::kNotRun ? 503 : 504)});
  };
  EntryNodeHooks hooks = MakeHooks();
  if (world.broken.node_hooks) world.broken.node_hooks(hooks, process);
  node_ = std::make_unique<EntryNode>(settings, store_, MakePlatform(), process,
                                      std::move(hooks), &decisions_);
}

EntryHost::~EntryHost() { *is_alive_ = false; }

void EntryHost::Start() {
  node_->Start();
  ReportAgain();
}

void EntryHost::Accept(std::size_t request, Duration service_time) {
  const std::string key = world_.evidence.requests[request].key;
  if (key.empty()) {
    router_->Accept(request, service_time);
    return;
  }
  claims_->Claim(key, [this, request, service_time,
                       is_alive = is_alive_](const ClaimResult& result) {
    if (!*is_alive) return;
    if (result.state == ClaimState::kMayRun) {
      router_->Accept(request, service_time);
      return;
    }
    // A taken key is answered with 409: this request itself was not run.
    CallerRequest& it = world_.evidence.requests[request];
    ++it.responses;
    it.answered = world_.timers.Now();
    it.outcome = CallerOutcome::kNotRun;
  });
}

void EntryHost::Cancel(std::size_t request) { router_->Cancel(request); }

void EntryHost::Stop(std::function<void()> done) {
  node_->BeginLeaving();
  WaitForRequests([this, done = std::move(done)] { node_->Leave(done); });
}

void EntryHost::WaitForRequests(const std::function<void()>& done) {
  if (router_->router().open_requests() == 0 &&
      router_->router().open_attempts() == 0) {
    done();
    return;
  }
  process_.ScheduleAfter(kDrainPoll, [this, done] { WaitForRequests(done); });
}

// Store and platform.

StoreClient EntryHost::MakeStore() {
  StoreClient client = world_.store.ClientFor(
      process_, [this](StoreCall call, const std::string& key) {
        return StoreStep(call, key);
      });
  client.put = [this, put = client.put](
                   const std::string& key, const std::string& value,
                   Version expect, const LeaseId& lease, Duration timeout,
                   const StoreCallback<Version>& done) {
    if (key == RegionStateKey(Region())) {
      state_write_step_ = StateWriteStep(value);
    }
    put(key, value, expect, lease, timeout, done);
  };
  if (world_.broken.store_client) client = world_.broken.store_client(client);
  return client;
}

std::string EntryHost::StoreStep(StoreCall call, const std::string& key) const {
  const bool is_state = key == RegionStateKey(Region());
  switch (call) {
    case StoreCall::kGrantLease:
      return "membership.grant";
    case StoreCall::kRenewLease:
      return "membership.renew";
    case StoreCall::kRevokeLease:
      return "entry.stop";
    case StoreCall::kRange:
      return "membership.list";
    case StoreCall::kWatch:
      return is_state ? "state.watch" : "config.watch";
    default:
      break;
  }
  const bool is_write = call != StoreCall::kGet;
  if (is_state) return is_write ? state_write_step_ : "state.read";
  if (key.starts_with("claims/"))
    return is_write ? "claim.write" : "claim.read";
  if (key.starts_with(EntryKeyPrefix(Region()))) {
    return is_write ? "membership.register" : "membership.read";
  }
  return is_write ? "lease.claim" : "lease.read";
}

std::string EntryHost::StateWriteStep(const std::string& value) const {
  const auto next = RegionStateFromJson(value);
  const auto now = node_ ? node_->region_state() : nullptr;
  if (!next || !now) return "state.write";
  for (const auto& [id, intent] : next->intents) {
    const auto before = now->intents.find(id);
    const bool is_move = intent.kind == IntentKind::kMove;
    if (before == now->intents.end())
      return is_move ? "move.open" : "drain.open";
    if (before->second.step == intent.step) continue;
    if (before->second.step == IntentStep::kDrain) {
      return is_move ? "move.write" : "drain.write";
    }
    return intent.step == IntentStep::kDone ? "return.write" : "stop.write";
  }
  for (const auto& [id, intent] : now->intents) {
    if (!next->intents.contains(id)) return "return.write";
  }
  return "state.write";
}

PlatformClient EntryHost::MakePlatform() {
  PlatformClient client = world_.platform.ClientFor(process_, PlatformStep);
  client.operate_vm = [this, operate = client.operate_vm](
                          const VmId& vm, VmOperation operation,
                          const IntentId& intent, Generation generation,
                          Duration timeout,
                          const std::function<void(Status)>& done) {
    NoteAuthority();
    operate(vm, operation, intent, generation, timeout, done);
  };
  return client;
}

/// The controller decides a call to the platform on the control lease, which
/// rests on the latest lease under which this process claimed the key.
void EntryHost::NoteAuthority() {
  LeaseId lease;
  for (const auto& it : world_.store.WritesOf(ControlLeaseKey(Region()))) {
    if (it.process == process_.name() && !it.is_erase) lease = it.lease;
  }
  world_.evidence.authority_uses.push_back(
      {world_.timers.Now(), process_.name(), lease});
}

// Peers.

template <typename Request, typename Reply>
void EntryHost::Call(
    const std::string& step, const std::string& address, const Request& request,
    Duration timeout, PeerCallback<Reply> done,
    std::function<void(EntryHost&, const Request&, const PeerCallback<Reply>&)>
        serve) {
  struct Pending {
    PeerCallback<Reply> done;
    TimerId timer = 0;
  };
  auto pending = std::make_shared<Pending>();
  pending->done = std::move(done);
  auto finish = [this, pending,
                 is_alive = is_alive_](const Result<Reply>& reply) {
    if (!*is_alive || !pending->done) return;
    process_.Cancel(pending->timer);
    const auto callback = std::exchange(pending->done, {});
    callback(reply);
  };
  pending->timer = process_.ScheduleAfter(timeout, [finish] {
    finish(Unexpected(make_error_code(PeerError::kTimeout)));
  });
  const auto entry = entries_.find(address);
  if (entry == entries_.end() || !*entry->second) return;
  std::unique_ptr<EntryHost>* receiver = entry->second;
  world_.network.Send(
      process_, (*receiver)->process_, step,
      [receiver, request, serve, finish, run = run_, from = &process_,
       network = &world_.network] {
        if (!*receiver) return;
        EntryHost& host = **receiver;
        testing::FakeProcess& to = host.process_;
        serve(host, request,
              [from, network, run, finish, &to](const Result<Reply>& reply) {
                network->Send(
                    to, *from, "membership.reply", [from, run, finish, reply] {
                      from->RunInside(run, [finish, reply] { finish(reply); });
                    });
              });
      });
}

EntryNodeHooks EntryHost::MakeHooks() {
  EntryNodeHooks hooks;
  hooks.exchange = [this](const std::string& address,
                          const ExchangeMessage& message, Duration timeout,
                          PeerCallback<ExchangeMessage> done) {
    Call<ExchangeMessage, ExchangeMessage>(
        "membership.exchange", address, message, timeout, std::move(done),
        [](EntryHost& host, const ExchangeMessage& request,
           const PeerCallback<ExchangeMessage>& reply) {
          host.node_->HandleExchange(request, reply);
        });
  };
  hooks.fetch_state = [this](const std::string& address,
                             const FetchStateRequest& request, Duration timeout,
                             PeerCallback<FetchStateReply> done) {
    Call<FetchStateRequest, FetchStateReply>(
        "membership.fetch", address, request, timeout, std::move(done),
        [](EntryHost& host, const FetchStateRequest& it,
           const PeerCallback<FetchStateReply>& reply) {
          reply(host.node_->HandleFetchState(it));
        });
  };
  hooks.check_health = [this](
                           const VmId& vm, const std::string&,
                           std::function<void(Result<EndpointHealth>)> done) {
    CheckHealth(vm, std::move(done));
  };
  hooks.wall_clock_s = [this] {
    return kStartSeconds + ToMillis(process_.Now().time_since_epoch()) / 1000;
  };
  hooks.utc_offset_s = [] { return std::int64_t{0}; };
  hooks.table_changed = [this](std::shared_ptr<const RegionState> state,
                               Version version) {
    Post(RegionStateChanged{std::move(state), version});
  };
  hooks.declarations_changed =
      [this](std::shared_ptr<const Declarations> declarations) {
        world_.evidence.in_force.push_back(
            {world_.timers.Now(), process_.name(), node_->config().revision()});
        Post(DeclarationsChanged{std::move(declarations)});
      };
  hooks.permit_changed = [this](Instant valid_until) {
    Post(SendPermitChanged{valid_until});
  };
  hooks.peer_load_received = [this](const LoadReport& report) {
    Post(PeerLoadReceived{report});
  };
  hooks.endpoint_leaving = [this](const EndpointLeaving& leaving) {
    Post(leaving);
  };
  return hooks;
}

void EntryHost::CheckHealth(const VmId& vm,
                            std::function<void(Result<EndpointHealth>)> done) {
  bool is_returning = false;
  if (const auto state = node_->region_state()) {
    for (const auto& [id, intent] : state->intents) {
      is_returning |= intent.vm == vm && intent.step == IntentStep::kVerify;
    }
  }
  world_.EndpointOf(vm).Health(
      process_, is_returning ? "return.check" : "drain.check", kHealthTimeout,
      [done = std::move(done)](const Result<testing::EndpointHealth>& health) {
        if (!health) return done(Unexpected(health.error()));
        done(EndpointHealth{health->generation, health->is_draining,
                            health->active});
      });
}

// The two sides of the entry.

void EntryHost::Post(RouterEvent event) {
  process_.ScheduleAfter(Duration(0), [this, event = std::move(event)] {
    router_->Handle(event);
    // A fault at one of the router's actions may have ended the process.
    if (process_.is_running() && process_.run() == run_ &&
        std::holds_alternative<RegionStateChanged>(event)) {
      Report();
    }
  });
}

void EntryHost::Report() {
  LoadReport load = router_->router().Report(process_.Now());
  if (world_.broken.load_report) world_.broken.load_report(load);
  node_->TrafficReported(
      {std::move(load),
       TotalsOf(router_->router().queue_status(process_.Now()))});
}

void EntryHost::ReportAgain() {
  process_.ScheduleAfter(kReportInterval, [this] { ReportAgain(); });
  Report();
}

}  // namespace pomelomill::faults
