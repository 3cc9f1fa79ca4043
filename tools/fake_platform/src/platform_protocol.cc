#include "platform_protocol.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace pomelomill {
namespace {

using nlohmann::json;

std::string Unescaped(std::string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const std::string hex(text.substr(i + 1, 2));
      plain += static_cast<char>(std::strtol(hex.c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

struct Target {
  std::vector<std::string> path;
  std::map<std::string, std::string> query;
};

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t at = text.find(separator);
    if (const auto part = text.substr(0, at); !part.empty()) {
      parts.push_back(part);
    }
    if (at == std::string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

Target ParseTarget(std::string_view text) {
  Target target;
  const std::size_t mark = text.find('?');
  for (const auto part : Split(text.substr(0, mark), '/')) {
    target.path.push_back(Unescaped(part));
  }
  if (mark == std::string_view::npos) return target;
  for (const auto part : Split(text.substr(mark + 1), '&')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos) continue;
    target.query[Unescaped(part.substr(0, equals))] =
        Unescaped(part.substr(equals + 1));
  }
  return target;
}

json ToJson(const VmRecord& vm) {
  return {{"id", vm.id.value()},
          {"address", vm.address},
          {"zone", vm.zone.value()},
          {"rack", vm.rack.value()},
          {"state", vm.listing == VmListing::kLive ? "live" : "leaving"},
          {"generation", vm.generation.value()}};
}

json ToJson(const Resources& size) {
  return {{"cores", size.cores},
          {"memory_mb", size.memory_mb},
          {"accelerators", size.accelerators}};
}

json ToJson(const WorkerRecord& worker) {
  json item = ToJson(worker.capacity);
  item["id"] = worker.id.value();
  item["rack"] = worker.rack.value();
  item["zone"] = worker.zone.value();
  item["usage"] = ToJson(worker.usage);
  item["tasks"] = json::array();
  for (const TaskId& task : worker.tasks) item["tasks"].push_back(task.value());
  return item;
}

const char* NameOf(VmOperation op) {
  constexpr const char* kNames[] = {"drain", "reboot", "stop", "start"};
  return kNames[static_cast<int>(op)];
}

template <typename Op>
std::optional<Op> OpOf(const std::string& name,
                       std::initializer_list<const char*> names) {
  int i = 0;
  for (const char* candidate : names) {
    if (name == candidate) return static_cast<Op>(i);
    ++i;
  }
  return std::nullopt;
}

ProtocolReply ReplyTo(const Status& status) {
  if (status) return {202, "{}"};
  if (status.error() == PlatformError::kNotFound) return {404, "{}"};
  return {409, json({{"error", status.error().message()}}).dump()};
}

ProtocolReply Vms(FakePlatform& platform, std::string_view method,
                  const Target& target) {
  const auto& path = target.path;
  if (path.size() == 2 && method == "GET") {
    json list = json::array();
    for (const VmRecord& vm : platform.ListVms()) list.push_back(ToJson(vm));
    return {200, json({{"vms", std::move(list)}}).dump()};
  }
  if (path.size() == 3 && method == "GET") {
    const auto status = platform.GetVm(VmId(path[2]));
    if (!status) return {404, "{}"};
    json item = ToJson(status->vm);
    if (status->operation != OperationState::kNone) {
      constexpr const char* kStates[] = {"none", "running", "done", "failed"};
      const auto& effects = platform.effects();
      const auto last =
          std::find_if(effects.rbegin(), effects.rend(), [&](const auto& it) {
            return it.vm == status->vm.id && it.intent == status->intent;
          });
      item["operation"] = {
          {"intent", status->intent.value()},
          {"op", last == effects.rend() ? "" : NameOf(last->op)},
          {"state", kStates[static_cast<int>(status->operation)]}};
    }
    return {200, item.dump()};
  }
  if (path.size() == 4 && method == "POST") {
    const auto op =
        OpOf<VmOperation>(path[3], {"drain", "reboot", "stop", "start"});
    const auto intent = target.query.find("intent");
    const auto generation = target.query.find("generation");
    if (!op || intent == target.query.end() || intent->second.empty() ||
        generation == target.query.end()) {
      return {400, "{}"};
    }
    return ReplyTo(platform.Operate(
        VmId(path[2]), *op, IntentId(intent->second),
        Generation(std::strtoull(generation->second.c_str(), nullptr, 10))));
  }
  return {404, "{}"};
}

ProtocolReply Workers(FakePlatform& platform, std::string_view method,
                      const Target& target, std::string_view body) {
  const auto& path = target.path;
  if (path.size() == 2 && method == "GET") {
    json list = json::array();
    for (const WorkerRecord& worker : platform.ListWorkers()) {
      list.push_back(ToJson(worker));
    }
    return {200, json({{"workers", std::move(list)}}).dump()};
  }
  if (method != "POST" || path.size() < 4 || path[3] != "tasks") {
    return {404, "{}"};
  }
  if (path.size() == 4) {
    const json task = json::parse(body, nullptr, /*allow_exceptions=*/false);
    const auto number = [&](const char* key) {
      const auto it = task.find(key);
      return it != task.end() && it->is_number() ? it->get<double>() : 0.0;
    };
    if (!task.is_object() || !task.contains("task") ||
        !task["task"].is_string()) {
      return {400, "{}"};
    }
    const auto millis = [&](const char* key) {
      return std::chrono::milliseconds(static_cast<std::int64_t>(number(key)));
    };
    return ReplyTo(platform.StartTask(
        WorkerId(path[2]), {.task = TaskId(task["task"].get<std::string>()),
                            .size = {.cores = number("cores"),
                                     .memory_mb = number("memory_mb"),
                                     .accelerators = number("accelerators")},
                            .lease = millis("lease_ms"),
                            .run_time = millis("run_ms")}));
  }
  const auto op = path.size() == 6
                      ? OpOf<TaskOperation>(path[5], {"renew", "checkpoint",
                                                      "throttle", "stop"})
                      : std::nullopt;
  if (!op) return {404, "{}"};
  return ReplyTo(platform.OperateTask(WorkerId(path[2]), TaskId(path[4]), *op));
}

ProtocolReply Admin(FakePlatform& platform, std::string_view method,
                    const Target& target) {
  const auto& path = target.path;
  if (method == "GET" && path.size() == 3 && path[2] == "effects") {
    json list = json::array();
    for (const auto& effect : platform.effects()) {
      list.push_back({{"vm", effect.vm.value()},
                      {"op", NameOf(effect.op)},
                      {"intent", effect.intent.value()}});
    }
    return {200, json({{"effects", std::move(list)}}).dump()};
  }
  if (method != "POST" || path.size() != 4) return {404, "{}"};
  const std::string& kind = path[2];
  const std::string& id = path[3];
  for (const auto& [name, value] : target.query) {
    const bool is_set = value == "1";
    if (kind == "vms" && name == "returns") {
      return ReplyTo(platform.SetReturns(VmId(id), is_set));
    }
    if (kind == "vms" && name == "listed") {
      return ReplyTo(platform.SetListed(VmId(id), is_set));
    }
    if (kind == "workers" && name == "fails") {
      return ReplyTo(platform.SetWorkerFails(WorkerId(id), is_set));
    }
    if (name != "lost" || (kind != "racks" && kind != "zones")) continue;
    std::size_t count = 0;
    if (kind == "racks") {
      count = is_set ? platform.LoseRack(RackId(id))
                     : platform.RestoreRack(RackId(id));
    } else {
      count = is_set ? platform.LoseZone(ZoneId(id))
                     : platform.RestoreZone(ZoneId(id));
    }
    return {200, json({{"vms", count}}).dump()};
  }
  return {400, "{}"};
}

std::optional<std::string> Text(const json& item, const char* key) {
  const auto it = item.find(key);
  if (it == item.end() || !it->is_string()) return std::nullopt;
  return it->get<std::string>();
}

}  // namespace

ProtocolReply Answer(FakePlatform& platform, std::string_view method,
                     std::string_view target, std::string_view body) {
  const Target parsed = ParseTarget(target);
  if (parsed.path.size() < 2) return {404, "{}"};
  if (parsed.path[0] == "-" && parsed.path[1] == "admin") {
    return Admin(platform, method, parsed);
  }
  if (parsed.path[0] != "v1") return {404, "{}"};
  if (parsed.path[1] == "vms") return Vms(platform, method, parsed);
  if (parsed.path[1] == "workers") {
    return Workers(platform, method, parsed, body);
  }
  return {404, "{}"};
}

bool LoadFleet(std::string_view text, FakePlatform* platform) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!root.is_object()) return false;
  const auto number = [](const json& item, const char* key, double otherwise) {
    const auto it = item.find(key);
    return it != item.end() && it->is_number() ? it->get<double>() : otherwise;
  };
  for (const json& item : root.value("vms", json::array())) {
    const auto id = Text(item, "id");
    const auto address = Text(item, "address");
    const auto zone = Text(item, "zone");
    const auto rack = Text(item, "rack");
    if (!id || !address || !zone || !rack) return false;
    platform->AddVm({.id = VmId(*id),
                     .address = *address,
                     .zone = ZoneId(*zone),
                     .rack = RackId(*rack),
                     .listing = VmListing::kLive,
                     .generation = Generation(static_cast<std::uint64_t>(
                         number(item, "generation", 1)))});
  }
  for (const json& item : root.value("workers", json::array())) {
    const auto id = Text(item, "id");
    const auto zone = Text(item, "zone");
    const auto rack = Text(item, "rack");
    if (!id || !zone || !rack) return false;
    platform->AddWorker(
        {.id = WorkerId(*id),
         .rack = RackId(*rack),
         .zone = ZoneId(*zone),
         .capacity = {.cores = number(item, "cores", 32),
                      .memory_mb = number(item, "memory_mb", 65536),
                      .accelerators = number(item, "accelerators", 0)},
         .usage = {},
         .tasks = {}});
  }
  return true;
}

}  // namespace pomelomill
