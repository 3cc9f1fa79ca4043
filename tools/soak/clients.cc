#include "clients.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <utility>

#include "caller_messages.h"
#include "wire.h"

namespace pomelomill::soak {
namespace {

using platform::stand_in::DecodeJobState;
using platform::stand_in::EncodeJob;
using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::StepShape;
using platform::stand_in::WireClient;
using platform::stand_in::WireReply;

constexpr int kPercent = 100;
constexpr int kTimeoutMs = 3'000;
constexpr int kRetryMs = 150;
constexpr std::int64_t kPauseMs = 500;
constexpr int kAgainPercent = 5;
constexpr int kCancelPercent = 8;
constexpr int kPollMs = 250;
constexpr std::uint64_t kClientSeed = 1'000'003;

std::string JobName(int client, int number) {
  std::array<char, 17> text{};
  const int written = std::snprintf(text.data(), text.size(), "%08x%08x",
                                    0xc0000000U + static_cast<unsigned>(client),
                                    static_cast<unsigned>(number));
  return written == 16 ? text.data() : "";
}

std::string StateOf(const WireReply& reply) {
  return reply.status == 200 ? DecodeJobState(reply.body)
                             : std::to_string(reply.status);
}

}  // namespace

std::int64_t Draw(std::mt19937_64& generator, std::int64_t low,
                  std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(generator);
}

Clients::Clients(std::vector<std::string> entries, std::uint64_t seed,
                 int racks, KeyRing& keys, Record& record)
    : entries_(std::move(entries)),
      seed_(seed),
      racks_(racks),
      keys_(keys),
      record_(record) {}

void Clients::Begin(int count) {
  for (int i = 0; i < count; ++i) threads_.emplace_back([this, i] { Run(i); });
}

void Clients::Finish(std::int64_t end) {
  end_ = end;
  is_ending_ = true;
  for (std::thread& it : threads_) it.join();
}

void Clients::AwaitComplete(std::int64_t end) {
  std::map<std::string, std::string> open;
  for (const std::string& it : accepted_) open[it] = "";
  const auto ask = [&](const std::string& entry) {
    WireClient client(entry);
    client.SetKey(keys_.Current(0));
    for (auto it = open.begin(); it != open.end() && SteadyMillis() < end;) {
      it->second =
          StateOf(client.Call("GET", kQueuePrefix + it->first, "", kTimeoutMs));
      it = it->second == "complete" ? open.erase(it) : std::next(it);
    }
  };
  for (std::size_t i = 0; !open.empty() && SteadyMillis() < end; ++i) {
    ask(entries_[i % entries_.size()]);
    if (!open.empty()) SleepMillis(kPollMs);
  }
  for (const auto& [job, state] : open)
    record_.Broken("LOST", job + " is " + (state.empty() ? "open" : state));
}

void Clients::Run(int client) {
  std::mt19937_64 generator(seed_ * kClientSeed +
                            static_cast<std::uint64_t>(client));
  std::vector<std::unique_ptr<WireClient>> connections;
  connections.reserve(entries_.size());
  for (const std::string& it : entries_)
    connections.push_back(std::make_unique<WireClient>(it));
  const auto call = [&](const std::string& method, const std::string& job,
                        const std::string& body) {
    const auto entry = static_cast<std::size_t>(
        Draw(generator, 0, static_cast<std::int64_t>(entries_.size()) - 1));
    connections[entry]->SetKey(keys_.Current(static_cast<std::size_t>(client)));
    return connections[entry]->Call(method, kQueuePrefix + job, body,
                                    kTimeoutMs);
  };
  const auto is_over = [this] { return is_ending_ && SteadyMillis() >= end_; };
  for (int number = 1; !is_ending_; ++number) {
    const std::string job = JobName(client, number);
    std::int64_t cpu_millis = 0;
    const std::string body = MakeJob(generator, cpu_millis);
    record_.SetWorkspace(job, keys_.Workspace(static_cast<std::size_t>(client)),
                         cpu_millis);
    int status = 0;
    while (status == 0 && !is_over()) {
      status = call("POST", job, body).status;
      record_.Attempted(job, status);
      if (status == 502 || status == 504) status = 0;
      if (status == 0) SleepMillis(kRetryMs);
    }
    const bool is_accepted = status >= 200 && status < 300;
    if (is_accepted && Draw(generator, 1, kPercent) <= kAgainPercent) {
      SleepMillis(Draw(generator, 0, 2 * kPauseMs));
      record_.Note("client POST " + job + " again " +
                   std::to_string(call("POST", job, body).status));
    }
    if (is_accepted && Draw(generator, 1, kPercent) <= kCancelPercent) {
      SleepMillis(Draw(generator, 0, kPauseMs));
      record_.Note("client DELETE " + job + " " +
                   std::to_string(call("DELETE", job, "").status));
    } else if (is_accepted) {
      const std::lock_guard lock(mutex_);
      accepted_.push_back(job);
    }
    SleepMillis(Draw(generator, 0, kPauseMs));
  }
}

std::string Clients::MakeJob(std::mt19937_64& generator,
                             std::int64_t& cpu_millis) const {
  const auto make_step = [&](std::int64_t duration) {
    StepShape step = {.tasks = Draw(generator, 1, 6),
                      .cpu_millis = Draw(generator, 1, 8) * 250,
                      .duration_ms = duration};
    if (Draw(generator, 0, 2) == 0)
      step.rack = "r" + std::to_string(Draw(generator, 0, racks_ - 1));
    step.is_spread_over_workers = Draw(generator, 0, 3) == 0;
    return step;
  };
  const std::int64_t duration = Draw(generator, 0, 3) == 0
                                    ? Draw(generator, 1'000, 3'500)
                                    : Draw(generator, 20, 900);
  std::vector<StepShape> steps = {make_step(duration)};
  if (Draw(generator, 0, 3) == 0) steps.push_back(make_step(duration));
  // The record counts each task with this size: all steps have the smallest.
  cpu_millis = steps.front().cpu_millis;
  for (const StepShape& it : steps)
    cpu_millis = std::min(cpu_millis, it.cpu_millis);
  for (StepShape& it : steps) it.cpu_millis = cpu_millis;
  return EncodeJob(steps);
}

}  // namespace pomelomill::soak
