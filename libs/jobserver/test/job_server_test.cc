#include "pomelomill/jobserver/job_server.h"

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "pomelomill/base/asio_timer_service.h"
#include "pomelomill/http.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"
#include "store_records.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;

constexpr const char* kJob = "00000000000000aa";
constexpr Duration kWatchWait = milliseconds(5);

/// Job server on loopback, with a store whose responses the test chooses.
class Server {
 public:
  Server() : timers_(context_), http_(context_) {
    hooks_.store.read = [this](const std::string& key, Duration,
                               const StoreCallback<StoredKey>& done) {
      Later([this, key, done] {
        if (read_error) return done(Unexpected(read_error));
        const auto it = values.find(key);
        if (it == values.end()) return done(Unexpected(StoreError::kNotFound));
        done(StoredKey{.key = key, .value = it->second, .version = Version(5)});
      });
    };
    hooks_.store.read_prefix = [this](const std::string& prefix, Duration,
                                      const StoreCallback<PrefixRead>& done) {
      Later([this, prefix, done] {
        PrefixRead read{.version = Version(9)};
        if (prefix == "config" && has_config)
          read.items.push_back({.key = "config", .version = Version(3)});
        if (prefix == kClusterPrefix) read.items = cluster;
        done(read);
      });
    };
    hooks_.store.watch_prefix = [this](const std::string& prefix, Version after,
                                       Duration,
                                       const StoreCallback<PrefixRead>& done) {
      timers_.ScheduleAfter(kWatchWait, [this, prefix, after, done] {
        PrefixRead read{{}, after};
        if (prefix == "config" && !next_config.empty()) {
          read.version = Version(after.value() + 1);
          read.items.push_back({.key = "config",
                                .value = std::exchange(next_config, {}),
                                .version = read.version});
        }
        done(read);
      });
    };
    hooks_.store.commit = [this](const Transaction& transaction, Duration,
                                 const StoreCallback<CommitResult>& done) {
      for (const auto& it : transaction.writes) sent[it.key] = it.value;
      if (is_store_silent) return;
      Later([this, done] {
        if (commit_error) return done(Unexpected(commit_error));
        done(CommitResult{.is_committed = true, .version = Version(10)});
      });
    };
    hooks_.leases.grant_lease = [this](Duration, Duration,
                                       const StoreCallback<LeaseId>& done) {
      Later([done] { done(Unexpected(StoreError::kUnavailable)); });
    };
    hooks_.config_key = "config";
    hooks_.worker_prefix = "workers/";
    hooks_.decode_config =
        [this](const std::string& text) -> Result<FleetConfig> {
      FleetConfig config{
          .revision = Revision(text.empty() ? 7 : std::stoul(text)),
          .max_body_bytes = 1'000};
      config.requires_keys = requires_keys;
      if (has_key) config.api_keys.emplace("secret", WorkspaceId("shop"));
      config.queues.push_back(
          {.id = QueueId("q"),
           .host = "shop.example",
           .prefix = "/quotes/",
           .pool = PoolId("p"),
           .policy = {.max_attempts = 4, .target_latency = target_latency}});
      return config;
    };
    hooks_.decode_job = [](std::string_view body) -> Result<JobSpec> {
      if (body != "good") return Unexpected(StoreError::kBadResponse);
      JobSpec spec;
      spec.steps.resize(1);
      return spec;
    };
    hooks_.encode_phase = [](JobPhase phase) -> std::string {
      return ToText(phase);
    };
    hooks_.encode_waiting = [](std::uint32_t n) { return std::to_string(n); };
  }

  /// Starts the server on free ports and runs it until it has read the
  /// configuration.
  void Start() {
    settings_.entry = EntryId("e");
    settings_.requests.memory_mb = 8;
    settings_.zone = ZoneId("z");
    settings_.caller_address = "127.0.0.1:" + FreePort();
    settings_.ready_address = "127.0.0.1:" + FreePort();
    settings_.peer_address = "127.0.0.1:" + FreePort();
    settings_.metrics_address = "127.0.0.1:" + FreePort();
    server_.emplace(
        context_, timers_, http_, hooks_, settings_, IncarnationId("e.1"),
        JobServerHooks{.wall_ms = [] { return std::int64_t{0}; },
                       .event =
                           [this](std::string_view part, std::string_view event,
                                  const std::vector<EventField>& fields) {
                             std::string line =
                                 std::string(part) + " " + std::string(event);
                             for (const EventField& it : fields)
                               line +=
                                   " " + std::string(it.name) + "=" + it.value;
                             events.push_back(line);
                           }});
    REQUIRE(server_->Start());
    context_.run_for(milliseconds(50));
  }

  void Run(Duration time) { context_.run_for(time); }

  HttpResponse Ask(const std::string& method, const std::string& path,
                   const std::string& body = "",
                   const std::string& host = "shop.example:80") {
    return Send(settings_.caller_address, method, path, body, host);
  }
  /// Sends the request on `count` connections, which stay open.
  void SendUnanswered(const std::string& request, int count) {
    const asio::ip::tcp::endpoint address(
        asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(std::stoul(settings_.caller_address.substr(
            settings_.caller_address.find(':') + 1))));
    for (int i = 0; i < count; ++i) {
      auto& socket = callers_.emplace_back(context_);
      socket.connect(address);
      std::error_code ec;
      asio::write(socket, asio::buffer(request), ec);
      context_.run_for(std::chrono::microseconds(200));
    }
  }
  int Ready() {
    return Send(settings_.ready_address, "GET", "/ready", "", "x").status;
  }
  std::string Metrics() {
    return Send(settings_.metrics_address, "GET", "/metrics", "", "x").body;
  }

  bool HasEvent(const std::string& text) const {
    return std::any_of(events.begin(), events.end(), [&](const auto& it) {
      return it.find(text) != std::string::npos;
    });
  }

  /// Commits get no answer.
  bool is_store_silent = false;
  bool has_config = true;
  bool requires_keys = false;
  Duration target_latency{};
  bool has_key = true;
  /// Sent with each request unless empty.
  std::string authorization;
  /// Revision of the configuration that the watch delivers next; empty for
  /// none.
  std::string next_config;
  std::error_code commit_error;
  std::error_code read_error;
  std::map<std::string, std::string> values;
  /// Members, owners and backlogs.
  std::vector<StoredKey> cluster;
  /// All writes that were sent, by key.
  std::map<std::string, std::string> sent;
  std::vector<std::string> events;

 private:
  /// Runs `work` from a timer, as responses of a real store arrive.
  void Later(std::function<void()> work) {
    timers_.ScheduleAfter(milliseconds(1), std::move(work));
  }

  std::string FreePort() {
    HttpListener probe(context_, {}, {});
    REQUIRE(probe.Start());
    return std::to_string(probe.port());
  }

  HttpResponse Send(const std::string& address, const std::string& method,
                    const std::string& path, const std::string& body,
                    const std::string& host) {
    HttpRequest request;
    request.method = method;
    request.url = "http://" + address + path;
    request.headers = {{"Host", host}};
    if (!authorization.empty())
      request.headers.push_back({"Authorization", authorization});
    request.body = body;
    bool is_done = false;
    HttpResult result;
    http_.Send(request, [&](HttpResult it) {
      result = std::move(it);
      is_done = true;
    });
    while (!is_done) context_.run_one_for(std::chrono::seconds(5));
    REQUIRE_FALSE(result.error);
    return result.response;
  }

  asio::io_context context_;
  AsioTimerService timers_;
  PersistentHttpClient http_;
  PlatformHooks hooks_;
  JobServiceSettings settings_;
  std::optional<JobServer> server_;
  std::vector<asio::ip::tcp::socket> callers_;
};

}  // namespace

