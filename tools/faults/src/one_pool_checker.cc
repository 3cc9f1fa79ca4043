#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "checkers.h"
#include "text.h"

namespace pomelomill::faults {
namespace {

/// An entry may act on a region state that is older by this much (P6).
constexpr Duration kSpread = std::chrono::seconds(3);

bool Overlap(const testing::EndpointRun& a, const testing::EndpointRun& b,
             Instant end) {
  const Instant a_end = a.how == testing::RunEnd::kRunning ? end : a.end;
  const Instant b_end = b.how == testing::RunEnd::kRunning ? end : b.end;
  return a.start < b_end && b.start < a_end;
}

}  // namespace

Violations OnePoolChecker::Check(const Evidence& evidence) const {
  Violations found;
  CheckWrites(evidence, found);
  CheckAuthority(evidence, found);
  CheckRuns(evidence, found);
  return found;
}

void OnePoolChecker::CheckWrites(const Evidence& evidence,
                                 Violations& found) const {
  const RegionWrite* previous = nullptr;
  std::set<std::pair<IncarnationId, std::uint64_t>> sequences;
  std::map<Epoch, IncarnationId> writer_of;
  for (const RegionWrite& it : evidence.region_writes) {
    for (const auto& [vm, state] : it.state.vms) {
      if (state.pool.empty()) {
        found.push_back(Text(vm, " is in no pool at ", AtText(it.at)));
      }
    }
    if (previous) {
      for (const auto& [vm, state] : previous->state.vms) {
        if (!it.state.vms.contains(vm)) {
          found.push_back(Text(vm, " is dropped at ", AtText(it.at)));
        }
      }
      if (it.state.epoch < previous->state.epoch) {
        found.push_back(Text("epoch ", it.state.epoch, " was written over ",
                             previous->state.epoch, " at ", AtText(it.at)));
      }
      if (it.state.config_revision < previous->state.config_revision) {
        found.push_back(Text("configuration revision ",
                             it.state.config_revision, " was written over ",
                             previous->state.config_revision, " at ",
                             AtText(it.at)));
      }
    }
    if (!sequences.insert({it.state.writer, it.state.sequence}).second) {
      found.push_back(Text("write ", it.state.sequence, " of ", it.state.writer,
                           " took effect again at ", AtText(it.at)));
    }
    const auto [holder, is_new] =
        writer_of.emplace(it.state.epoch, it.state.writer);
    if (!is_new && holder->second != it.state.writer) {
      found.push_back(Text("epoch ", it.state.epoch, " was written by ",
                           holder->second, " and by ", it.state.writer, " at ",
                           AtText(it.at)));
    }
    previous = &it;
  }
}

void OnePoolChecker::CheckAuthority(const Evidence& evidence,
                                    Violations& found) const {
  for (const AuthorityUse& it : evidence.authority_uses) {
    const auto lease = evidence.leases.find(it.lease);
    if (lease == evidence.leases.end()) {
      found.push_back(Text(it.process, " acted on unknown lease ", it.lease));
    } else if (lease->second.ended && *lease->second.ended < it.at) {
      found.push_back(Text(it.process, " acted at ", AtText(it.at), " on ",
                           it.lease, ", which ended at ",
                           AtText(*lease->second.ended)));
    }
  }
}

void OnePoolChecker::CheckRuns(const Evidence& evidence,
                               Violations& found) const {
  for (std::size_t i = 0; i < evidence.runs.size(); ++i) {
    const testing::EndpointRun& run = evidence.runs[i];
    if (run.request.pool.empty()) continue;
    for (std::size_t j = i + 1; j < evidence.runs.size(); ++j) {
      const testing::EndpointRun& other = evidence.runs[j];
      if (other.vm == run.vm && !other.request.pool.empty() &&
          other.request.pool != run.request.pool &&
          Overlap(run, other, evidence.end)) {
        found.push_back(Text(run.vm, " runs ", run.request.id, " of pool ",
                             run.request.pool, " and ", other.request.id,
                             " of pool ", other.request.pool, " at ",
                             AtText(other.start)));
      }
    }
    if (evidence.region_writes.empty()) continue;
    bool is_assigned = false;
    for (std::size_t w = 0; w < evidence.region_writes.size(); ++w) {
      const RegionWrite& write = evidence.region_writes[w];
      const Instant until = w + 1 < evidence.region_writes.size()
                                ? evidence.region_writes[w + 1].at
                                : evidence.end;
      if (write.at > run.start || until + kSpread < run.start) continue;
      const auto vm = write.state.vms.find(run.vm);
      if (vm != write.state.vms.end() && vm->second.pool == run.request.pool) {
        is_assigned = true;
      }
    }
    if (!is_assigned) {
      found.push_back(Text(run.vm, " began ", run.request.id, " of pool ",
                           run.request.pool, " at ", AtText(run.start),
                           " although it is not assigned to it"));
    }
  }
}

}  // namespace pomelomill::faults
