#include "pomelomill/peer/peer_server.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

#include "peer.grpc.pb.h"
#include "pending_call.h"
#include "pomelomill/peer/peer_error.h"
#include "status_codes.h"
#include "traffic_counter.h"
#include "wire.h"

namespace pomelomill {
namespace {

/// Everything that a call needs; outlives the server, because a handler may
/// keep its callback for longer.
struct Shared {
  Shared(Poster post_in, PeerHandlers handlers_in, std::size_t max_calls)
      : post(std::move(post_in)),
        handlers(std::move(handlers_in)),
        calls(max_calls) {}

  const Poster post;
  const PeerHandlers handlers;
  wire::PendingCalls calls;
  wire::TrafficCounter traffic;
};

template <typename Request, typename Reply>
using Handler =
    std::function<void(Request, std::function<void(Result<Reply>)>)>;

/// Converts a request, hands it to the control thread, and sends the answer.
template <typename Request, typename Reply, typename WireRequest,
          typename WireReply>
grpc::ServerUnaryReactor* Serve(
    const std::shared_ptr<Shared>& shared, grpc::CallbackServerContext* context,
    const WireRequest* wire_request, WireReply* wire_reply,
    const Handler<Request, Reply> PeerHandlers::*member) {
  grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
  shared->traffic.Called();
  shared->traffic.Received(wire_request->ByteSizeLong());
  std::shared_ptr<wire::PendingCall> call = shared->calls.Add(reactor);
  if (!call) {
    shared->traffic.Failed();
    reactor->Finish(wire::StatusOf(PeerError::kOverloaded));
    return reactor;
  }
  Result<Request> request = wire::FromWire(*wire_request);
  if (!request) {
    shared->traffic.Failed();
    call->Finish(wire::StatusOf(request.error()));
    return reactor;
  }
  // The handle keeps `shared` alive through the callback's capture.
  auto answer = [shared, call = std::move(call),
                 wire_reply](const Result<Reply>& reply) {
    if (!reply) {
      shared->traffic.Failed();
      call->Finish(wire::StatusOf(reply.error()));
      return;
    }
    call->Finish(grpc::Status::OK, [&] {
      wire::ToWire(*reply, wire_reply);
      shared->traffic.Sent(wire_reply->ByteSizeLong());
    });
  };
  shared->post([shared, member, request = *std::move(request),
                answer = std::move(answer)]() mutable {
    const auto& handler = shared->handlers.*member;
    if (handler) handler(std::move(request), std::move(answer));
  });
  return reactor;
}

class Service : public peer::Peer::CallbackService {
 public:
  explicit Service(std::shared_ptr<Shared> shared)
      : shared_(std::move(shared)) {}

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const peer::ExchangeMessage* request,
                                     peer::ExchangeMessage* reply) override {
    return Serve<ExchangeMessage, ExchangeMessage>(
        shared_, context, request, reply, &PeerHandlers::exchange);
  }
  grpc::ServerUnaryReactor* FetchState(grpc::CallbackServerContext* context,
                                       const peer::FetchStateRequest* request,
                                       peer::FetchStateReply* reply) override {
    return Serve<FetchStateRequest, FetchStateReply>(
        shared_, context, request, reply, &PeerHandlers::fetch_state);
  }
  grpc::ServerUnaryReactor* RunKeyed(grpc::CallbackServerContext* context,
                                     const peer::RunKeyedRequest* request,
                                     peer::RunKeyedReply* reply) override {
    return Serve<RunKeyedRequest, RunKeyedReply>(
        shared_, context, request, reply, &PeerHandlers::run_keyed);
  }
  grpc::ServerUnaryReactor* LendSlots(grpc::CallbackServerContext* context,
                                      const peer::LendSlotsRequest* request,
                                      peer::LendSlotsReply* reply) override {
    return Serve<LendSlotsRequest, LendSlotsReply>(
        shared_, context, request, reply, &PeerHandlers::lend_slots);
  }
  grpc::ServerUnaryReactor* ReturnSlots(
      grpc::CallbackServerContext* context,
      const peer::ReturnSlotsRequest* request,
      peer::ReturnSlotsReply* reply) override {
    return Serve<ReturnSlotsRequest, ReturnSlotsReply>(
        shared_, context, request, reply, &PeerHandlers::return_slots);
  }

 private:
  std::shared_ptr<Shared> shared_;
};

}  // namespace

class PeerServer::Impl {
 public:
  Impl(Poster post, PeerHandlers handlers, PeerOptions options)
      : options_(options),
        shared_(std::make_shared<Shared>(std::move(post), std::move(handlers),
                                         options.max_calls)),
        service_(shared_) {}

  ~Impl() { Stop(); }

  Status Start(const std::string& address) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                             &port_);
    builder.SetMaxReceiveMessageSize(
        static_cast<int>(options_.max_message_bytes));
    builder.SetMaxSendMessageSize(static_cast<int>(options_.max_message_bytes));
    // Two entries must not share a port by accident.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) {
      server_.reset();
      return Unexpected(PeerError::kUnavailable);
    }
    return {};
  }

  void Stop() {
    if (!server_) return;
    // Calls that wait for the control thread would keep Shutdown from
    // returning, and that thread may be the one that stops the server.
    shared_->calls.Stop();
    server_->Shutdown(std::chrono::system_clock::now());
    server_->Wait();
    server_.reset();
  }

  int port() const { return port_; }
  PeerTraffic traffic() const { return shared_->traffic.Snapshot(); }

 private:
  PeerOptions options_;
  std::shared_ptr<Shared> shared_;
  Service service_;
  std::unique_ptr<grpc::Server> server_;
  int port_ = 0;
};

PeerServer::PeerServer(Poster post, PeerHandlers handlers, PeerOptions options)
    : impl_(std::make_unique<Impl>(std::move(post), std::move(handlers),
                                   options)) {}

PeerServer::~PeerServer() = default;

Status PeerServer::Start(const std::string& address) {
  return impl_->Start(address);
}

void PeerServer::Stop() { impl_->Stop(); }

int PeerServer::port() const { return impl_->port(); }

PeerTraffic PeerServer::traffic() const { return impl_->traffic(); }

}  // namespace pomelomill
