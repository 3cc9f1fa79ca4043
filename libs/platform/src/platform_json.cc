#include "platform_json.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "pomelomill/platform/platform_error.h"

namespace pomelomill {
namespace {

using nlohmann::json;

const json* Find(const json& object, const char* key) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(key);
  return it == object.end() ? nullptr : &*it;
}

std::optional<std::string> Text(const json& object, const char* key) {
  const json* value = Find(object, key);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return value->get<std::string>();
}

/// A missing number is 0: sizes and usage may leave out what they lack.
std::optional<double> Number(const json& object, const char* key) {
  const json* value = Find(object, key);
  if (value == nullptr) return 0.0;
  if (!value->is_number()) return std::nullopt;
  return value->get<double>();
}

std::optional<VmRecord> Vm(const json& item) {
  const auto id = Text(item, "id");
  const auto address = Text(item, "address");
  const auto zone = Text(item, "zone");
  const auto rack = Text(item, "rack");
  const auto state = Text(item, "state");
  const json* generation = Find(item, "generation");
  if (!id || id->empty() || !address || !zone || !rack || !state ||
      (*state != "live" && *state != "leaving") || generation == nullptr ||
      !generation->is_number_unsigned()) {
    return std::nullopt;
  }
  return VmRecord{
      .id = VmId(*id),
      .address = *address,
      .zone = ZoneId(*zone),
      .rack = RackId(*rack),
      .listing = *state == "live" ? VmListing::kLive : VmListing::kLeaving,
      .generation = Generation(generation->get<std::uint64_t>())};
}

std::optional<Resources> Size(const json& item) {
  const auto cores = Number(item, "cores");
  const auto memory = Number(item, "memory_mb");
  const auto accelerators = Number(item, "accelerators");
  if (!cores || !memory || !accelerators) return std::nullopt;
  return Resources{
      .cores = *cores, .memory_mb = *memory, .accelerators = *accelerators};
}

std::optional<WorkerRecord> Worker(const json& item) {
  const auto id = Text(item, "id");
  const auto rack = Text(item, "rack");
  const auto zone = Text(item, "zone");
  const auto capacity = Size(item);
  const json* usage = Find(item, "usage");
  const json* tasks = Find(item, "tasks");
  if (!id || id->empty() || !rack || !zone || !capacity || usage == nullptr ||
      !usage->is_object() || tasks == nullptr || !tasks->is_array()) {
    return std::nullopt;
  }
  const auto used = Size(*usage);
  if (!used) return std::nullopt;
  WorkerRecord worker{.id = WorkerId(*id),
                      .rack = RackId(*rack),
                      .zone = ZoneId(*zone),
                      .capacity = *capacity,
                      .usage = *used,
                      .tasks = {}};
  for (const json& task : *tasks) {
    if (!task.is_string()) return std::nullopt;
    worker.tasks.emplace_back(task.get<std::string>());
  }
  return worker;
}

template <typename T, typename Read>
Result<std::vector<T>> List(std::string_view body, const char* key, Read read) {
  const json root = json::parse(body, nullptr, /*allow_exceptions=*/false);
  const json* items = Find(root, key);
  if (items == nullptr || !items->is_array()) {
    return Unexpected(PlatformError::kBadResponse);
  }
  std::vector<T> list;
  list.reserve(items->size());
  for (const json& item : *items) {
    std::optional<T> value = read(item);
    if (!value) return Unexpected(PlatformError::kBadResponse);
    list.push_back(*std::move(value));
  }
  return list;
}

}  // namespace

Result<std::vector<VmRecord>> ParseVmList(std::string_view body) {
  return List<VmRecord>(body, "vms", Vm);
}

Result<std::vector<WorkerRecord>> ParseWorkerList(std::string_view body) {
  return List<WorkerRecord>(body, "workers", Worker);
}

Result<VmStatus> ParseVmStatus(std::string_view body) {
  const json root = json::parse(body, nullptr, /*allow_exceptions=*/false);
  const std::optional<VmRecord> vm = Vm(root);
  if (!vm) return Unexpected(PlatformError::kBadResponse);
  VmStatus status{.vm = *vm, .intent = {}, .operation = OperationState::kNone};
  const json* operation = Find(root, "operation");
  if (operation == nullptr || operation->is_null()) return status;
  const auto intent = Text(*operation, "intent");
  const auto state = Text(*operation, "state");
  if (!intent || !state) return Unexpected(PlatformError::kBadResponse);
  status.intent = IntentId(*intent);
  if (*state == "running") {
    status.operation = OperationState::kRunning;
  } else if (*state == "done") {
    status.operation = OperationState::kDone;
  } else if (*state == "failed") {
    status.operation = OperationState::kFailed;
  } else {
    return Unexpected(PlatformError::kBadResponse);
  }
  return status;
}

std::string TaskStartBody(const TaskStart& task) {
  const json body = {{"task", task.task.value()},
                     {"lease_ms", ToMillis(task.lease)},
                     {"cores", task.size.cores},
                     {"memory_mb", task.size.memory_mb},
                     {"accelerators", task.size.accelerators},
                     {"run_ms", ToMillis(task.run_time)}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace pomelomill
