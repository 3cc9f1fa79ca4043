// The part of Router that applies declarations and region states.

#include <algorithm>
#include <utility>

#include "pomelomill/routing/router.h"

namespace pomelomill {
namespace {

// Tokens of a full budget for retries and hedges.
constexpr double kRetryReserve = 10;
constexpr double kHedgeReserve = 3;

}  // namespace

void Router::On(const RegionStateChanged& event) {
  if (event.state == nullptr || event.version < endpoints_.version()) return;
  endpoints_.SetRegionState(*event.state, event.version, now_);
  shares_ = event.state->shares;
  On(DeclarationsChanged{declarations_});
}

void Router::On(const DeclarationsChanged& event) {
  if (event.declarations == nullptr) return;
  declarations_ = event.declarations;
  endpoints_.SetDeclarations(*declarations_, now_);
  FinishUndeclared();
  std::map<QueueId, Queue> queues;
  std::map<PoolId, Pool> pools;
  for (const auto& [id, declaration] : declarations_->queues) {
    const auto service = declarations_->services.find(declaration.service);
    if (service == declarations_->services.end()) continue;
    const PoolId& pool = service->second.pool;
    auto old = queues_.extract(id);
    const bool is_same_budget =
        !old.empty() &&
        old.mapped().declaration.availability == declaration.availability &&
        old.mapped().declaration.window == declaration.window;
    const double expected =
        declaration.mean_rate * QuotaShare() * ToSeconds(declaration.window);
    Queue queue{
        .declaration = declaration,
        .pool = pool,
        .waiting = old.empty() ? DeadlineQueue(declaration.max_waiting)
                               : std::move(old.mapped().waiting),
        .arrived = old.empty() ? 0 : old.mapped().arrived,
        .budget = is_same_budget ? old.mapped().budget
                                 : ErrorBudget(declaration.availability,
                                               declaration.window, expected),
        .latency = old.empty() ? LatencyEstimate(declaration.service_time)
                               : old.mapped().latency};
    queue.waiting.set_capacity(declaration.max_waiting);
    queues.emplace(id, std::move(queue));
    auto known = pools_.find(pool);
    auto [it, is_new] = pools.try_emplace(
        pool, known != pools_.end()
                  ? known->second
                  : Pool{.queues = {},
                         .retries = {options_.retry_share, kRetryReserve},
                         .hedges = {options_.hedge_share, kHedgeReserve},
                         .retries_paused_until = {}});
    if (is_new) it->second.queues.clear();
    it->second.queues.push_back(id);
  }
  queues_ = std::move(queues);
  pools_ = std::move(pools);
  for (const auto& [id, team] : declarations_->teams) {
    if (team.max_rate <= 0) {
      quotas_.erase(id);
      continue;
    }
    const double rate = team.max_rate * QuotaShare();
    const double burst = std::max(1.0, rate);
    const auto [it, is_new] = quotas_.try_emplace(id, rate, burst, now_);
    if (!is_new) it->second.Configure(rate, burst, now_);
  }
  std::erase_if(quotas_, [this](const auto& item) {
    return !declarations_->teams.contains(item.first);
  });
  DispatchAll();
}

void Router::FinishUndeclared() {
  std::vector<RequestId> undeclared;
  for (const auto& [id, queue] : queues_) {
    const auto found = declarations_->queues.find(id);
    if (found != declarations_->queues.end() &&
        declarations_->services.contains(found->second.service)) {
      continue;
    }
    for (const auto& [request_id, request] : requests_) {
      if (request.queue == id && request.state == State::kWaiting) {
        undeclared.push_back(request_id);
      }
    }
  }
  std::sort(undeclared.begin(), undeclared.end());
  for (const RequestId id : undeclared) {
    FinishUnanswered(id, OutcomeReason::kNoSuchQueue);
  }
}

double Router::QuotaShare() const {
  std::uint64_t sum = 0;
  std::uint64_t own = 0;
  for (const EntryShare& share : shares_) {
    sum += share.weight;
    if (share.entry == options_.entry && share.phase == SharePhase::kActive) {
      own = share.weight;
    }
  }
  return sum == 0 ? 1.0 : static_cast<double>(own) / static_cast<double>(sum);
}

}  // namespace pomelomill