TEST_CASE("an entry without a configuration is not ready and answers 503") {
  Server server;
  server.has_config = false;
  server.Start();
  CHECK(server.Ready() == 503);
  const auto response =
      server.Ask("POST", std::string("/quotes/") + kJob, "good");
  CHECK(response.status == 503);
  CHECK_FALSE(response.header("Retry-After").empty());
  CHECK(server.HasEvent("reason=no configuration yet"));
}

TEST_CASE("a valid job is accepted and invalid requests are rejected") {
  Server server;
  server.Start();
  CHECK(server.Ready() == 200);
  const std::string path = std::string("/quotes/") + kJob;
  CHECK(server.Ask("POST", path, "good").status == 200);
  CHECK(server.Ask("POST", path, "bad").status == 400);
  CHECK(server.Ask("POST", path, std::string(1'000, 'x')).status == 400);
  CHECK(server.Ask("POST", path, std::string(1'001, 'x')).status == 413);
  CHECK(server.Ask("POST", "/quotes/short", "good").status == 400);
  CHECK(server.Ask("PUT", path, "good").status == 405);
  CHECK(server.Ask("POST", "/other/x", "good").status == 404);
  CHECK(server.Ask("POST", path, "good", "other.example").status == 404);
}

TEST_CASE("a job that was not stored gets 503, an unknown outcome gets 504") {
  // 503 promises that the job will never run. When the store did not confirm
  // the commit, the job may run, and 503 would be false. The log gives the
  // reason.
  Server server;
  server.Start();
  const std::string path = std::string("/quotes/") + kJob;
  server.commit_error = StoreError::kUnavailable;
  const auto refused = server.Ask("POST", path, "good");
  CHECK(refused.status == 503);
  CHECK(refused.header("Retry-After") == "1");
  CHECK(server.HasEvent(std::string("front answer job=") + kJob));
  CHECK(
      server.HasEvent("status=503 reason=job not stored: the store rejected "
                      "the commit or is down"));
  server.commit_error = StoreError::kOutcomeUnknown;
  CHECK(server.Ask("POST", path, "good").status == 504);
  CHECK(
      server.HasEvent("status=504 reason=outcome unknown: the store did not "
                      "confirm the commit"));
}

TEST_CASE("a job whose commit has no answer is not said to be missing") {
  // Guards against 410 for a cancellation whose job is stored a moment later
  // and then runs.
  Server server;
  server.Start();
  const std::string path = std::string("/quotes/") + kJob;
  server.commit_error = StoreError::kOutcomeUnknown;
  REQUIRE(server.Ask("POST", path, "good").status == 504);
  for (const char* method : {"DELETE", "GET"}) {
    CAPTURE(method);
    const auto response = server.Ask(method, path);
    CHECK(response.status == 503);
    CHECK(response.header("Retry-After") == "1");
    CHECK(server.Ask(method, "/quotes/00000000000000bb").status == 410);
  }
}

TEST_CASE("an overloaded pool rejects a job that is not stored") {
  // Guards against 503, which promises that the job never runs, for a job that
  // is stored or being stored, and against a rejection without a time.
  Server server;
  server.target_latency = milliseconds(100);
  const PoolId pool("p");
  PoolBacklog backlog;
  backlog.cpu_millis = 1'000;
  backlog.urgent_core_ms = 20'000;
  server.cluster = {{.key = OwnerKey(pool),
                     .value = EncodeOwner({EntryId("f"), IncarnationId("f.1")}),
                     .version = Version(7)},
                    {.key = BacklogKey(pool),
                     .value = EncodeBacklog({FencingToken(7), backlog}),
                     .version = Version(8)}};
  server.Start();
  const std::string path = std::string("/quotes/") + kJob;
  const auto rejected = server.Ask("POST", path, "good");
  CHECK(rejected.status == 503);
  CHECK(std::stoi(std::string(rejected.header("Retry-After"))) >= 20);
  CHECK(server.sent.empty());
  CHECK(server.HasEvent("reason=pool overloaded: no-use, retry after "));
  const auto early = server.Ask("POST", path, "good");
  CHECK(early.status == 503);
  CHECK(server.HasEvent("reason=pool overloaded: early, retry after "));
  for (const char* it : {"pomelomill_admission_rejected_total{",
                         "pomelomill_admission_retry_after_seconds_"}) {
    CAPTURE(it);
    CHECK(server.Metrics().find(it) != std::string::npos);
  }
  server.values[std::string("ids/") + kJob] =
      EncodeJobLocation({PoolId("p"), QueueId("q")});
  CHECK(server.Ask("POST", path, "good").status == 200);
}

TEST_CASE("a job is stored with the terms of its queue") {
  // Guards against a later owner that has no policy for the job, since its
  // queue is not in the configuration any more.
  Server server;
  server.Start();
  const std::string path = std::string("/quotes/") + kJob;
  REQUIRE(server.Ask("POST", path, "good").status == 200);
  const auto job =
      DecodeStoredJob(server.sent[std::string("pools/p/jobs/") + kJob]);
  REQUIRE(job);
  REQUIRE(job->terms);
  CHECK(*job->terms == QueueTerms{{.max_attempts = 4}, Revision(7)});
}

TEST_CASE("a job's state is read from the store when no owner answers") {
  Server server;
  const std::string path = std::string("/quotes/") + kJob;
  server.values[std::string("ids/") + kJob] =
      EncodeJobLocation({PoolId("p"), QueueId("q")});
  server.Start();
  CHECK(server.Ask("GET", path).body == "queued");
  server.values[std::string("progress/p/") + kJob] =
      EncodeJobProgress({.phase = JobPhase::kComplete});
  CHECK(server.Ask("GET", path).body == "complete");
  CHECK(server.Ask("GET", "/quotes/00000000000000bb").status == 410);
  // While the store fails, an unknown job must not be reported as missing
  // (410).
  server.read_error = StoreError::kUnavailable;
  CHECK(server.Ask("GET", "/quotes/00000000000000cc").status == 503);
  CHECK(server.Ask("GET", "/quotes/").status == 503);
}

TEST_CASE("a call without a key of the configuration gets 401") {
  // Guards against calls that run on behalf of nobody, whatever their method.
  Server server;
  server.requires_keys = true;
  SUBCASE("no key") {}
  SUBCASE("an unknown key") { server.authorization = "Bearer other"; }
  SUBCASE("a withdrawn key, with the store away") {
    server.authorization = "Bearer secret";
    server.has_key = false;
    server.read_error = StoreError::kUnavailable;
    server.commit_error = StoreError::kUnavailable;
  }
  server.Start();
  const std::string path = std::string("/quotes/") + kJob;
  for (const char* method : {"POST", "GET", "DELETE", "PUT"}) {
    CAPTURE(method);
    CHECK(server.Ask(method, path, "good").status == 401);
  }
  CHECK(server.Ask("GET", "/quotes/").status == 401);
  CHECK(server.Ask("GET", "/other/").status == 404);
  CHECK(server.sent.empty());
  CHECK(server.HasEvent("status=401 reason=no key"));
}

TEST_CASE("a withdrawn key gets 401 on an open connection and for good") {
  // Guards against a key that is checked once for each connection, and against
  // an older configuration that brings it back.
  Server server;
  server.requires_keys = true;
  server.authorization = "Bearer secret";
  server.Start();
  const std::string path = std::string("/quotes/") + kJob;
  REQUIRE(server.Ask("POST", path, "good").status == 200);
  server.has_key = false;
  server.next_config = "8";
  server.Run(milliseconds(50));
  CHECK(server.Ask("POST", path, "good").status == 401);
  CHECK(server.Ask("GET", path).status == 401);
  server.has_key = true;
  server.next_config = "6";
  server.Run(milliseconds(50));
  CHECK(server.Ask("POST", path, "good").status == 401);
}

TEST_CASE("callers do not keep checks of readiness out") {
  // Guards against entries that all look unready because the store is slow and
  // requests that wait for it fill the memory for requests.
  Server server;
  server.Start();
  server.is_store_silent = true;
  const auto make = [](std::size_t padding) {
    return "POST /quotes/00000000000000aa HTTP/1.1\r\nHost: shop.example\r\n"
           "X-Padding: " +
           std::string(padding, 'x') + "\r\nContent-Length: 4\r\n\r\ngood";
  };
  // Small requests fill what the large ones leave.
  server.SendUnanswered(make(15'000), 600);
  server.SendUnanswered(make(1), 50);
  server.Run(milliseconds(300));
  CHECK(server.HasEvent("request-dropped reason=memory"));
  CHECK(server.Ready() == 200);
  CHECK(server.Metrics().find("pomelomill_request_memory_bytes") !=
        std::string::npos);
}

TEST_CASE("a job is stored with the workspace of its key") {
  Server server;
  server.requires_keys = true;
  server.authorization = "Bearer secret";
  server.Start();
  REQUIRE(server.Ask("POST", std::string("/quotes/") + kJob, "good").status ==
          200);
  const auto job =
      DecodeStoredJob(server.sent[std::string("pools/p/jobs/") + kJob]);
  REQUIRE(job);
  CHECK(job->workspace == WorkspaceId("shop"));
  CHECK(server.Metrics().find("pomelomill_workspace_requests_total{") !=
        std::string::npos);
}

TEST_CASE("metrics count requests, store calls and events") {
  Server server;
  server.Start();
  server.Ask("POST", std::string("/quotes/") + kJob, "good");
  const std::string text = server.Metrics();
  for (const char* it :
       {"pomelomill_job_requests_total{", "pomelomill_job_request_seconds_",
        "pomelomill_job_store_calls_total{", "pomelomill_job_store_seconds_",
        "pomelomill_events_total{", "pomelomill_owned_pools "}) {
    CAPTURE(it);
    CHECK(text.find(it) != std::string::npos);
  }
}

}  // namespace pomelomill
