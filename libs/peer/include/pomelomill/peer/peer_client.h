#pragma once

#include <memory>
#include <string>

#include "pomelomill/base/time.h"
#include "pomelomill/peer/peer_messages.h"
#include "pomelomill/peer/peer_options.h"

namespace pomelomill {

/// Calls on other entries. Each call runs its callback exactly once, on the
/// control thread, at the latest when `timeout` has passed. gRPC does not
/// retry: a call that fails may have reached the peer, unless the error is
/// kOverloaded, kRefused, kBadMessage or kDeadIncarnation.
class PeerClient {
 public:
  explicit PeerClient(Poster post, PeerOptions options = {});
  /// Cancels all calls without running their callbacks.
  ~PeerClient();

  void Exchange(const std::string& address, const ExchangeMessage& message,
                Duration timeout, PeerCallback<ExchangeMessage> done);
  void FetchState(const std::string& address, const FetchStateRequest& request,
                  Duration timeout, PeerCallback<FetchStateReply> done);
  void RunKeyed(const std::string& address, const RunKeyedRequest& request,
                Duration timeout, PeerCallback<RunKeyedReply> done);
  void LendSlots(const std::string& address, const LendSlotsRequest& request,
                 Duration timeout, PeerCallback<LendSlotsReply> done);
  void ReturnSlots(const std::string& address,
                   const ReturnSlotsRequest& request, Duration timeout,
                   PeerCallback<ReturnSlotsReply> done);

  PeerTraffic traffic() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelomill
