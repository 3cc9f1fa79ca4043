#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet_scenario.h"
#include "groups.h"

namespace pomelomill::faults {
namespace {

Group FleetGroup(std::string name, std::vector<Step> steps,
                 FleetScenarioOptions options) {
  Group group;
  group.name = std::move(name);
  group.steps = std::move(steps);
  group.properties = {"P2", "P3", "P4", "P5", "P6", "P7", "P8"};
  group.length = FleetScenario::kLength;
  group.has_peers = true;
  group.has_vms = true;
  group.start = [options](World& world) -> std::shared_ptr<void> {
    return std::make_shared<FleetScenario>(world, options);
  };
  return group;
}

}  // namespace

Group MembershipGroup() {
  return FleetGroup("membership",
                    {{"membership.register", StepKind::kStoreWrite, {}},
                     {"membership.renew", StepKind::kStoreLease, {}},
                     {"membership.exchange", StepKind::kPeerMessage, {}}},
                    {.has_drains = true});
}

Group EntryGroup() {
  return FleetGroup("entry",
                    {{"entry.start", StepKind::kLocal, {}},
                     {"entry.stop", StepKind::kStoreLease, {}}},
                    {.has_entry_stops = true});
}

Group ClaimGroup() {
  return FleetGroup("claim", {{"claim.write", StepKind::kStoreWrite, {}}},
                    {.has_keys = true});
}

Group MoveGroup() {
  return FleetGroup("move",
                    {{"move.open", StepKind::kStoreWrite, {}},
                     {"move.write", StepKind::kStoreWrite, {}},
                     {"vms.list", StepKind::kPlatformRead, {}}},
                    {.has_moves = true});
}

Group StopGroup() {
  return FleetGroup("stop",
                    {{"drain.open", StepKind::kStoreWrite, {}},
                     {"drain.call", StepKind::kPlatformWrite, {}},
                     {"drain.check", StepKind::kEndpointCall, {}},
                     {"drain.write", StepKind::kStoreWrite, {}},
                     {"stop.call", StepKind::kPlatformWrite, {}},
                     {"stop.poll", StepKind::kPlatformRead, {}},
                     {"stop.write", StepKind::kStoreWrite, {}},
                     {"return.check", StepKind::kEndpointCall, {}},
                     {"return.write", StepKind::kStoreWrite, {}}},
                    {.has_drains = true});
}

}  // namespace pomelomill::faults
