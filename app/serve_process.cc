#include "serve_process.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <ctime>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "change_log.h"
#include "http_call.h"
#include "log.h"
#include "metrics_page.h"
#include "pomelomill/base/asio_timer_service.h"
#include "pomelomill/control.h"
#include "pomelomill/entry.h"
#include "pomelomill/http.h"
#include "pomelomill/peer.h"
#include "pomelomill/platform.h"
#include "pomelomill/store.h"
#include "pomelomill/traffic.h"
#include "status_pages.h"

namespace pomelomill {
namespace {

constexpr Duration kHealthTimeout = std::chrono::seconds(1);
/// Longest time that a forwarded request may take; queues have deadlines of
/// their own, which end requests sooner.
constexpr Duration kForwardTimeout = std::chrono::minutes(10);

std::string Host(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

std::uint16_t Port(const std::string& address) {
  return static_cast<std::uint16_t>(
      std::stoul(address.substr(address.rfind(':') + 1)));
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

IncarnationId NewIncarnation(const EntryId& entry, std::uint64_t seed) {
  std::string hex(16, '0');
  for (std::size_t i = 0; i < hex.size(); ++i)
    hex[i] = "0123456789abcdef"[(seed >> (4 * i)) & 15];
  return IncarnationId(entry.value() + "." + hex);
}

std::int64_t WallClockS() { return std::time(nullptr); }

std::int64_t UtcOffsetS() {
  const std::time_t now = std::time(nullptr);
  std::tm local{};
  localtime_r(&now, &local);
  return local.tm_gmtoff;
}

Result<EndpointHealth> HealthOf(const HttpResult& result) {
  if (result.error) return Unexpected(result.error);
  const auto json = nlohmann::json::parse(result.response.body, nullptr, false);
  if (result.response.status != 200 || !json.is_object())
    return Unexpected(HttpError::kFailed);
  EndpointHealth health;
  const auto number = [&](const char* name) -> std::uint64_t {
    const auto it = json.find(name);
    return it != json.end() && it->is_number_unsigned()
               ? it->get<std::uint64_t>()
               : 0;
  };
  health.generation = Generation(number("generation"));
  health.active = static_cast<std::uint32_t>(number("active"));
  const auto draining = json.find("draining");
  health.is_draining =
      draining != json.end() && draining->is_boolean() && draining->get<bool>();
  return health;
}

constexpr const char* kMetricsPath = "/-/metrics";

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::vector<QueueTotals> TotalsOf(const TrafficStatus& status) {
  std::vector<QueueTotals> totals;
  for (const QueueStatus& it : status.queues) {
    totals.push_back(
        {.queue = it.queue,
         .arrived = it.arrived,
         .service_time = it.service_time,
         .asked = it.counts.requests,
         .missed = it.counts.requests - it.counts.answered_in_time});
  }
  return totals;
}

}  // namespace

class ServeProcess::Impl {
 public:
  explicit Impl(ServeSettings settings)
      : settings_(std::move(settings)),
        seed_(RandomSeed()),
        incarnation_(NewIncarnation(settings_.entry, seed_)),
        control_timers_(control_),
        traffic_timers_(traffic_),
        http_(control_),
        signals_(control_, SIGTERM, SIGINT),
        peer_client_(ControlPoster()),
        traffic_server_(traffic_, traffic_timers_, MakeTrafficOptions(),
                        MakeTrafficHooks()),
        store_(MakeStore()),
        claims_(store_, control_timers_, {.incarnation = incarnation_}),
        node_(MakeNodeSettings(), store_, MakePlatform(), control_timers_,
              MakeNodeHooks(), &decisions_),
        peer_server_(ControlPoster(), MakePeerHandlers()) {}

  int Run() {
    if (!peer_server_.Start(settings_.peer_address)) {
      Log(LogPart::kApp, LogLevel::kError,
          "cannot listen on " + settings_.peer_address);
      return 1;
    }
    if (!traffic_server_.Start()) {
      Log(LogPart::kApp, LogLevel::kError,
          "cannot listen on " + settings_.caller_address + " or " +
              settings_.admin_address);
      return 1;
    }
    Log(LogPart::kApp, LogLevel::kInfo,
        "started as " + incarnation_.value() + ", callers " +
            settings_.caller_address + ", peers " + settings_.peer_address +
            ", admin " + settings_.admin_address);
    signals_.async_wait([this](std::error_code ec, int) {
      if (!ec) BeginStop();
    });
    auto traffic_guard = asio::make_work_guard(traffic_);
    std::thread traffic_thread([this] { traffic_.run(); });
    node_.Start();
    control_.run();
    traffic_guard.reset();
    traffic_.stop();
    traffic_thread.join();
    Log(LogPart::kApp, LogLevel::kInfo, "stopped");
    return 0;
  }

 private:
  Poster ControlPoster() {
    return
        [this](std::function<void()> f) { asio::post(control_, std::move(f)); };
  }

  StoreClient MakeStore() {
    return WithBreaker(
        WithCounter(HttpStoreClient(http_, settings_.store_url), store_calls_),
        control_timers_, breaker_);
  }

  PlatformClient MakePlatform() {
    PlatformClient client =
        MakeHttpPlatformClient(http_, settings_.platform_url);
    client.list_vms = [this, list_vms = client.list_vms](
                          Duration timeout,
                          PlatformCallback<std::vector<VmRecord>> done) {
      list_vms(timeout, [this, done = std::move(done)](
                            Result<std::vector<VmRecord>> listed) {
        LogVmList(listed.has_value());
        done(std::move(listed));
      });
    };
    return client;
  }

  void LogVmList(bool is_readable) {
    if (is_readable == is_vm_list_readable_) return;
    is_vm_list_readable_ = is_readable;
    if (is_readable) {
      Log(LogPart::kPlatform, LogLevel::kInfo, "VM list readable again");
    } else {
      Log(LogPart::kPlatform, LogLevel::kWarning, "VM list unreadable");
    }
  }

  TrafficOptions MakeTrafficOptions() const {
    TrafficOptions options;
    options.router.entry = settings_.entry;
    options.router.incarnation = incarnation_;
    options.router.seed = seed_;
    options.callers.address = Host(settings_.caller_address);
    options.callers.port = Port(settings_.caller_address);
    options.callers.max_connections = settings_.limits.connections;
    options.callers.max_header_bytes = settings_.limits.header_bytes;
    options.callers.max_body_bytes = settings_.limits.body_bytes;
    options.admin.address = Host(settings_.admin_address);
    options.admin.port = Port(settings_.admin_address);
    return options;
  }

  TrafficHooks MakeTrafficHooks() {
    return {
        .on_report =
            [this](LoadReport load) {
              TrafficReport report{
                  .load = std::move(load),
                  .queues = TotalsOf(traffic_server_.status())};
              asio::post(control_, [this, report = std::move(report)] {
                node_.TrafficReported(report);
                changes_.Observe({.entry = node_.status(),
                                  .state = node_.region_state(),
                                  .ejected = report.load.ejected,
                                  .is_store_reachable = !breaker_->is_open()});
              });
            },
        .on_admin =
            [this](IncomingRequest request, RespondHook respond) {
              OnAdmin(std::move(request), std::move(respond));
            },
        .forward_keyed =
            [this](IncarnationId issuer, IncomingRequest request,
                   RespondHook respond) {
              asio::post(control_, [this, issuer = std::move(issuer),
                                    request = std::move(request),
                                    respond = std::move(respond)] {
                ForwardKeyed(issuer, request, respond);
              });
            },
        .claim_key =
            [this](std::string key, std::function<void(ClaimResult)> done) {
              asio::post(control_,
                         [this, key = std::move(key), done = std::move(done)] {
                           ClaimKey(key, done);
                         });
            },
        .finish_key =
            [this](std::string key, KeyOutcome outcome) {
              asio::post(control_, [this, key = std::move(key), outcome] {
                claims_.Finish(key, outcome);
              });
            }};
  }

  void ClaimKey(const std::string& key,
                const std::function<void(ClaimResult)>& done) {
    claims_.Claim(key, [this, done](const ClaimResult& result) {
      asio::post(traffic_, [done, result] { done(result); });
    });
  }

  EntryNodeSettings MakeNodeSettings() const {
    EntryNodeSettings settings;
    settings.entry = settings_.entry;
    settings.incarnation = incarnation_;
    settings.region = settings_.region;
    settings.peer_address = settings_.peer_address;
    settings.seeds = settings_.peers;
    settings.admin_address = settings_.admin_address;
    settings.membership.lease_ttl = settings_.entry_lease;
    settings.seed = seed_;
    return settings;
  }

  EntryNodeHooks MakeNodeHooks() {
    return {
        .exchange =
            [this](const std::string& address, const ExchangeMessage& message,
                   Duration timeout, PeerCallback<ExchangeMessage> done) {
              peer_client_.Exchange(address, message, timeout, std::move(done));
            },
        .fetch_state =
            [this](const std::string& address, const FetchStateRequest& request,
                   Duration timeout, PeerCallback<FetchStateReply> done) {
              peer_client_.FetchState(address, request, timeout,
                                      std::move(done));
            },
        .check_health =
            [this](const VmId&, const std::string& address,
                   std::function<void(Result<EndpointHealth>)> done) {
              http_.Send({.url = "http://" + address + "/healthz",
                          .timeout = kHealthTimeout},
                         [done = std::move(done)](const HttpResult& result) {
                           done(HealthOf(result));
                         });
            },
        .wall_clock_s = WallClockS,
        .utc_offset_s = UtcOffsetS,
        .table_changed =
            [this](std::shared_ptr<const RegionState> state, Version version) {
              traffic_server_.Post(
                  RegionStateChanged{std::move(state), version});
            },
        .declarations_changed =
            [this](std::shared_ptr<const Declarations> declarations) {
              traffic_server_.Post(
                  DeclarationsChanged{std::move(declarations)});
            },
        .permit_changed =
            [this](Instant valid_until) {
              traffic_server_.Post(SendPermitChanged{valid_until});
            },
        .peer_load_received =
            [this](const LoadReport& report) {
              traffic_server_.Post(PeerLoadReceived{report});
            },
        .endpoint_leaving =
            [this](const EndpointLeaving& leaving) {
              traffic_server_.Post(leaving);
            }};
  }

  PeerHandlers MakePeerHandlers() {
    PeerHandlers handlers;
    handlers.exchange = [this](const ExchangeMessage& message,
                               const PeerCallback<ExchangeMessage>& done) {
      node_.HandleExchange(message, done);
    };
    handlers.fetch_state = [this](const FetchStateRequest& request,
                                  const PeerCallback<FetchStateReply>& done) {
      done(node_.HandleFetchState(request));
    };
    handlers.run_keyed = [this](const RunKeyedRequest& request,
                                const PeerCallback<RunKeyedReply>& done) {
      RunKeyed(request, done);
    };
    return handlers;
  }

  // Requests with a key that another entry issued. They run at the issuer
  // only; when it cannot be reached, or its answer is lost, the outcome is
  // unknown.

  void ForwardKeyed(const IncarnationId& issuer, const IncomingRequest& request,
                    const RespondHook& respond) {
    const std::string address = node_.PeerAddress(issuer);
    if (address.empty()) {
      RespondOnTraffic(respond,
                       ResponseForOutcome({.outcome = Outcome::kUnknown}));
      return;
    }
    RunKeyedRequest keyed{
        .key = std::string(request.header("Idempotency-Key")),
        .method = request.method,
        .queue = QueueId(std::string(QueueOfTarget(request.target))),
        .path = request.target,
        .team = TeamId(std::string(request.header("Pomelomill-Team"))),
        .deadline = kForwardTimeout,
        .body = request.body};
    for (const HttpHeader& it : request.headers)
      keyed.headers.push_back({it.name, it.value});
    peer_client_.RunKeyed(
        address, keyed, kForwardTimeout,
        [this, respond](const Result<RunKeyedReply>& reply) {
          OutgoingResponse response;
          if (reply && reply->status != 0) {
            response.status = reply->status;
            for (const PeerHeader& it : reply->headers)
              response.headers.push_back({it.name, it.value});
            response.body = reply->body;
          } else {
            response = ResponseForOutcome({.outcome = Outcome::kUnknown});
          }
          RespondOnTraffic(respond, std::move(response));
        });
  }

  void RunKeyed(const RunKeyedRequest& keyed,
                const PeerCallback<RunKeyedReply>& done) {
    IncomingRequest request{
        .method = keyed.method, .target = keyed.path, .body = keyed.body};
    for (const PeerHeader& it : keyed.headers)
      request.headers.push_back({it.name, it.value});
    traffic_server_.RunForPeer(
        std::move(request), [this, done](const OutgoingResponse& response) {
          RunKeyedReply reply{.outcome = KeyedOutcome::kAnswered,
                              .status = response.status,
                              .body = response.body};
          for (const HttpHeader& it : response.headers)
            reply.headers.push_back({it.name, it.value});
          asio::post(control_,
                     [done, reply = std::move(reply)] { done(reply); });
        });
  }

  void RespondOnTraffic(const RespondHook& respond, OutgoingResponse response) {
    asio::post(traffic_, [respond, response = std::move(response)] {
      respond(response);
    });
  }

  // Admin pages. The request arrives on the traffic thread, the node answers
  // on the control thread, and the response goes back.

  void OnAdmin(IncomingRequest request, RespondHook respond) {
    TrafficStatus traffic = traffic_server_.status();
    std::shared_ptr<const MetricRegistry> metrics;
    if (PathOf(request.target) == kMetricsPath)
      metrics = traffic_server_.metrics();
    asio::post(
        control_,
        [this, request = std::move(request), respond = std::move(respond),
         traffic = std::move(traffic), metrics = std::move(metrics)] {
          OutgoingResponse response = metrics && request.method == "GET"
                                          ? AnswerMetrics(traffic, *metrics)
                                          : Answer(request, traffic);
          asio::post(traffic_, [respond, response = std::move(response)] {
            respond(response);
          });
        });
  }

  OutgoingResponse AnswerMetrics(const TrafficStatus& traffic,
                                 const MetricRegistry& metrics) {
    return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
            .body = MetricsText(node_, traffic, metrics, *store_calls_,
                                control_timers_.Now())};
  }

  OutgoingResponse Answer(const IncomingRequest& request,
                          const TrafficStatus& traffic) {
    const std::string path = PathOf(request.target);
    if (path == "/-/drain") return AnswerDrain(request);
    if (request.method != "GET")
      return ErrorResponse(405, "only GET is allowed here");
    if (path == "/-/status") return Json(StatusJson(node_, traffic));
    if (path == "/-/explain")
      return Json(ExplainJson(decisions_, QueryValue(request.target, "kind"),
                              QueryValue(request.target, "name")));
    if (path == "/-/ready") {
      if (node_.is_ready()) return Json("{\"ready\":true}");
      return ErrorResponse(503, "this entry is not ready");
    }
    return ErrorResponse(404, "no such page");
  }

  OutgoingResponse AnswerDrain(const IncomingRequest& request) {
    if (request.method != "POST")
      return ErrorResponse(405, "only POST is allowed here");
    const Status status =
        node_.controller().DrainVm(VmId(QueryValue(request.target, "vm")));
    const EntryStatus entry = node_.status();
    if (status) return Json(DrainAcceptedJson(entry));
    if (status.error() != ControlError::kNotHolder)
      return ErrorResponse(404, status.error().message());
    OutgoingResponse response = Json(NotHolderJson(entry));
    response.status = 409;
    return response;
  }

  static OutgoingResponse Json(std::string body) {
    return {.headers = {{"Content-Type", "application/json"}},
            .body = std::move(body)};
  }

  // Graceful stop.

  void BeginStop() {
    Log(LogPart::kApp, LogLevel::kInfo, "stopping");
    node_.BeginLeaving();
    // A second signal ends the process without waiting for requests.
    signals_.async_wait([this](std::error_code ec, int) {
      if (!ec) control_.stop();
    });
    asio::post(traffic_, [this] {
      traffic_server_.Drain([this] {
        asio::post(control_, [this] {
          Log(LogPart::kTraffic, LogLevel::kInfo, "requests in hand finished");
          node_.Leave([this] { control_.stop(); });
        });
      });
    });
  }

  ServeSettings settings_;
  std::uint64_t seed_;
  IncarnationId incarnation_;
  asio::io_context control_;
  asio::io_context traffic_;
  AsioTimerService control_timers_;
  AsioTimerService traffic_timers_;
  HttpClient http_;
  asio::signal_set signals_;
  DecisionLog decisions_;
  PeerClient peer_client_;
  TrafficServer traffic_server_;
  std::shared_ptr<CircuitBreaker> breaker_ = std::make_shared<CircuitBreaker>();
  std::shared_ptr<CallCounter> store_calls_ = std::make_shared<CallCounter>();
  bool is_vm_list_readable_ = true;
  ChangeLog changes_{Log};
  StoreClient store_;
  KeyClaims claims_;
  EntryNode node_;
  PeerServer peer_server_;
};

ServeProcess::ServeProcess(ServeSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

ServeProcess::~ServeProcess() = default;

int ServeProcess::Run() { return impl_->Run(); }

}  // namespace pomelomill
