#include "pomelomill/dispatch/job_spec.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "pomelomill/base/json_number.h"
#include "pomelomill/base/json_text.h"
#include "pomelomill/dispatch/dispatch_error.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

template <typename T>
void Put(Json& json, const char* name, const T& value) {
  if (value != T{}) json[name] = value;
}

void PutTime(Json& json, const char* name, Duration value) {
  Put(json, name, ToMillis(value));
}

void Set(std::string& target, const Json& json) { json.get_to(target); }
void Set(bool& target, const Json& json) { json.get_to(target); }
void Set(std::uint32_t& target, const Json& json) {
  target = JsonInteger<std::uint32_t>(json);
}
/// A time in milliseconds.
void Set(std::int64_t& target, const Json& json) { target = JsonMillis(json); }
void Set(std::vector<std::uint32_t>& target, const Json& json) {
  target = JsonIntegers<std::uint32_t>(json);
}

/// Leaves `target` unchanged when the field is absent.
template <typename T>
void Get(const Json& json, const char* name, T& target) {
  if (const auto it = json.find(name); it != json.end()) Set(target, *it);
}

void GetTime(const Json& json, const char* name, Duration& target) {
  std::int64_t ms = 0;
  Get(json, name, ms);
  target = std::chrono::milliseconds(ms);
}

Json ToJson(const StepSpec& step) {
  Json json = Json::object();
  Put(json, "tasks", step.tasks);
  Put(json, "cpu", step.size.cpu_millis);
  Put(json, "mem", step.size.memory_mb);
  Put(json, "gpu", step.size.gpus);
  PutTime(json, "est", step.estimate);
  Put(json, "after", step.after);
  Put(json, "ckpt", step.has_checkpoints);
  Put(json, "gang", step.is_gang);
  Put(json, "rack1", step.prefers_one_rack);
  Put(json, "copies", step.allows_copies);
  Put(json, "long", step.is_long_running);
  Put(json, "fill", step.fills_idle_cores);
  Put(json, "label", step.required_label);
  Put(json, "rack", step.data_rack);
  Put(json, "max", step.max_per_worker);
  Put(json, "image", step.image);
  PutTime(json, "target", step.latency_target);
  Put(json, "unavail", step.max_unavailable);
  return json;
}

StepSpec StepFromJson(const Json& json) {
  StepSpec step;
  step.tasks = 0;
  Get(json, "tasks", step.tasks);
  Get(json, "cpu", step.size.cpu_millis);
  Get(json, "mem", step.size.memory_mb);
  Get(json, "gpu", step.size.gpus);
  GetTime(json, "est", step.estimate);
  Get(json, "after", step.after);
  Get(json, "ckpt", step.has_checkpoints);
  Get(json, "gang", step.is_gang);
  Get(json, "rack1", step.prefers_one_rack);
  Get(json, "copies", step.allows_copies);
  Get(json, "long", step.is_long_running);
  Get(json, "fill", step.fills_idle_cores);
  Get(json, "label", step.required_label);
  Get(json, "rack", step.data_rack);
  Get(json, "max", step.max_per_worker);
  Get(json, "image", step.image);
  GetTime(json, "target", step.latency_target);
  Get(json, "unavail", step.max_unavailable);
  return step;
}

/// Parses the number before the next dot or the end of `text`, and removes the
/// number and the dot from `text`. Returns false when there is no number.
bool TakeNumber(std::string_view& text, std::uint32_t& target) {
  const auto* const end = text.data() + text.size();
  const auto [next, ec] = std::from_chars(text.data(), end, target);
  if (ec != std::errc() || next == text.data()) return false;
  if (next != end && *next != '.') return false;
  const auto taken = static_cast<std::size_t>(next - text.data());
  text.remove_prefix(next == end ? taken : taken + 1);
  return true;
}

}  // namespace

std::string ToText(const TaskKey& key) {
  return key.job.value() + '.' + std::to_string(key.occurrence) + '.' +
         std::to_string(key.step) + '.' + std::to_string(key.index);
}

Result<TaskKey> ParseTaskKey(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos || dot == 0)
    return Unexpected(DispatchError::kMalformedRecord);
  TaskKey key;
  key.job = JobId(std::string(text.substr(0, dot)));
  text.remove_prefix(dot + 1);
  if (!TakeNumber(text, key.occurrence) || !TakeNumber(text, key.step) ||
      !TakeNumber(text, key.index) || !text.empty())
    return Unexpected(DispatchError::kMalformedRecord);
  return key;
}

Status CheckJob(const JobSpec& spec) {
  const auto invalid = Unexpected(DispatchError::kInvalidJob);
  if (spec.steps.empty() || spec.steps.size() > kMaxStepsOfJob) return invalid;
  if (spec.occurrences > kMaxOccurrencesOfJob || spec.interval < Duration(0))
    return invalid;
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    tasks += step.tasks;
    if (step.tasks == 0 || tasks > kMaxTasksOfJob) return invalid;
    for (const std::uint32_t it : step.after) {
      if (it >= i) return invalid;
    }
  }
  return {};
}

std::string EncodeJobSpec(const JobSpec& spec) {
  Json json = Json::object();
  json["payload"] = spec.payload;
  json["steps"] = Json::array();
  for (const StepSpec& it : spec.steps) json["steps"].push_back(ToJson(it));
  Put(json, "times", spec.occurrences);
  Put(json, "due", spec.first_due_ms);
  PutTime(json, "every", spec.interval);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobSpec> DecodeJobSpec(std::string_view text) {
  if (!IsJsonWithinDepth(text))
    return Unexpected(DispatchError::kMalformedRecord);
  try {
    const Json json = Json::parse(text);
    JobSpec spec;
    json.at("payload").get_to(spec.payload);
    for (const Json& it : json.at("steps"))
      spec.steps.push_back(StepFromJson(it));
    Get(json, "times", spec.occurrences);
    Get(json, "due", spec.first_due_ms);
    GetTime(json, "every", spec.interval);
    if (!CheckJob(spec)) return Unexpected(DispatchError::kMalformedRecord);
    return spec;
  } catch (const Json::exception&) {
    return Unexpected(DispatchError::kMalformedRecord);
  }
}

}  // namespace pomelomill
