#include "load_run.h"

#include <algorithm>
#include <utility>

namespace pomelomill::load {
namespace {

CallResult Judge(const HttpResult& result, const std::string& id) {
  if (result.error) return CallResult::kBroken;
  const std::string_view outcome = result.response.header("Pomelomill-Outcome");
  if (outcome == "not-run") return CallResult::kNotRun;
  if (outcome == "unknown") return CallResult::kUnknown;
  if (result.response.status != 200) return CallResult::kAnsweredOther;
  return result.response.body == "run " + id + "\n" ? CallResult::kAnsweredWhole
                                                    : CallResult::kWrong;
}

/// The text of {"error": TEXT}, which entries send with their own responses.
std::string ReasonOf(const HttpResult& result) {
  if (result.error) return result.error.message();
  constexpr std::string_view kStart = "{\"error\":\"";
  const std::string& body = result.response.body;
  if (!body.starts_with(kStart)) return "";
  return body.substr(kStart.size(),
                     body.find('"', kStart.size()) - kStart.size());
}

}  // namespace

LoadRun::LoadRun(HttpClient& client, TimerService& timers, LoadOptions options)
    : client_(client),
      timers_(timers),
      options_(std::move(options)),
      random_(options_.seed),
      is_ready_(options_.targets.size(), true) {}

void LoadRun::Start(std::function<void()> done) {
  done_ = std::move(done);
  start_ = timers_.Now();
  sending_ = options_.queues.size();
  for (std::size_t i = 0; i < options_.readiness.size(); ++i) AskReadiness(i);
  for (std::size_t i = 0; i < options_.queues.size(); ++i) ScheduleNext(i);
}

double LoadRun::RateOf(std::size_t queue) const {
  const auto turn =
      static_cast<std::size_t>((timers_.Now() - start_) / options_.peak);
  const std::size_t n = options_.queues.size();
  const double mean = options_.queues[queue].mean_rate;
  if (turn % n == queue) return mean * options_.peak_factor;
  if (turn > 0 && (turn - 1) % n == queue) return mean * options_.rest_factor;
  return mean;
}

void LoadRun::ScheduleNext(std::size_t queue) {
  // Gaps are cut at a tenth of a peak, so that a low rate does not reach into
  // the queue's own peak.
  const Duration longest = options_.peak / 10;
  const double s = random_.Exponential(1 / RateOf(queue));
  const bool is_cut = s > ToSeconds(longest);
  const Duration gap =
      is_cut ? longest : Duration(static_cast<std::int64_t>(s * 1e9));
  timers_.ScheduleAfter(gap, [this, queue, is_cut] {
    if (timers_.Now() - start_ >= options_.duration) {
      --sending_;
      return CheckDone();
    }
    if (!is_cut) Call(queue);
    ScheduleNext(queue);
  });
}

void LoadRun::Call(std::size_t queue) {
  const QueueLoad& load = options_.queues[queue];
  const std::string id = options_.prefix + std::to_string(next_id_++);
  calls_[id] = {.queue = load.queue,
                .is_order = load.is_order,
                .started = timers_.Now() - start_};
  ++open_;
  const std::uint64_t target = ReadyFrom(next_id_);
  switch (load.key) {
    case KeyKind::kNone:
      return Send(id, target, options_.targets.size());
    case KeyKind::kIssued:
      return AskForKey(id, target);
    case KeyKind::kOwn:
      return SendKeyed(id, "order-" + id, target, options_.targets.size());
  }
}

void LoadRun::AskReadiness(std::size_t target) {
  if (sending_ == 0) return;
  timers_.ScheduleAfter(options_.readiness_interval,
                        [this, target] { AskReadiness(target); });
  client_.Send({.url = options_.readiness[target],
                .timeout = options_.readiness_interval},
               [this, target](const HttpResult& result) {
                 is_ready_[target] =
                     !result.error && result.response.status == 200;
               });
}

std::uint64_t LoadRun::ReadyFrom(std::uint64_t target) const {
  const std::size_t n = options_.targets.size();
  for (std::size_t i = 0; i < n; ++i) {
    if (is_ready_[(target + i) % n]) return target + i;
  }
  return target;
}

HttpRequest LoadRun::RequestFor(const std::string& id,
                                std::uint64_t target) const {
  const CallRecord& call = calls_.at(id);
  HttpRequest request;
  request.method = "POST";
  request.url = options_.targets[target % options_.targets.size()] + "/" +
                call.queue + "/" + id;
  request.headers.push_back({"X-Request-Id", id});
  request.body = "work";
  request.timeout = options_.timeout;
  // The generator itself must not repeat an order.
  request.use_fresh_connection = call.is_order;
  return request;
}

void LoadRun::Send(const std::string& id, std::uint64_t target,
                   std::size_t tries) {
  client_.Send(RequestFor(id, target),
               [this, id, target, tries](const HttpResult& result) {
                 // The platform's load balancer goes on to the next entry when
                 // one accepts no connection.
                 if (result.error && !result.may_have_been_sent && tries > 1)
                   return Send(id, ReadyFrom(target + 1), tries - 1);
                 Finish(id, result);
               });
}

void LoadRun::AskForKey(const std::string& id, std::uint64_t target) {
  const std::string& entry = options_.targets[target % options_.targets.size()];
  client_.Send({.method = "POST",
                .url = entry + "/-/keys?n=1",
                .timeout = options_.timeout},
               [this, id, target](const HttpResult& result) {
                 const std::string& body = result.response.body;
                 const auto first = body.find("[\"");
                 const auto last = body.find("\"]");
                 if (result.error || first == std::string::npos ||
                     last == std::string::npos)
                   return Finish(id, result);
                 SendKeyed(id, body.substr(first + 2, last - first - 2),
                           ReadyFrom(target + 1), options_.targets.size());
               });
}

void LoadRun::SendKeyed(const std::string& id, const std::string& key,
                        std::uint64_t target, std::size_t tries) {
  HttpRequest request = RequestFor(id, target);
  request.headers.push_back({"Idempotency-Key", key});
  if (random_.Chance(0.1)) {
    HttpRequest copy = RequestFor(id, ReadyFrom(target + 1));
    copy.headers = request.headers;
    ++open_;
    client_.Send(std::move(copy), [this, id](const HttpResult& result) {
      Note(id, result);
      --open_;
      CheckDone();
    });
  }
  client_.Send(std::move(request), [this, id, key, target,
                                    tries](const HttpResult& result) {
    const CallResult seen = Judge(result, id);
    const bool is_open =
        seen == CallResult::kBroken || seen == CallResult::kUnknown;
    // The copy may have got the response.
    const bool has_response =
        calls_.at(id).result == CallResult::kAnsweredWhole;
    if (is_open && !has_response && tries > 1) {
      timers_.ScheduleAfter(options_.readiness_interval, [=, this] {
        SendKeyed(id, key, ReadyFrom(target + 1), tries - 1);
      });
      return;
    }
    Finish(id, result);
  });
}

void LoadRun::Note(const std::string& id, const HttpResult& result) {
  CallRecord& record = calls_.at(id);
  if (record.result == CallResult::kAnsweredWhole) return;
  record.result = Judge(result, id);
  record.latency = timers_.Now() - start_ - record.started;
  if (record.result != CallResult::kAnsweredWhole)
    record.reason = ReasonOf(result);
}

void LoadRun::Finish(const std::string& id, const HttpResult& result) {
  Note(id, result);
  --open_;
  CheckDone();
}

void LoadRun::CheckDone() {
  if (sending_ == 0 && open_ == 0 && done_) std::exchange(done_, {})();
}

}  // namespace pomelomill::load
