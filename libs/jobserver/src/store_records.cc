#include "store_records.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "pomelomill/base/json_number.h"
#include "pomelomill/base/json_text.h"
#include "pomelomill/dispatch/dispatch_error.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

/// Parses `text` and fills in a record by `read`; deep nesting and a JSON
/// exception become kMalformedRecord.
template <typename T, typename Read>
Result<T> Decode(const std::string& text, Read read) {
  if (!IsJsonWithinDepth(text))
    return Unexpected(DispatchError::kMalformedRecord);
  try {
    T record;
    read(Json::parse(text), record);
    return record;
  } catch (const Json::exception&) {
    return Unexpected(DispatchError::kMalformedRecord);
  }
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string GetString(const Json& json, const char* name) {
  return json.at(name).get<std::string>();
}

/// A text, since these numbers may have 64 bits and a JSON number is exact only
/// to 53.
std::uint64_t GetNumberText(const Json& json, const char* name) {
  const std::string text = GetString(json, name);
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || parsed != end) ThrowOutOfRange(json);
  return number;
}

/// More work than any pool has; sums of some of it do not overflow.
constexpr std::uint64_t kMaxCoreMs = 1'000'000'000'000'000'000;

std::uint64_t GetCoreMs(const Json& json) {
  const auto core_ms = JsonInteger<std::uint64_t>(json);
  if (core_ms > kMaxCoreMs) ThrowOutOfRange(json);
  return core_ms;
}

PoolBacklog::Level LevelFromJson(const Json& json) {
  PoolBacklog::Level level;
  level.priority = JsonInteger<std::uint32_t>(json.at("priority"));
  const Json& core_ms = json.at("core_ms");
  if (core_ms.size() != level.core_ms.size()) ThrowOutOfRange(json);
  for (std::size_t i = 0; i < level.core_ms.size(); ++i)
    level.core_ms[i] = GetCoreMs(core_ms.at(i));
  return level;
}

Json ToJson(const QueueTerms& terms) {
  const QueuePolicy& policy = terms.policy;
  return {{"revision", std::to_string(terms.revision.value())},
          {"priority", policy.priority},
          {"attempts", policy.max_attempts},
          {"stretch", policy.stretch},
          {"latency", ToMillis(policy.target_latency)}};
}

QueueTerms TermsFromJson(const Json& json) {
  QueueTerms terms;
  terms.revision = Revision(GetNumberText(json, "revision"));
  terms.policy.priority = JsonInteger<std::uint32_t>(json.at("priority"));
  terms.policy.max_attempts = JsonInteger<std::uint32_t>(json.at("attempts"));
  json.at("stretch").get_to(terms.policy.stretch);
  terms.policy.target_latency =
      std::chrono::milliseconds(JsonMillis(json.at("latency")));
  return terms;
}

/// Whether shares of the capacity can be computed.
bool IsUsableCapacity(double capacity) {
  constexpr double kLeast = 1e-6;
  constexpr double kMost = 1e9;
  return capacity >= kLeast && capacity <= kMost;
}

}  // namespace

std::string EncodeJobLocation(const JobLocation& location) {
  return Dump(
      {{"pool", location.pool.value()}, {"queue", location.queue.value()}});
}

Result<JobLocation> DecodeJobLocation(const std::string& text) {
  return Decode<JobLocation>(text, [](const Json& json, JobLocation& location) {
    location.pool = PoolId(GetString(json, "pool"));
    location.queue = QueueId(GetString(json, "queue"));
  });
}

std::string EncodeStoredJob(const StoredJob& job) {
  Json json{{"queue", job.queue.value()}, {"spec", EncodeJobSpec(job.spec)}};
  if (job.terms) json["terms"] = ToJson(*job.terms);
  if (!job.workspace.empty()) json["workspace"] = job.workspace.value();
  return Dump(json);
}

Result<StoredJob> DecodeStoredJob(const std::string& text) {
  std::string spec_text;
  auto job = Decode<StoredJob>(text, [&](const Json& json, StoredJob& record) {
    record.queue = QueueId(GetString(json, "queue"));
    spec_text = GetString(json, "spec");
    if (const auto it = json.find("terms"); it != json.end())
      record.terms = TermsFromJson(*it);
    if (json.contains("workspace"))
      record.workspace = WorkspaceId(GetString(json, "workspace"));
  });
  if (!job) return job;
  auto spec = DecodeJobSpec(spec_text);
  if (!spec) return Unexpected(spec.error());
  job->spec = *std::move(spec);
  return job;
}

