#include "bench.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <functional>
#include <vector>

#include "pomelomill/http.h"

namespace pomelomill::measure {

BenchResult RunClosedLoop(const std::string& url, int concurrency,
                          Duration duration) {
  asio::io_context context(1);
  AsioTimerService timers(context);
  HttpClient client(context);
  BenchResult bench;
  std::vector<Duration> latencies;
  const Instant start = timers.Now();
  int open = concurrency;
  std::function<void()> next = [&] {
    const Instant sent_at = timers.Now();
    if (sent_at - start >= duration) {
      if (--open == 0) context.stop();
      return;
    }
    HttpRequest request;
    request.url = url;
    client.Send(std::move(request), [&, sent_at](const HttpResult& result) {
      if (!result.error && result.response.status == 200) {
        ++bench.answered;
        latencies.push_back(timers.Now() - sent_at);
      } else {
        ++bench.failed;
      }
      next();
    });
  };
  for (int i = 0; i < concurrency; ++i) next();
  context.run();
  bench.seconds = ToSeconds(timers.Now() - start);
  std::sort(latencies.begin(), latencies.end());
  if (!latencies.empty()) {
    bench.p50 = latencies[latencies.size() / 2];
    bench.p99 = latencies[latencies.size() * 99 / 100];
  }
  return bench;
}

}  // namespace pomelomill::measure
