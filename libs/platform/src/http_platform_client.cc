#include "pomelomill/platform/http_platform_client.h"

#include <utility>

#include "platform_json.h"
#include "pomelomill/http.h"
#include "pomelomill/platform/platform_error.h"

namespace pomelomill {
namespace {

/// Percent-encoding of one path segment or query value (RFC 3986, 2.3).
std::string Escaped(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const bool is_plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                          (c >= '0' && c <= '9') || c == '-' || c == '.' ||
                          c == '_' || c == '~';
    if (is_plain) {
      escaped += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      escaped += '%';
      escaped += kHex[byte >> 4U];
      escaped += kHex[byte & 15U];
    }
  }
  return escaped;
}

const char* NameOf(VmOperation op) {
  switch (op) {
    case VmOperation::kDrain:
      return "drain";
    case VmOperation::kReboot:
      return "reboot";
    case VmOperation::kStop:
      return "stop";
    case VmOperation::kStart:
      return "start";
  }
  return "";
}

const char* NameOf(TaskOperation op) {
  switch (op) {
    case TaskOperation::kRenew:
      return "renew";
    case TaskOperation::kCheckpoint:
      return "checkpoint";
    case TaskOperation::kThrottle:
      return "throttle";
    case TaskOperation::kStop:
      return "stop";
  }
  return "";
}

/// Runs a read and parses the body of its response.
template <typename T>
void Read(HttpClient& http, std::string url, Duration timeout,
          Result<T> (*parse)(std::string_view), PlatformCallback<T> done) {
  HttpRequest request;
  request.url = std::move(url);
  request.timeout = timeout;
  http.Send(std::move(request),
            [parse, done = std::move(done)](const HttpResult& result) {
              const int status = result.response.status;
              if (!result.error && status == 200) {
                done(parse(result.response.body));
              } else if (!result.error && status == 404) {
                done(Unexpected(PlatformError::kNotFound));
              } else if (result.error || status >= 500 || status == 429) {
                done(Unexpected(PlatformError::kUnavailable));
              } else {
                done(Unexpected(PlatformError::kBadResponse));
              }
            });
}

/// Runs a call that changes something; `refusal` is the meaning of 409.
void Change(HttpClient& http, std::string url, std::string body,
            Duration timeout, PlatformError refusal,
            std::function<void(Status)> done) {
  HttpRequest request;
  request.method = "POST";
  request.url = std::move(url);
  request.body = std::move(body);
  request.timeout = timeout;
  if (!request.body.empty()) {
    request.headers.push_back({"Content-Type", "application/json"});
  }
  // A reused connection may make libcurl send the call twice; a task must
  // not be started twice, and the rest is rare enough to be treated alike.
  request.use_fresh_connection = true;
  http.Send(std::move(request), [refusal, done = std::move(done)](
                                    const HttpResult& result) {
    if (result.error) {
      done(Unexpected(result.may_have_been_sent ? PlatformError::kOutcomeUnknown
                                                : PlatformError::kUnavailable));
      return;
    }
    switch (result.response.status) {
      case 200:
      case 202:
        done({});
        return;
      case 404:
        done(Unexpected(PlatformError::kNotFound));
        return;
      case 409:
        done(Unexpected(refusal));
        return;
      case 429:
      case 503:
        done(Unexpected(PlatformError::kUnavailable));
        return;
      case 400:
        done(Unexpected(PlatformError::kRefused));
        return;
      default:
        done(Unexpected(PlatformError::kOutcomeUnknown));
    }
  });
}

}  // namespace

PlatformClient MakeHttpPlatformClient(HttpClient& http,
                                      const std::string& base_url) {
  PlatformClient client;
  client.list_vms = [&http, base_url](Duration timeout, auto done) {
    Read<std::vector<VmRecord>>(http, base_url + "/v1/vms", timeout,
                                ParseVmList, std::move(done));
  };
  client.vm_status = [&http, base_url](const VmId& vm, Duration timeout,
                                       auto done) {
    Read<VmStatus>(http, base_url + "/v1/vms/" + Escaped(vm.value()), timeout,
                   ParseVmStatus, std::move(done));
  };
  client.operate_vm =
      [&http, base_url](const VmId& vm, VmOperation op, const IntentId& intent,
                        Generation generation, Duration timeout, auto done) {
        Change(http,
               base_url + "/v1/vms/" + Escaped(vm.value()) + "/" + NameOf(op) +
                   "?intent=" + Escaped(intent.value()) +
                   "&generation=" + std::to_string(generation.value()),
               "", timeout, PlatformError::kWrongGeneration, std::move(done));
      };
  client.list_workers = [&http, base_url](Duration timeout, auto done) {
    Read<std::vector<WorkerRecord>>(http, base_url + "/v1/workers", timeout,
                                    ParseWorkerList, std::move(done));
  };
  client.start_task = [&http, base_url](const WorkerId& worker,
                                        const TaskStart& task, Duration timeout,
                                        auto done) {
    Change(http, base_url + "/v1/workers/" + Escaped(worker.value()) + "/tasks",
           TaskStartBody(task), timeout, PlatformError::kRefused,
           std::move(done));
  };
  client.operate_task = [&http, base_url](const WorkerId& worker,
                                          const TaskId& task, TaskOperation op,
                                          Duration timeout, auto done) {
    Change(http,
           base_url + "/v1/workers/" + Escaped(worker.value()) + "/tasks/" +
               Escaped(task.value()) + "/" + NameOf(op),
           "", timeout, PlatformError::kRefused, std::move(done));
  };
  return client;
}

}  // namespace pomelomill
