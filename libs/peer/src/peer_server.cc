#include "pomelomill/peer/peer_server.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <mutex>
#include <thread>
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

/// Something that waits for an event of the completion queue.
class Tag {
 public:
  virtual ~Tag() = default;
  /// Handles the event; deletes this object when it was the last one.
  virtual void Proceed(bool ok) = 0;
};

using Service = peer::Peer::AsyncService;

/// The completion queue of a server. It has one thread of its own, which only
/// passes messages on. The callback API of gRPC 1.51 is not used: its shared
/// queue is freed twice now and then when servers come and go.
struct Queue {
  Service service;
  std::unique_ptr<grpc::ServerCompletionQueue> events;
  std::mutex mutex;
  bool is_accepting = true;
};

/// One call of one method: first the wait for a request, then the answer.
template <typename Request, typename Reply, typename WireRequest,
          typename WireReply>
class ServerCall : public Tag {
 public:
  using Handler =
      std::function<void(Request, std::function<void(Result<Reply>)>)>;
  using Method = void (Service::*)(grpc::ServerContext*, WireRequest*,
                                   grpc::ServerAsyncResponseWriter<WireReply>*,
                                   grpc::CompletionQueue*,
                                   grpc::ServerCompletionQueue*, void*);

  ServerCall(Queue& queue, std::shared_ptr<Shared> shared, Method method,
             Handler PeerHandlers::*handler)
      : queue_(queue),
        shared_(std::move(shared)),
        method_(method),
        handler_(handler),
        responder_(&context_) {}

  /// Waits for the next request of the method, unless the server stops.
  static void Accept(Queue& queue, const std::shared_ptr<Shared>& shared,
                     Method method, Handler PeerHandlers::*handler) {
    const std::lock_guard lock(queue.mutex);
    if (!queue.is_accepting) return;
    auto call = std::make_unique<ServerCall>(queue, shared, method, handler);
    grpc::ServerCompletionQueue* events = queue.events.get();
    (queue.service.*method)(&call->context_, &call->request_, &call->responder_,
                            events, events, call.get());
    // The completion queue returns the object as a tag.
    (void)call.release();
  }

  void Proceed(bool ok) override {
    if (is_answered_ || !ok) {
      delete this;
      return;
    }
    is_answered_ = true;
    Accept(queue_, shared_, method_, handler_);
    Serve();
  }

 private:
  void Finish(const grpc::Status& status) {
    if (status.ok()) {
      responder_.Finish(reply_, status, this);
    } else {
      responder_.FinishWithError(status, this);
    }
  }

  /// Hands the request to the control thread. The object lives until the call
  /// is finished, which PendingCall does exactly once.
  void Serve() {
    const std::shared_ptr<Shared> shared = shared_;
    shared->traffic.Called();
    shared->traffic.Received(request_.ByteSizeLong());
    std::shared_ptr<wire::PendingCall> call = shared->calls.Add(
        [this](const grpc::Status& status) { Finish(status); });
    if (!call) {
      shared->traffic.Failed();
      Finish(wire::StatusOf(PeerError::kOverloaded));
      return;
    }
    Result<Request> request = wire::FromWire(request_);
    if (!request) {
      shared->traffic.Failed();
      call->Finish(wire::StatusOf(request.error()));
      return;
    }
    auto answer = [shared, call = std::move(call),
                   this](const Result<Reply>& reply) {
      if (!reply) {
        shared->traffic.Failed();
        call->Finish(wire::StatusOf(reply.error()));
        return;
      }
      call->Finish(grpc::Status::OK, [&] {
        wire::ToWire(*reply, &reply_);
        shared->traffic.Sent(reply_.ByteSizeLong());
      });
    };
    shared->post([shared, handler = handler_, request = *std::move(request),
                  answer = std::move(answer)]() mutable {
      const Handler& run = shared->handlers.*handler;
      if (run) run(std::move(request), std::move(answer));
    });
  }

  Queue& queue_;
  std::shared_ptr<Shared> shared_;
  Method method_;
  Handler PeerHandlers::*handler_;
  bool is_answered_ = false;
  grpc::ServerContext context_;
  WireRequest request_;
  WireReply reply_;
  grpc::ServerAsyncResponseWriter<WireReply> responder_;
};

}  // namespace

class PeerServer::Impl {
 public:
  Impl(Poster post, PeerHandlers handlers, PeerOptions options)
      : options_(options),
        shared_(std::make_shared<Shared>(std::move(post), std::move(handlers),
                                         options.max_calls)) {}

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
    builder.RegisterService(&queue_.service);
    queue_.events = builder.AddCompletionQueue();
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) {
      server_.reset();
      DrainQueue();
      return Unexpected(PeerError::kUnavailable);
    }
    Accept<ExchangeMessage, ExchangeMessage, peer::ExchangeMessage,
           peer::ExchangeMessage>(&Service::RequestExchange,
                                  &PeerHandlers::exchange);
    Accept<FetchStateRequest, FetchStateReply, peer::FetchStateRequest,
           peer::FetchStateReply>(&Service::RequestFetchState,
                                  &PeerHandlers::fetch_state);
    Accept<RunKeyedRequest, RunKeyedReply, peer::RunKeyedRequest,
           peer::RunKeyedReply>(&Service::RequestRunKeyed,
                                &PeerHandlers::run_keyed);
    Accept<LendSlotsRequest, LendSlotsReply, peer::LendSlotsRequest,
           peer::LendSlotsReply>(&Service::RequestLendSlots,
                                 &PeerHandlers::lend_slots);
    Accept<ReturnSlotsRequest, ReturnSlotsReply, peer::ReturnSlotsRequest,
           peer::ReturnSlotsReply>(&Service::RequestReturnSlots,
                                   &PeerHandlers::return_slots);
    thread_ = std::thread([this] { RunEvents(); });
    return {};
  }

  void Stop() {
    if (!server_) return;
    // Calls that wait for the control thread would keep Shutdown from
    // returning, and that thread may be the one that stops the server.
    shared_->calls.Stop();
    server_->Shutdown(std::chrono::system_clock::now());
    DrainQueue();
    thread_.join();
    server_.reset();
  }

  int port() const { return port_; }
  PeerTraffic traffic() const { return shared_->traffic.Snapshot(); }

 private:
  template <typename Request, typename Reply, typename WireRequest,
            typename WireReply>
  void Accept(typename ServerCall<Request, Reply, WireRequest,
                                  WireReply>::Method method,
              typename ServerCall<Request, Reply, WireRequest,
                                  WireReply>::Handler PeerHandlers::*handler) {
    ServerCall<Request, Reply, WireRequest, WireReply>::Accept(queue_, shared_,
                                                               method, handler);
  }

  void RunEvents() {
    void* tag = nullptr;
    bool ok = false;
    while (queue_.events->Next(&tag, &ok)) static_cast<Tag*>(tag)->Proceed(ok);
  }

  /// Ends the queue. Nothing may be added to it afterwards.
  void DrainQueue() {
    {
      const std::lock_guard lock(queue_.mutex);
      queue_.is_accepting = false;
    }
    queue_.events->Shutdown();
    if (!thread_.joinable()) RunEvents();
  }

  PeerOptions options_;
  std::shared_ptr<Shared> shared_;
  Queue queue_;
  std::unique_ptr<grpc::Server> server_;
  std::thread thread_;
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
