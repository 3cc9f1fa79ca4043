#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/entry.h"
#include "pomelomill/routing.h"
#include "router_host.h"
#include "world.h"

namespace pomelomill::faults {

class EntryHost;

/// The entries of one cell by their peer address. An entry that is down has a
/// null host.
using EntryDirectory = std::map<std::string, std::unique_ptr<EntryHost>*>;

/// One run of an entry: a real EntryNode with its Controller, and a real
/// Router as its data plane, over the fakes. The two sides exchange messages
/// as the threads of `pomelomill serve` do.
///
/// Steps of the store: "membership.grant", "membership.register",
/// "membership.renew", "membership.list", "entry.stop" (the lease is revoked),
/// "lease.claim", "config.watch", "state.watch", "state.read", "claim.write",
/// "claim.grant", and a write of the region state by what it changes:
/// "move.open", "drain.open", "move.write" (the VM changes its pool),
/// "drain.write" (the drain has ended), "stop.write", "return.write" (the
/// intent is closed) and "state.write". Steps of peers: "membership.exchange",
/// "membership.reply", "membership.fetch". Steps of the platform:
/// "vms.list", "drain.call", "stop.call", "stop.poll". Health checks:
/// "drain.check" and "return.check".
class EntryHost {
 public:
  EntryHost(World& world, testing::FakeProcess& process,
            const EntryDirectory& entries);
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;
  ~EntryHost();

  void Start();

  /// Takes the request with this index in the evidence. A request with a
  /// caller's own key is claimed first.
  void Accept(std::size_t request, Duration service_time);
  void Cancel(std::size_t request);

  /// Graceful stop: gives up control, finishes the requests in hand, leaves;
  /// `done` runs at the end.
  void Stop(std::function<void()> done);

  EntryNode& node() { return *node_; }
  const DecisionLog& decisions() const { return decisions_; }
  testing::FakeProcess& process() { return process_; }

 private:
  StoreClient MakeStore();
  PlatformClient MakePlatform();
  EntryNodeHooks MakeHooks();
  std::string StoreStep(testing::StoreCall call, const std::string& key) const;
  /// Name of the step of a write of the region state, by what it changes.
  std::string StateWriteStep(const std::string& value) const;
  /// To the data plane, which runs on a thread of its own.
  void Post(RouterEvent event);
  void Report();
  void ReportAgain();
  void NoteAuthority();
  void WaitForRequests(const std::function<void()>& done);
  void CheckHealth(const VmId& vm,
                   std::function<void(Result<EndpointHealth>)> done);
  template <typename Request, typename Reply>
  void Call(const std::string& step, const std::string& address,
            const Request& request, Duration timeout, PeerCallback<Reply> done,
            std::function<void(EntryHost&, const Request&,
                               const PeerCallback<Reply>&)>
                serve);

  World& world_;
  testing::FakeProcess& process_;
  const EntryDirectory& entries_;
  std::uint64_t run_;
  /// Callbacks of the store and of peers may outlive the host.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  DecisionLog decisions_;
  /// Step of the write of the region state that is being sent.
  std::string state_write_step_;
  StoreClient store_;
  std::unique_ptr<RouterHost> router_;
  std::unique_ptr<KeyClaims> claims_;
  std::unique_ptr<EntryNode> node_;
};

}  // namespace pomelomill::faults
