#include "dispatch_command.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>
#include <vector>

#include "adapter.h"
#include "event_output.h"
#include "pomelomill/base/asio_timer_service.h"
#include "pomelomill/config.h"
#include "pomelomill/http/persistent_http_client.h"
#include "pomelomill/jobserver/job_server.h"

namespace pomelomill {
namespace {

constexpr int kExitUsageError = 2;

std::string ResolveSettingsPath(const std::string& given) {
  if (!given.empty()) return given;
  const char* const file = std::getenv("POMELOMILL_SETTINGS");
  return file == nullptr ? "" : file;
}

IncarnationId MakeIncarnationId(const EntryId& entry) {
  std::random_device device;
  return IncarnationId(entry.value() + "." + std::to_string(device()) + "." +
                       std::to_string(device()));
}

std::int64_t UnixTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Calls `reload` at each SIGHUP. The dispatch command only validates the
/// settings file then: addresses and leases take effect at the next start.
class SighupHandler {
 public:
  SighupHandler(asio::io_context& context, std::function<void()> reload)
      : signals_(context, SIGHUP), reload_(std::move(reload)) {
    Wait();
  }

 private:
  void Wait() {
    signals_.async_wait([this](std::error_code ec, int) {
      if (ec) return;
      reload_();
      Wait();
    });
  }

  asio::signal_set signals_;
  std::function<void()> reload_;
};

}  // namespace

int RunDispatch(const std::string& settings_file, bool rejects_overload) {
  const std::string file = ResolveSettingsPath(settings_file);
  const auto text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": " << text.error().message() << "\n";
    return kExitUsageError;
  }
  const auto settings = ParseJobServiceSettings(*text, file);
  if (!settings) {
    for (const Diagnostic& it : settings.error())
      std::cerr << ToText(it) << "\n";
    return kExitUsageError;
  }
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context context(1);
  AsioTimerService timers(context);
  EventOutput output(timers);
  const EventHook event = [&](std::string_view part, std::string_view name,
                              const std::vector<EventField>& fields) {
    output.Write(part, name, fields);
  };
  PersistentHttpClient http(
      context, {.on_repeat = [&event](const HttpRequest& request) {
        event("http", "repeat",
              {{"method", request.method}, {"target", request.url}});
      }});
  const PlatformHooks hooks = platform::MakePlatformHooks(http, *settings);
  JobServer server(context, timers, http, hooks, *settings,
                   MakeIncarnationId(settings->entry),
                   {.wall_ms = UnixTimeMs,
                    .event = event,
                    .on_stopped = [&context] { context.stop(); },
                    .rejects_overload = rejects_overload});
  if (const Status status = server.Start(); !status) {
    event("server", "failed", {{"error", status.error().message()}});
    return 1;
  }
  asio::signal_set stop(context, SIGTERM, SIGINT);
  stop.async_wait([&server](std::error_code ec, int) {
    if (!ec) server.Stop();
  });
  const SighupHandler reload(context, [&] {
    std::string outcome = "invalid";
    if (const auto reread_text = ReadFile(file)) {
      const auto parsed = ParseJobServiceSettings(*reread_text, file);
      if (parsed)
        outcome = *parsed == *settings ? "unchanged" : "needs a restart";
    }
    event("server", "reload", {{"outcome", outcome}});
  });
  context.run();
  return 0;
}

}  // namespace pomelomill
