#include "pomelomill/traffic/endpoint_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "pomelomill/traffic/caller_protocol.h"

namespace pomelomill {
namespace {

constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxProbeBytes = 4096;

AttemptResult ClassifyResult(const HttpResult& result) {
  if (result.error) return AttemptResult::kFailed;
  if (result.response.status == 503 &&
      result.response.header("Pomelomill-Not-Processed") == "1") {
    return AttemptResult::kRefused;
  }
  return result.response.status >= 500 ? AttemptResult::kAnsweredWithError
                                       : AttemptResult::kAnswered;
}

ProbeFinished ParseProbeResult(const VmId& vm, const HttpResult& result) {
  ProbeFinished finished;
  finished.vm = vm;
  if (result.error || result.response.status != 200) return finished;
  const auto json = nlohmann::json::parse(result.response.body, nullptr, false);
  if (!json.is_object()) return finished;
  const auto draining = json.find("draining");
  const auto generation = json.find("generation");
  if (draining == json.end() || !draining->is_boolean() ||
      generation == json.end() || !generation->is_number_unsigned()) {
    return finished;
  }
  finished.is_healthy = true;
  finished.is_draining = draining->get<bool>();
  finished.generation = Generation(generation->get<std::uint64_t>());
  return finished;
}

}  // namespace

void EndpointClient::Send(const SendAttempt& attempt,
                          const IncomingRequest& request, Instant now,
                          AttemptCallback callback) {
  HttpRequest out;
  out.method = request.method;
  out.url = "http://" + attempt.address + request.target;
  out.headers = HeadersForEndpoint(request, attempt.deadline - now);
  out.body = request.body;
  out.timeout =
      std::max<Duration>(std::chrono::milliseconds(1), attempt.abort_at - now);
  out.connect_timeout = std::min<Duration>(out.connect_timeout, out.timeout);
  out.use_fresh_connection = attempt.needs_fresh_connection;
  client_.Send(std::move(out), [id = attempt.attempt,
                                done = std::move(callback)](HttpResult result) {
    AttemptFinished finished;
    finished.attempt = id;
    finished.result = ClassifyResult(result);
    finished.was_any_byte_sent = result.may_have_been_sent;
    done(finished, std::move(result.response));
  });
}

void EndpointClient::Probe(const ProbeEndpoint& probe,
                           std::function<void(ProbeFinished)> callback) {
  HttpRequest out;
  out.url = "http://" + probe.address + "/healthz";
  out.timeout = kProbeTimeout;
  out.max_response_bytes = kMaxProbeBytes;
  client_.Send(std::move(out), [vm = probe.vm, done = std::move(callback)](
                                   const HttpResult& result) {
    done(ParseProbeResult(vm, result));
  });
}

}  // namespace pomelomill
