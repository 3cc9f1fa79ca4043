#include "endpoint_reporter.h"

#include "pomelomill/peer/exchange_book.h"
#include "pomelomill/platform/region_state.h"
#include "pomelomill/routing/events.h"

namespace pomelomill {

void EndpointReporter::Publish(const RegionState& state, const LoadReport& load,
                               ExchangeBook* book) {
  for (const auto& [id, vm] : state.vms) {
    EndpointUpdate update{.vm = id, .generation = vm.generation};
    if (load.ejected.contains(id))
      update.condition = EndpointCondition::kEjected;
    const auto draining = load.draining.find(id);
    if (draining != load.draining.end()) {
      update.condition = EndpointCondition::kDraining;
      update.generation = draining->second;
    }
    if (update.condition == EndpointCondition::kGood && !reported_.contains(id))
      continue;
    reported_.insert(id);
    book->SetEndpoint(update);
  }
}

}  // namespace pomelomill
