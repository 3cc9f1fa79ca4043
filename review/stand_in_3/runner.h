#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "../../platform/stand_in/wire.h"
#include "../../tools/soak/record.h"

namespace pomelomill::review {

using platform::stand_in::WireRequest;

/// HTTP/1.1 on one loopback port, one thread for each connection. Crash() ends
/// the listener and all connections, as the end of a process does; Open()
/// listens on the same port again.
class RestartableServer {
 public:
  /// Returns the response's status and body; nothing to leave the request
  /// without an answer until the connection ends.
  using Reply = std::optional<std::pair<int, std::string>>;
  using Handler = std::function<Reply(const WireRequest&)>;

  explicit RestartableServer(Handler handler);
  ~RestartableServer();
  RestartableServer(const RestartableServer&) = delete;
  RestartableServer& operator=(const RestartableServer&) = delete;

  const std::string& address() const { return address_; }
  void Open();
  void Crash();

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept(const std::shared_ptr<asio::ip::tcp::acceptor>& acceptor);
  void Serve(const Socket& socket);

  const Handler handler_;
  const std::string address_;
  asio::io_context context_;
  std::mutex mutex_;
  std::shared_ptr<asio::ip::tcp::acceptor> acceptor_;
  std::list<Socket> sockets_;
};

/// Writes runners' entries and reads keys, over the store's own interface.
class StoreLine {
 public:
  explicit StoreLine(std::string address) : client_(std::move(address)) {}

  std::uint64_t GrantLease(std::int64_t ttl_ms);
  void KeepLease(std::uint64_t lease);
  void Put(const std::string& key, const nlohmann::json& value,
           std::uint64_t lease);
  /// Returns the value of the key, empty when there is none.
  std::string Get(const std::string& key);

 private:
  std::mutex mutex_;
  platform::stand_in::WireClient client_;
};

/// A runner of the platform as PROTOCOL.md describes it. The payload of a work
/// item is its duration in milliseconds, 0 for one that lasts.
class Runner {
 public:
  struct Options {
    /// The first is the runner's kind.
    std::vector<std::string> labels;
    std::string pool;
  };

  Runner(std::string id, const Options& options, StoreLine& store,
         soak::Record& record);

  const std::string& id() const { return id_; }
  const std::string& address() const { return server_.address(); }

  /// Starts the process: a new boot under the id that knows nothing of before.
  void Boot();
  /// Ends the process at once.
  void Crash();
  /// Leaves the next order to start a work item of this submission unanswered,
  /// and keeps it.
  void KeepNextStart(const std::string& submission);
  std::optional<std::string> kept_start();
  /// Carries out the kept order at whatever process is there now. Returns the
  /// status of its answer.
  int CarryOutKeptStart();
  /// Answers orders to start with 503 until SetHealthy(true).
  void SetHealthy(bool is_healthy);
  bool Runs(const std::string& submission);
  /// Starts of work items of the submission so far.
  int StartsOf(const std::string& submission);

 private:
  using Json = nlohmann::json;
  using Reply = RestartableServer::Reply;

  struct Run {
    std::uint32_t number = 0;
    /// On the runner's clock; 0 for one that lasts.
    std::int64_t ends_at = 0;
    std::string how = "done";
  };

  Reply OnCall(const WireRequest& request);
  Reply Start(const WireRequest& request, const Json& body);
  Reply Stop(const Json& body);
  Reply Hold(const Json& body);
  Reply Answer() const;
  Reply Refuse(const char* reason) const;
  bool IsFenced(const Json& body);
  void Extend(const Json& body);
  void Tick();
  void Register();
  std::int64_t Clock() const;

  const std::string id_;
  const Options options_;
  StoreLine& store_;
  soak::Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_up_ = false;
  bool is_healthy_ = true;
  std::uint64_t boots_ = 0;
  std::int64_t born_ = 0;
  std::int64_t booted_at_ = 0;
  std::int64_t deadline_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t last_end_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t lease_ = 0;
  std::int64_t registered_at_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, std::uint32_t> highest_;
  std::map<std::uint64_t, Json> ended_;
  std::map<std::string, int> starts_;
  std::string kept_submission_;
  std::optional<WireRequest> kept_;
  RestartableServer server_;
};

}  // namespace pomelomill::review