AddedJob ToAddedJob(const JobId& id, StoredJob job) {
  return {.id = id,
          .queue = std::move(job.queue),
          .spec = std::make_shared<const JobSpec>(std::move(job.spec)),
          .workspace = std::move(job.workspace),
          .terms = job.terms};
}

std::string EncodeMember(const MemberRecord& member) {
  return Dump({{"peer", member.peer_address},
               {"zone", member.zone.value()},
               {"incarnation", member.incarnation.value()},
               {"cpu", member.capacity.cpu_cores},
               {"memory_mb", member.capacity.memory_mb},
               {"link_mbps", member.capacity.link_mbps}});
}

Result<MemberRecord> DecodeMember(const std::string& text) {
  return Decode<MemberRecord>(text, [](const Json& json, MemberRecord& it) {
    it.peer_address = GetString(json, "peer");
    it.zone = ZoneId(GetString(json, "zone"));
    it.incarnation = IncarnationId(GetString(json, "incarnation"));
    const EntryCapacity defaults;
    it.capacity.cpu_cores = json.value("cpu", defaults.cpu_cores);
    it.capacity.memory_mb = json.value("memory_mb", defaults.memory_mb);
    it.capacity.link_mbps = json.value("link_mbps", defaults.link_mbps);
    const bool is_usable = IsUsableCapacity(it.capacity.cpu_cores) &&
                           IsUsableCapacity(it.capacity.memory_mb) &&
                           IsUsableCapacity(it.capacity.link_mbps);
    if (!is_usable) it.capacity = defaults;
  });
}

std::string EncodeOwner(const OwnerRecord& owner) {
  return Dump({{"entry", owner.entry.value()},
               {"incarnation", owner.incarnation.value()}});
}

Result<OwnerRecord> DecodeOwner(const std::string& text) {
  return Decode<OwnerRecord>(text, [](const Json& json, OwnerRecord& it) {
    it.entry = EntryId(GetString(json, "entry"));
    it.incarnation = IncarnationId(GetString(json, "incarnation"));
  });
}

std::string EncodeBacklog(const BacklogRecord& record) {
  const PoolBacklog& backlog = record.backlog;
  Json levels = Json::array();
  for (const auto& it : backlog.levels)
    levels.push_back({{"priority", it.priority}, {"core_ms", it.core_ms}});
  Json run_times = Json::object();
  for (const auto& [queue, mean] : backlog.run_times)
    run_times[queue.value()] = ToMillis(mean);
  return Dump({{"token", std::to_string(record.token.value())},
               {"cpu_millis", backlog.cpu_millis},
               {"running", backlog.running_core_ms},
               {"urgent", backlog.urgent_core_ms},
               {"levels", levels},
               {"run_ms", run_times}});
}

Result<BacklogRecord> DecodeBacklog(const std::string& text) {
  return Decode<BacklogRecord>(text, [](const Json& json, BacklogRecord& it) {
    it.token = FencingToken(GetNumberText(json, "token"));
    PoolBacklog& backlog = it.backlog;
    backlog.cpu_millis = GetCoreMs(json.at("cpu_millis"));
    if (backlog.cpu_millis == 0) ThrowOutOfRange(json);
    backlog.running_core_ms = GetCoreMs(json.at("running"));
    backlog.urgent_core_ms = GetCoreMs(json.at("urgent"));
    const Json& levels = json.at("levels");
    if (levels.size() > kMaxBacklogLevels) ThrowOutOfRange(json);
    for (const Json& level : levels)
      backlog.levels.push_back(LevelFromJson(level));
    for (const auto& [queue, mean] : json.at("run_ms").items()) {
      const std::int64_t ms = JsonMillis(mean);
      if (ms < 0) ThrowOutOfRange(json);
      backlog.run_times[QueueId(queue)] = std::chrono::milliseconds(ms);
    }
  });
}

std::string EncodeMaintainedVms(const std::set<VmId>& vms) {
  Json json = Json::array();
  for (const VmId& it : vms) json.push_back(it.value());
  return Dump(json);
}

