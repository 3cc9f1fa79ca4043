#include "pomelomill/peer/peer_client.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "peer.grpc.pb.h"
#include "pomelomill/peer/peer_error.h"
#include "status_codes.h"
#include "traffic_counter.h"
#include "wire.h"

namespace pomelomill {
namespace {

/// Contexts of the calls in progress, so that all can be cancelled and waited
/// for. gRPC's threads use it until the last call has ended.
class Calls {
 public:
  bool Add(grpc::ClientContext* context, std::size_t limit) {
    const std::lock_guard lock(mutex_);
    if (is_stopping_ || contexts_.size() >= limit) return false;
    contexts_.insert(context);
    return true;
  }

  void Remove(grpc::ClientContext* context) {
    const std::lock_guard lock(mutex_);
    contexts_.erase(context);
    if (contexts_.empty()) ended_.notify_all();
  }

  bool is_stopping() const {
    const std::lock_guard lock(mutex_);
    return is_stopping_;
  }

  void CancelAndWait() {
    std::unique_lock lock(mutex_);
    is_stopping_ = true;
    for (grpc::ClientContext* context : contexts_) context->TryCancel();
    ended_.wait(lock, [this] { return contexts_.empty(); });
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable ended_;
  bool is_stopping_ = false;
  std::set<grpc::ClientContext*> contexts_;
};

struct Shared {
  Poster post;
  wire::TrafficCounter traffic;
  Calls calls;
};

/// One outgoing call; ends when the completion queue returns it.
class Call {
 public:
  virtual ~Call() = default;
  virtual void Ended() = 0;

  grpc::ClientContext context;
};

template <typename Reply, typename WireReply>
class TypedCall : public Call {
 public:
  TypedCall(std::shared_ptr<Shared> shared, PeerCallback<Reply> done)
      : shared_(std::move(shared)), done_(std::move(done)) {}

  void Ended() override {
    Result<Reply> result = Unexpected(PeerError::kFailed);
    if (status.ok()) {
      shared_->traffic.Received(reply.ByteSizeLong());
      result = wire::FromWire(reply);
    } else {
      result = Unexpected(wire::ErrorOf(status));
    }
    if (!result) shared_->traffic.Failed();
    if (!shared_->calls.is_stopping()) {
      shared_->post([done = std::move(done_), result = std::move(result),
                     shared = shared_]() mutable {
        if (!shared->calls.is_stopping()) done(std::move(result));
      });
    }
    shared_->calls.Remove(&context);
  }

  std::unique_ptr<grpc::ClientAsyncResponseReader<WireReply>> reader;
  WireReply reply;
  grpc::Status status;

 private:
  std::shared_ptr<Shared> shared_;
  PeerCallback<Reply> done_;
};

/// gRPC takes deadlines on the wall clock only; a jump of that clock makes
/// one call time out early or late and nothing else.
std::chrono::system_clock::time_point DeadlineAfter(Duration timeout) {
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
             timeout);
}

}  // namespace

class PeerClient::Impl {
 public:
  Impl(Poster post, PeerOptions options)
      : options_(options), shared_(std::make_shared<Shared>()) {
    shared_->post = std::move(post);
    thread_ = std::thread([this] {
      void* tag = nullptr;
      bool ok = false;
      while (queue_.Next(&tag, &ok)) {
        const std::unique_ptr<Call> call(static_cast<Call*>(tag));
        call->Ended();
      }
    });
  }

  ~Impl() {
    shared_->calls.CancelAndWait();
    queue_.Shutdown();
    thread_.join();
  }

  template <typename Reply, typename WireRequest, typename WireReply,
            typename Request>
  void Start(const std::string& address, const Request& request,
             Duration timeout, PeerCallback<Reply> done,
             std::unique_ptr<grpc::ClientAsyncResponseReader<WireReply>> (
                 peer::Peer::Stub::*prepare)(grpc::ClientContext*,
                                             const WireRequest&,
                                             grpc::CompletionQueue*)) {
    WireRequest wire_request;
    wire::ToWire(request, &wire_request);
    const std::size_t bytes = wire_request.ByteSizeLong();
    auto call = std::make_unique<TypedCall<Reply, WireReply>>(shared_, done);
    std::error_code error;
    if (bytes > options_.max_message_bytes) {
      error = PeerError::kTooLarge;
    } else if (!shared_->calls.Add(&call->context, options_.max_calls)) {
      error = PeerError::kOverloaded;
    }
    shared_->traffic.Called();
    if (error) {
      shared_->traffic.Failed();
      shared_->post(
          [done = std::move(done), error] { done(Unexpected(error)); });
      return;
    }
    shared_->traffic.Sent(bytes);
    call->context.set_deadline(DeadlineAfter(timeout));
    call->reader =
        (StubFor(address)->*prepare)(&call->context, wire_request, &queue_);
    call->reader->StartCall();
    call->reader->Finish(&call->reply, &call->status, call.get());
    // The completion queue returns the object as a tag.
    (void)call.release();
  }

