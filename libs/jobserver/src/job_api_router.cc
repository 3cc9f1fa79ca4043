#include "pomelomill/jobserver/job_api_router.h"

#include <algorithm>

namespace pomelomill {
namespace {

constexpr std::size_t kJobIdLength = 16;

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                  (c >= 'A' && c <= 'F');
         });
}

const QueueConfig* FindQueue(const FleetConfig& config, std::string_view host,
                             std::string_view path) {
  const QueueConfig* longest = nullptr;
  for (const QueueConfig& it : config.queues) {
    if (it.host != host || !path.starts_with(it.prefix)) continue;
    if (longest == nullptr || it.prefix.size() > longest->prefix.size())
      longest = &it;
  }
  return longest;
}

}  // namespace

JobApiRoute RouteJobApiRequest(const FleetConfig& config,
                               std::string_view method, std::string_view host,
                               std::string_view target) {
  host = host.substr(0, host.find(':'));
  const std::string_view path = target.substr(0, target.find('?'));
  JobApiRoute route;
  route.request.queue = FindQueue(config, host, path);
  if (route.request.queue == nullptr) {
    route.status = 404;
    return route;
  }
  const std::string_view rest = path.substr(route.request.queue->prefix.size());
  using Kind = JobApiRequest::Kind;
  if (rest.empty()) {
    route.request.kind = Kind::kGetWaitingCount;
    if (method != "GET") route.status = 405;
    return route;
  }
  if (!IsJobId(rest)) {
    route.status = method == "POST" ? 400 : 410;
    return route;
  }
  route.request.job = JobId(std::string(rest));
  if (method == "POST") {
    route.request.kind = Kind::kSubmit;
  } else if (method == "GET") {
    route.request.kind = Kind::kGetState;
  } else if (method == "DELETE") {
    route.request.kind = Kind::kCancel;
  } else {
    route.status = 405;
  }
  return route;
}

}  // namespace pomelomill