Result<std::set<VmId>> DecodeMaintainedVms(const std::string& text) {
  return Decode<std::set<VmId>>(text, [](const Json& json, auto& vms) {
    for (const Json& it : json) vms.insert(VmId(it.get<std::string>()));
  });
}

std::string EncodeLoad(const DispatchLoad& load) {
  Json idle = Json::array();
  for (const WorkerId& it : load.idle) idle.push_back(it.value());
  Json light = Json::object();
  for (const LightlyLoadedWorker& it : load.lightly_loaded)
    light[it.id.value()] = it.used_cpu_millis;
  return Dump({{"running", load.running_cpu_millis},
               {"waiting", load.waiting_cpu_millis},
               {"idle", idle},
               {"light", light}});
}

Result<DispatchLoad> DecodeLoad(const std::string& text) {
  return Decode<DispatchLoad>(text, [](const Json& json, DispatchLoad& it) {
    it.running_cpu_millis = JsonInteger<std::uint64_t>(json.at("running"));
    it.waiting_cpu_millis = JsonInteger<std::uint64_t>(json.at("waiting"));
    for (const Json& id : json.at("idle"))
      it.idle.emplace_back(id.get<std::string>());
    for (const auto& [id, used] : json.at("light").items())
      it.lightly_loaded.push_back(
          {WorkerId(id), JsonInteger<std::uint32_t>(used)});
  });
}

std::string EncodeShares(const ShareRecord& shares) {
  Json json = Json::object();
  for (const auto& [pool, share] : shares) {
    json[pool.value()] = {{"cpu", share.amount.cpu_millis},
                          {"memory_mb", share.amount.memory_mb},
                          {"gpus", share.amount.gpus},
                          {"waiting", share.is_waiting}};
  }
  return Dump(json);
}

Result<ShareRecord> DecodeShares(const std::string& text) {
  return Decode<ShareRecord>(text, [](const Json& json, ShareRecord& it) {
    for (const auto& [pool, share] : json.items()) {
      it[PoolId(pool)] = {
          .amount = {JsonInteger<std::uint64_t>(share.at("cpu")),
                     JsonInteger<std::uint64_t>(share.at("memory_mb")),
                     JsonInteger<std::uint64_t>(share.at("gpus"))},
          .is_waiting = share.at("waiting").get<bool>()};
    }
  });
}

std::string EncodeRoster(const RosterRecord& roster) {
  Json workers = Json::object();
  for (const auto& [id, address] : roster.workers)
    workers[id.value()] = address;
  Json json{{"owners", roster.owner_count}, {"workers", workers}};
  if (roster.owner) {
    json["entry"] = roster.owner->entry.value();
    json["incarnation"] = roster.owner->incarnation.value();
    json["earlier_gone"] = roster.are_earlier_owners_gone;
    json["released"] = roster.is_released;
  }
  if (roster.token != FencingToken()) json["token"] = roster.token.value();
  if (roster.lease_terms) {
    json["grace_ms"] = ToMillis(roster.lease_terms->order_grace);
    json["lease_ms"] = ToMillis(roster.lease_terms->task_lease);
  }
  return Dump(json);
}

Result<RosterRecord> DecodeRoster(const std::string& text) {
  return Decode<RosterRecord>(text, [](const Json& json, RosterRecord& it) {
    it.owner_count = JsonInteger<std::uint32_t>(json.at("owners"));
    for (const auto& [id, address] : json.at("workers").items())
      it.workers[WorkerId(id)] = address.get<std::string>();
    if (!json.contains("entry")) return;
    it.owner = {.entry = EntryId(GetString(json, "entry")),
                .incarnation = IncarnationId(GetString(json, "incarnation"))};
    json.at("earlier_gone").get_to(it.are_earlier_owners_gone);
    json.at("released").get_to(it.is_released);
    if (!json.contains("token")) return;
    it.token = FencingToken(JsonInteger<std::uint64_t>(json.at("token")));
    it.lease_terms = {
        .order_grace =
            std::chrono::milliseconds(JsonMillis(json.at("grace_ms"))),
        .task_lease =
            std::chrono::milliseconds(JsonMillis(json.at("lease_ms")))};
  });
}

}  // namespace pomelomill
