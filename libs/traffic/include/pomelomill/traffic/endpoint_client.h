#pragma once

#include <functional>

#include "pomelomill/http.h"
#include "pomelomill/http/http_listener.h"
#include "pomelomill/routing.h"

namespace pomelomill {

/// Sends the router's attempts and probes to endpoints (endpoint protocol,
/// section 4 of the design page).
class EndpointClient {
 public:
  /// `response` is complete when the result is kAnswered or
  /// kAnsweredWithError.
  using AttemptCallback =
      std::function<void(AttemptFinished, HttpResponse response)>;

  explicit EndpointClient(HttpClient& client) : client_(client) {}

  /// Sends the caller's request to the attempt's endpoint. The callback runs
  /// once, after Send() has returned.
  void Send(const SendAttempt& attempt, const IncomingRequest& request,
            Instant now, AttemptCallback callback);
  /// Sends GET /healthz. The callback runs once, after Probe() has returned; an
  /// endpoint without a valid response is reported as not healthy.
  void Probe(const ProbeEndpoint& probe,
             std::function<void(ProbeFinished)> callback);

 private:
  HttpClient& client_;
};

}  // namespace pomelomill
