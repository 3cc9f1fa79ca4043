#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pomelomill/traffic.h"

namespace pomelomill {

/// A caller's TCP connection that sends and receives raw bytes.
class RawCaller {
 public:
  RawCaller(asio::io_context& context, std::uint16_t port) : socket_(context) {
    socket_.connect({asio::ip::address_v4::loopback(), port});
    Read();
  }

  void Write(const std::string& text) {
    std::error_code ec;
    asio::write(socket_, asio::buffer(text), ec);
  }
  void Close() {
    std::error_code ec;
    socket_.close(ec);
  }

  const std::string& received() const { return received_; }
  bool is_closed() const { return is_closed_; }
  /// Number of status lines received.
  int responses() const {
    int n = 0;
    for (std::size_t at = received_.find("HTTP/1.1 "); at != std::string::npos;
         at = received_.find("HTTP/1.1 ", at + 1)) {
      ++n;
    }
    return n;
  }
  bool has(const std::string& text) const {
    return received_.find(text) != std::string::npos;
  }

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(buf_),
                            [this](std::error_code ec, std::size_t n) {
                              if (ec == asio::error::operation_aborted) return;
                              received_.append(buf_.data(), n);
                              if (ec) {
                                is_closed_ = true;
                                return;
                              }
                              Read();
                            });
  }

  asio::ip::tcp::socket socket_;
  std::array<char, 4096> buf_{};
  std::string received_;
  bool is_closed_ = false;
};

/// An entry with the endpoint "vm-0" in pool "main" and the queues
/// "proof/layout" (repeatable) and "proof/order" (not repeatable), all on one
/// Asio context. The endpoint responds with "echo TARGET" unless a test
/// replaces `handler`.
class TrafficFixture {
 public:
  using Handler = std::function<void(IncomingRequest, RespondHook)>;

  explicit TrafficFixture(const std::function<void(TrafficOptions&)>& change =
                              [](TrafficOptions&) {})
      : timers(context),
        endpoint(context, {},
                 {[this](IncomingRequest request, RespondHook respond) {
                    endpoint_requests.push_back(request);
                    handler(std::move(request), std::move(respond));
                  },
                  {}}) {
    handler = [](const IncomingRequest& request, const RespondHook& respond) {
      OutgoingResponse response;
      response.body = "echo " + request.target;
      respond(response);
    };
    if (!endpoint.Start()) std::abort();
    options.router.entry = EntryId("a");
    options.router.incarnation = IncarnationId("a1");
    options.drain_delay = std::chrono::milliseconds(50);
    options.report_interval = std::chrono::milliseconds(10);
    change(options);
    hooks.on_report = [this](LoadReport it) { report = std::move(it); };
    hooks.on_admin = [](const IncomingRequest& request,
                        const RespondHook& respond) {
      OutgoingResponse response;
      response.body = "admin " + request.target;
      respond(response);
    };
    Restart();
  }

  /// Replaces the server by a new one with the current options and hooks.
  void Restart() {
    server = std::make_unique<TrafficServer>(context, timers, options, hooks);
    if (!server->Start()) std::abort();
    server->Post(DeclarationsChanged{MakeDeclarations()});
    SetAddress("127.0.0.1:" + std::to_string(endpoint.port()));
    server->Post(SendPermitChanged{Instant::max()});
    Run(std::chrono::milliseconds(5));
  }

  void SetAddress(const std::string& address) {
    auto state = std::make_shared<RegionState>();
    VmState vm;
    vm.pool = PoolId("main");
    vm.address = address;
    vm.generation = Generation(1);
    state->vms[VmId("vm-0")] = vm;
    state->shares = {{EntryId("a"), IncarnationId("a1"), 1}};
    version = version.Next();
    server->Post(RegionStateChanged{state, version});
    Run(std::chrono::milliseconds(5));
  }

  /// Runs the context until the condition holds; returns false when it does not
  /// within 5 s.
  bool RunUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 2500; ++i) {
      if (condition()) return true;
      Run(std::chrono::milliseconds(2));
    }
    return condition();
  }

  void Run(Duration time) {
    context.restart();
    context.run_for(time);
  }

  static std::shared_ptr<const Declarations> MakeDeclarations() {
    auto it = std::make_shared<Declarations>();
    PoolDeclaration pool;
    pool.id = PoolId("main");
    it->pools[pool.id] = pool;
    it->services[ServiceId("proof")] = {
        .id = ServiceId("proof"), .pool = pool.id, .title = "proof"};
    for (const char* name : {"proof/layout", "proof/order"}) {
      QueueDeclaration queue;
      queue.id = QueueId(name);
      queue.service = ServiceId("proof");
      queue.is_repeatable = queue.id == QueueId("proof/layout");
      queue.service_time = std::chrono::milliseconds(20);
      it->queues[queue.id] = queue;
    }
    return it;
  }

  asio::io_context context;
  AsioTimerService timers;
  HttpListener endpoint;
  Handler handler;
  TrafficOptions options;
  TrafficHooks hooks;
  std::vector<IncomingRequest> endpoint_requests;
  std::unique_ptr<TrafficServer> server;
  LoadReport report;
  Version version;
};

}  // namespace pomelomill