  PeerTraffic traffic() const { return shared_->traffic.Snapshot(); }

 private:
  struct Channel {
    std::unique_ptr<peer::Peer::Stub> stub;
    std::uint64_t last_use = 0;
  };

  /// A dropped stub's channel lives on until its calls have ended.
  peer::Peer::Stub* StubFor(const std::string& address) {
    const auto it = channels_.find(address);
    if (it != channels_.end()) {
      it->second.last_use = ++uses_;
      return it->second.stub.get();
    }
    if (channels_.size() >= options_.max_channels) {
      channels_.erase(std::min_element(
          channels_.begin(), channels_.end(), [](const auto& a, const auto& b) {
            return a.second.last_use < b.second.last_use;
          }));
    }
    grpc::ChannelArguments args;
    // A repeated RunKeyed could run a request twice.
    args.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    args.SetMaxReceiveMessageSize(static_cast<int>(options_.max_message_bytes));
    args.SetMaxSendMessageSize(static_cast<int>(options_.max_message_bytes));
    // The default backoff grows to two minutes, far beyond the contact window.
    args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    args.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
    args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    // Peers are addressed by ip and port only.
    args.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    Channel& channel = channels_[address];
    channel.stub = peer::Peer::NewStub(grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), args));
    channel.last_use = ++uses_;
    return channel.stub.get();
  }

  PeerOptions options_;
  std::shared_ptr<Shared> shared_;
  /// Has one thread, which only passes messages on; see Queue in
  /// peer_server.cc for why the callback API is not used.
  grpc::CompletionQueue queue_;
  std::thread thread_;
  std::map<std::string, Channel> channels_;
  std::uint64_t uses_ = 0;
};

PeerClient::PeerClient(Poster post, PeerOptions options)
    : impl_(std::make_unique<Impl>(std::move(post), options)) {}

PeerClient::~PeerClient() = default;

void PeerClient::Exchange(const std::string& address,
                          const ExchangeMessage& message, Duration timeout,
                          PeerCallback<ExchangeMessage> done) {
  impl_->Start<ExchangeMessage, peer::ExchangeMessage, peer::ExchangeMessage>(
      address, message, timeout, std::move(done),
      &peer::Peer::Stub::PrepareAsyncExchange);
}

void PeerClient::FetchState(const std::string& address,
                            const FetchStateRequest& request, Duration timeout,
                            PeerCallback<FetchStateReply> done) {
  impl_->Start<FetchStateReply, peer::FetchStateRequest, peer::FetchStateReply>(
      address, request, timeout, std::move(done),
      &peer::Peer::Stub::PrepareAsyncFetchState);
}

void PeerClient::RunKeyed(const std::string& address,
                          const RunKeyedRequest& request, Duration timeout,
                          PeerCallback<RunKeyedReply> done) {
  impl_->Start<RunKeyedReply, peer::RunKeyedRequest, peer::RunKeyedReply>(
      address, request, timeout, std::move(done),
      &peer::Peer::Stub::PrepareAsyncRunKeyed);
}

void PeerClient::LendSlots(const std::string& address,
                           const LendSlotsRequest& request, Duration timeout,
                           PeerCallback<LendSlotsReply> done) {
  impl_->Start<LendSlotsReply, peer::LendSlotsRequest, peer::LendSlotsReply>(
      address, request, timeout, std::move(done),
      &peer::Peer::Stub::PrepareAsyncLendSlots);
}

void PeerClient::ReturnSlots(const std::string& address,
                             const ReturnSlotsRequest& request,
                             Duration timeout,
                             PeerCallback<ReturnSlotsReply> done) {
  impl_->Start<ReturnSlotsReply, peer::ReturnSlotsRequest,
               peer::ReturnSlotsReply>(
      address, request, timeout, std::move(done),
      &peer::Peer::Stub::PrepareAsyncReturnSlots);
}

PeerTraffic PeerClient::traffic() const { return impl_->traffic(); }

}  // namespace pomelomill
