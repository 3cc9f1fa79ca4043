#include "caller_access.h"

#include "pomelomill/http/http_message.h"

namespace pomelomill {
namespace {

constexpr std::string_view kScheme = "Bearer";

/// Returns the key of a header value; empty when there is none.
std::string_view ParseKey(std::string_view authorization) {
  const auto trim = [&authorization] {
    const std::size_t begin = authorization.find_first_not_of(" \t");
    authorization.remove_prefix(
        begin == std::string_view::npos ? authorization.size() : begin);
  };
  trim();
  // Schemes do not depend on case, as header names.
  const std::size_t end = authorization.find_first_of(" \t");
  if (end == std::string_view::npos ||
      !IsSameHeaderName(authorization.substr(0, end), kScheme))
    return {};
  authorization.remove_prefix(end);
  trim();
  return authorization.substr(0, authorization.find_last_not_of(" \t") + 1);
}

}  // namespace

std::optional<WorkspaceId> FindCaller(const FleetConfig& config,
                                      const QueueConfig& queue,
                                      std::string_view authorization) {
  if (!config.requires_keys || queue.is_public) return WorkspaceId();
  const auto it = config.api_keys.find(ParseKey(authorization));
  if (it == config.api_keys.end()) return std::nullopt;
  return it->second;
}

}  // namespace pomelomill
