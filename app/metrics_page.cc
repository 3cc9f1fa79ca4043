#include "metrics_page.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace pomelomill {
namespace {

constexpr std::array<const char*, kStoreCallKinds> kCallNames = {
    "get",   "put",         "erase",       "watch",
    "range", "grant_lease", "renew_lease", "revoke_lease"};

void AddPools(const EntryNode& node, const LoadReport& load,
              MetricRegistry& page) {
  std::map<PoolId, double> ejected;
  for (const auto& [pool, it] : load.pools) {
    const MetricLabels labels = {{"pool", pool.value()}};
    page.gauge("pomelomill_pool_waiting", "Requests that wait", labels)
        .Set(it.queued);
    page.gauge("pomelomill_pool_in_flight", "Requests sent to endpoints",
               labels)
        .Set(it.in_flight);
    page.gauge("pomelomill_pool_free_slots",
               "Slots that this entry may still use", labels)
        .Set(it.free_slots);
    ejected[pool] = 0;
  }
  const auto state = node.region_state();
  for (const VmId& vm : load.ejected) {
    if (!state) break;
    const auto it = state->vms.find(vm);
    if (it != state->vms.end()) ++ejected[it->second.pool];
  }
  for (const auto& [pool, n] : ejected) {
    page.gauge("pomelomill_pool_ejected_endpoints",
               "Endpoints that this entry has ejected",
               {{"pool", pool.value()}})
        .Set(n);
  }
}

void AddStoreCalls(const CallCounter& calls, MetricRegistry& page) {
  for (std::size_t i = 0; i < kStoreCallKinds; ++i) {
    const CallCount& it = calls.count(static_cast<StoreCallKind>(i));
    const std::array<std::pair<const char*, std::uint64_t>, 5> results = {
        {{"succeeded", it.succeeded},
         {"refused", it.refused},
         {"unavailable", it.unavailable},
         {"rate_limited", it.rate_limited},
         {"unknown", it.unknown}}};
    for (const auto& [result, n] : results) {
      page.counter("pomelomill_store_calls_total",
                   "Store calls that have ended",
                   {{"kind", kCallNames[i]}, {"result", result}})
          .Add(static_cast<double>(n));
    }
  }
}

void AddEntry(const EntryStatus& status, Instant now, MetricRegistry& page) {
  page.gauge("pomelomill_control_lease_held",
             "1 while this entry controls its region")
      .Set(status.is_holder ? 1 : 0);
  page.gauge("pomelomill_config_revision", "Configuration revision in force")
      .Set(static_cast<double>(status.config_revision.value()));
  page.gauge("pomelomill_region_state_version",
             "Version of the region state in force")
      .Set(static_cast<double>(status.state_version.value()));
  const double left = status.permit.is_allowed()
                          ? ToSeconds(status.permit.valid_until - now)
                          : 0;
  page.gauge("pomelomill_send_permit_seconds",
             "Time that the send permit lasts unless it is renewed")
      .Set(std::max(0.0, left));
}

}  // namespace

std::string MetricsText(const EntryNode& node, const TrafficStatus& traffic,
                        const MetricRegistry& requests,
                        const CallCounter& store_calls, Instant now) {
  // A new registry for each page leaves out pools that are gone.
  MetricRegistry page;
  AddPools(node, traffic.load, page);
  AddStoreCalls(store_calls, page);
  AddEntry(node.status(), now, page);
  return requests.Text() + page.Text();
}

}  // namespace pomelomill
