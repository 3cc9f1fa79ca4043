#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "pomelomill/base/result.h"
#include "pomelomill/peer/peer_messages.h"
#include "pomelomill/peer/peer_options.h"

namespace pomelomill {

/// What the control thread does with incoming calls. Each handler runs there
/// and answers through its callback, at once or later and from any thread; a
/// callback that is dropped refuses the call. Errors reach the caller as
/// kDeadIncarnation, kOverloaded, kBadMessage or, for all others, kRefused.
struct PeerHandlers {
  std::function<void(ExchangeMessage, PeerCallback<ExchangeMessage>)> exchange;
  std::function<void(FetchStateRequest, PeerCallback<FetchStateReply>)>
      fetch_state;
  std::function<void(RunKeyedRequest, PeerCallback<RunKeyedReply>)> run_keyed;
  std::function<void(LendSlotsRequest, PeerCallback<LendSlotsReply>)>
      lend_slots;
  std::function<void(ReturnSlotsRequest, PeerCallback<ReturnSlotsReply>)>
      return_slots;
};

/// The gRPC server of one entry.
class PeerServer {
 public:
  PeerServer(Poster post, PeerHandlers handlers, PeerOptions options = {});
  /// Refuses all calls in progress and stops.
  ~PeerServer();

  /// Listens on "ip:port"; port 0 takes a free one. kUnavailable when the
  /// address cannot be used.
  Status Start(const std::string& address);
  void Stop();

  /// The port in use; 0 before Start.
  int port() const;
  PeerTraffic traffic() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelomill
