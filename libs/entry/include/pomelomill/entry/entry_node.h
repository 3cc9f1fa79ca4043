#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pomelomill/base/decision_log.h"
#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/config_record.h"
#include "pomelomill/config/declarations.h"
#include "pomelomill/control/controller.h"
#include "pomelomill/entry/demand_meter.h"
#include "pomelomill/membership/membership_settings.h"
#include "pomelomill/membership/send_permit.h"
#include "pomelomill/peer/peer_messages.h"
#include "pomelomill/peer/peer_options.h"
#include "pomelomill/platform/platform_client.h"
#include "pomelomill/platform/region_state.h"
#include "pomelomill/routing/events.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

class TimerService;

struct EntryNodeSettings {
  EntryId entry;
  IncarnationId incarnation;
  RegionId region;
  /// "ip:port" of this entry's gRPC server, and of entries to ask first.
  std::string peer_address;
  std::vector<std::string> seeds;
  /// "HOST:PORT" of this entry's admin page, for commands that another entry
  /// sends here.
  std::string admin_address;
  MembershipSettings membership;
  Duration store_timeout = std::chrono::seconds(2);
  Duration peer_timeout = std::chrono::milliseconds(800);
  /// How long one watch waits for a change; see KeyWatcherOptions.
  Duration watch_wait = std::chrono::seconds(4);
  /// Pause between two listings of the entries' keys. Only the control lease
  /// holder needs them soon, to see which lease has lapsed.
  Duration list_interval = std::chrono::seconds(30);
  Duration holder_list_interval = std::chrono::seconds(1);
  /// Longest wait of a graceful stop until the entry's slots are passed on:
  /// the control lease may change hands first, and two plans follow.
  Duration handover_timeout = std::chrono::seconds(10);
  std::uint64_t seed = 1;
};

/// What the data plane of this entry reports.
struct TrafficReport {
  LoadReport load;
  std::vector<QueueTotals> queues;
};

/// What the node needs from, and tells, the rest of the process. All hooks run
/// on the control thread.
struct EntryNodeHooks {
  std::function<void(const std::string& address, const ExchangeMessage&,
                     Duration timeout, PeerCallback<ExchangeMessage>)>
      exchange;
  std::function<void(const std::string& address, const FetchStateRequest&,
                     Duration timeout, PeerCallback<FetchStateReply>)>
      fetch_state;
  std::function<void(const VmId&, const std::string& address,
                     std::function<void(Result<EndpointHealth>)>)>
      check_health;
  std::function<std::int64_t()> wall_clock_s;
  std::function<std::int64_t()> utc_offset_s;
  /// To the data plane, in the order of the calls.
  std::function<void(std::shared_ptr<const RegionState>, Version)>
      table_changed;
  std::function<void(std::shared_ptr<const Declarations>)> declarations_changed;
  std::function<void(Instant valid_until)> permit_changed;
  std::function<void(const LoadReport&)> peer_load_received;
  std::function<void(const EndpointLeaving&)> endpoint_leaving;
};

/// What status pages show about one entry.
struct EntryStatus {
  EntryId entry;
  IncarnationId incarnation;
  bool is_ready = false;
  bool is_leaving = false;
  Permit permit;
  bool is_holder = false;
  IncarnationId holder;
  /// The holder's entry id and admin address; empty when not known.
  EntryId holder_entry;
  std::string holder_admin;
  Revision config_revision;
  Version state_version;
  std::size_t members = 0;
  std::uint64_t states_refused = 0;
};

/// The control side of one entry. Runs on one thread; time, store, platform
/// and peers come from outside, so that tests run many of them in one process
/// and in virtual time.
class EntryNode {
 public:
  EntryNode(EntryNodeSettings settings, StoreClient store,
            PlatformClient platform, TimerService& timers, EntryNodeHooks hooks,
            DecisionLog* decisions);
  ~EntryNode();

  void Start();

  /// First step of a graceful stop: gives up control and is no longer ready.
  /// Requests in hand are still sent and finished.
  void BeginLeaving();

  /// Last step, once no request is in hand: tells the peers, waits until the
  /// region state has passed on the entry's slots, for at most the handover
  /// timeout, and then revokes the lease. `done` runs when the store has
  /// answered or cannot.
  void Leave(std::function<void()> done);

  /// Takes a report of the data plane; call it at least every 100 ms and
  /// after each change of the table.
  void TrafficReported(TrafficReport report);

  /// Incoming calls of peers.
  void HandleExchange(const ExchangeMessage& message,
                      const PeerCallback<ExchangeMessage>& reply);
  FetchStateReply HandleFetchState(const FetchStateRequest& request) const;

  /// True when requests may be accepted: a configuration and a region state
  /// are in force, the entry has slots and may send work, and it is not
  /// leaving.
  bool is_ready() const;
  EntryStatus status() const;

  std::shared_ptr<const RegionState> region_state() const;
  const ConfigState& config() const;
  Controller& controller();
  const Controller& controller() const;
  /// "ip:port" of a member's gRPC server; empty when it is not known or has
  /// been replaced.
  std::string PeerAddress(const IncarnationId& incarnation) const;
  /// Demand over all entries of the region, as last exchanged.
  std::map<QueueId, QueueDemand> demand() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
