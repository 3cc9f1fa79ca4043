#include "status_pages.h"

#include <map>
#include <nlohmann/json.hpp>

namespace pomelomill {
namespace {

using Json = nlohmann::json;

const char* Name(VmPhase phase) {
  switch (phase) {
    case VmPhase::kActive:
      return "active";
    case VmPhase::kDraining:
      return "draining";
    case VmPhase::kStopped:
      return "stopped";
    case VmPhase::kReturning:
      return "returning";
    case VmPhase::kLost:
      return "lost";
  }
  return "unknown";
}

const char* Name(IntentKind kind) {
  switch (kind) {
    case IntentKind::kReboot:
      return "reboot";
    case IntentKind::kMove:
      return "move";
    case IntentKind::kStop:
      return "stop";
    case IntentKind::kStart:
      return "start";
  }
  return "unknown";
}

const char* Name(IntentStep step) {
  switch (step) {
    case IntentStep::kDrain:
      return "drain";
    case IntentStep::kStop:
      return "stop";
    case IntentStep::kRestart:
      return "restart";
    case IntentStep::kVerify:
      return "verify";
    case IntentStep::kDone:
      return "done";
  }
  return "unknown";
}

const char* Name(WavePhase phase) {
  switch (phase) {
    case WavePhase::kWaiting:
      return "waiting";
    case WavePhase::kRunning:
      return "running";
    case WavePhase::kStoppedByItself:
      return "stopped";
    case WavePhase::kDone:
      return "done";
  }
  return "unknown";
}

const char* Name(PermitBasis basis) {
  switch (basis) {
    case PermitBasis::kNone:
      return "none";
    case PermitBasis::kLease:
      return "lease";
    case PermitBasis::kContacts:
      return "contacts";
  }
  return "unknown";
}

const char* Name(SharePhase phase) {
  switch (phase) {
    case SharePhase::kActive:
      return "active";
    case SharePhase::kJoining:
      return "joining";
    case SharePhase::kLeaving:
      return "leaving";
  }
  return "unknown";
}

Json EntryJson(const EntryStatus& s) {
  return {{"entry", s.entry.value()},
          {"incarnation", s.incarnation.value()},
          {"ready", s.is_ready},
          {"leaving", s.is_leaving},
          {"permit", Name(s.permit.basis)},
          {"controls_region", s.is_holder},
          {"control_holder", s.holder.value()},
          {"control_entry", s.holder_entry.value()},
          {"control_admin", s.holder_admin},
          {"config_revision", s.config_revision.value()},
          {"state_version", s.state_version.value()},
          {"members", s.members},
          {"states_refused", s.states_refused}};
}

Json PoolsJson(const RegionState& state) {
  std::map<PoolId, std::map<std::string, int>> pools;
  for (const auto& [id, vm] : state.vms) {
    ++pools[vm.pool]["vms"];
    ++pools[vm.pool][Name(vm.phase)];
  }
  Json json = Json::object();
  for (const auto& [pool, counts] : pools) json[pool.value()] = counts;
  return json;
}

Json VmsJson(const RegionState& state) {
  Json json = Json::array();
  for (const auto& [id, vm] : state.vms) {
    json.push_back({{"vm", id.value()},
                    {"pool", vm.pool.value()},
                    {"phase", Name(vm.phase)},
                    {"zone", vm.zone.value()},
                    {"rack", vm.rack.value()},
                    {"generation", vm.generation.value()}});
  }
  return json;
}

Json IntentsJson(const RegionState& state) {
  Json json = Json::array();
  for (const auto& [id, intent] : state.intents) {
    json.push_back({{"intent", id.value()},
                    {"vm", intent.vm.value()},
                    {"kind", Name(intent.kind)},
                    {"step", Name(intent.step)},
                    {"wave", intent.wave.value()}});
  }
  return json;
}

Json WavesJson(const EntryNode& node, const RegionState& state) {
  Json json = Json::array();
  for (const auto& [id, wave] : state.waves) {
    Json item = {{"wave", id.value()},       {"phase", Name(wave.phase)},
                 {"reason", wave.reason},    {"pending", wave.pending.size()},
                 {"done", wave.done.size()}, {"failed", wave.failed.size()}};
    const auto& estimates = node.controller().estimates();
    const auto estimate = estimates.find(id);
    if (estimate != estimates.end()) {
      if (estimate->second.remaining)
        item["estimate_s"] = ToSeconds(*estimate->second.remaining);
      item["concurrency"] = estimate->second.concurrency;
      if (estimate->second.meets_deadline)
        item["meets_deadline"] = *estimate->second.meets_deadline;
    }
    json.push_back(std::move(item));
  }
  return json;
}

Json SharesJson(const RegionState& state) {
  Json json = Json::array();
  for (const EntryShare& it : state.shares) {
    json.push_back({{"entry", it.entry.value()},
                    {"incarnation", it.incarnation.value()},
                    {"weight", it.weight},
                    {"phase", Name(it.phase)}});
  }
  return json;
}

Json QueuesJson(const TrafficStatus& traffic) {
  Json json = Json::object();
  for (const QueueStatus& it : traffic.queues) {
    json[it.queue.value()] = {{"waiting", it.waiting},
                              {"arrived", it.arrived},
                              {"asked", it.counts.requests},
                              {"answered", it.counts.answered_in_time},
                              {"budget_left", it.budget_left}};
  }
  return json;
}

}  // namespace

std::string StatusJson(const EntryNode& node, const TrafficStatus& traffic) {
  Json json = EntryJson(node.status());
  const ControllerStats control = node.controller().stats();
  json["moves"] = control.moves_opened;
  json["take_overs"] = control.take_overs;
  json["state_bytes"] = control.state_bytes;
  json["open_requests"] = traffic.open_requests;
  json["open_connections"] = traffic.open_connections;
  json["queues"] = QueuesJson(traffic);
  for (const auto& [pool, it] : traffic.load.pools) {
    json["pools"][pool.value()] = {{"waiting", it.queued},
                                   {"in_flight", it.in_flight},
                                   {"free_slots", it.free_slots}};
  }
  if (const auto state = node.region_state()) {
    json["region"] = {{"region", state->region.value()},
                      {"epoch", state->epoch.value()},
                      {"config_revision", state->config_revision.value()},
                      {"pools", PoolsJson(*state)},
                      {"vms", VmsJson(*state)},
                      {"intents", IntentsJson(*state)},
                      {"waves", WavesJson(node, *state)},
                      {"entries", state->shares.size()},
                      {"shares", SharesJson(*state)}};
  }
  return json.dump();
}

std::string DrainAcceptedJson(const EntryStatus& entry) {
  return Json{{"accepted", true}, {"entry", entry.entry.value()}}.dump();
}

std::string NotHolderJson(const EntryStatus& entry) {
  const std::string holder = entry.holder_entry.empty()
                                 ? entry.holder.value()
                                 : entry.holder_entry.value();
  std::string error = "this entry does not hold the control lease; ";
  if (holder.empty()) {
    error += "no holder is known";
  } else {
    error += "the holder is " + holder;
    if (!entry.holder_admin.empty()) error += " at " + entry.holder_admin;
  }
  return Json{{"error", error},
              {"control_entry", holder},
              {"control_admin", entry.holder_admin}}
      .dump();
}

std::string ExplainJson(const DecisionLog& log, const std::string& kind,
                        const std::string& name) {
  Json decisions = Json::array();
  for (const Decision& it : log.Explain(kind, name)) {
    Json facts = Json::object();
    for (const Fact& fact : it.facts) facts[fact.name] = fact.value;
    Json alternatives = Json::array();
    for (const Alternative& a : it.alternatives) {
      alternatives.push_back(
          {{"name", a.name}, {"reason", a.reason}, {"margin", a.margin}});
    }
    decisions.push_back({{"sequence", it.sequence},
                         {"at_s", ToSeconds(it.at.time_since_epoch())},
                         {"choice", it.choice},
                         {"reason", it.reason},
                         {"facts", std::move(facts)},
                         {"alternatives", std::move(alternatives)}});
  }
  return Json{{"kind", kind}, {"name", name}, {"decisions", decisions}}.dump();
}

}  // namespace pomelomill
