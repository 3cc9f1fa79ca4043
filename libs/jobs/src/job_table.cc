#include "job_table.h"

#include <charconv>
#include <string_view>

namespace pomelomill {
namespace {

template <typename T>
bool ParseNumber(std::string_view text, T& n) {
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  return ec == std::errc() && end == text.data() + text.size();
}

}  // namespace

TaskId MakeTaskId(const TaskIdParts& parts) {
  return TaskId(parts.job.value() + "/" + std::to_string(parts.index) + "@" +
                std::to_string(parts.epoch) + "." +
                std::to_string(parts.attempt));
}

std::optional<TaskIdParts> ParseTaskId(const TaskId& id) {
  const std::string_view text = id.value();
  const auto dot = text.rfind('.');
  const auto at = text.rfind('@');
  const auto slash = text.rfind('/');
  if (dot == std::string_view::npos || at == std::string_view::npos ||
      slash == std::string_view::npos || !(slash < at && at < dot))
    return std::nullopt;
  TaskIdParts parts;
  parts.job = JobId(std::string(text.substr(0, slash)));
  if (!ParseNumber(text.substr(slash + 1, at - slash - 1), parts.index) ||
      !ParseNumber(text.substr(at + 1, dot - at - 1), parts.epoch) ||
      !ParseNumber(text.substr(dot + 1), parts.attempt))
    return std::nullopt;
  return parts;
}

}  // namespace pomelomill
