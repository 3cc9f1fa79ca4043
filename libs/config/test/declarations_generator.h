#pragma once

#include <string>

#include "pomelomill/base/random.h"
#include "pomelomill/config/declarations.h"

namespace pomelomill {

/// Valid declarations of a random shape, up to a few dozen sections.
inline Declarations RandomDeclarations(Random& random) {
  using std::chrono::milliseconds;
  const auto name = [&](const char* prefix, std::uint64_t i) {
    return prefix + std::to_string(i) + (random.Chance(0.1) ? "-x.y_z" : "");
  };
  const auto below = [&](std::uint64_t n) {
    return static_cast<std::uint32_t>(random.Below(n));
  };
  Declarations d;
  d.fleet.name = name("fleet", random.Below(10));
  d.fleet.rack_size = 1 + below(8);
  d.fleet.store_calls_per_s = 1 + random.Unit() * 900;
  std::uint64_t zone = 0;
  const std::uint64_t regions = 1 + random.Below(3);
  // The order of regions is that of the file, not of their names.
  for (std::uint64_t i = regions; i-- > 0;) {
    const RegionId region(name("region", i));
    d.fleet.regions.push_back(region);
    for (std::uint64_t n = 1 + random.Below(4); n-- > 0;)
      d.fleet.zones[region].emplace_back(name("zone", ++zone));
  }
  std::uint64_t vm = 0;
  std::vector<PoolId> pools;
  for (std::uint64_t i = 0; i < random.Below(6); ++i) {
    PoolDeclaration pool;
    pool.id = PoolId(name("pool", i));
    pool.region = d.fleet.regions[random.Below(regions)];
    pool.size = 1 + below(50);
    pool.min_size = below(pool.size + 1);
    pool.slots = 1 + below(16);
    pool.connections = pool.slots + below(100);
    pool.cold_start = milliseconds(1 + random.Below(3'600'000));
    pool.is_spare = random.Chance(0.3);
    for (std::uint64_t n = random.Below(60); n-- > 0;)
      pool.vms.emplace_back(name("vm", ++vm));
    pools.push_back(pool.id);
    d.pools.emplace(pool.id, pool);
  }
  for (std::uint64_t i = 0; !pools.empty() && i < random.Below(6); ++i) {
    ServiceDeclaration service;
    service.id = ServiceId(name("service", i));
    service.pool = pools[random.Below(pools.size())];
    if (random.Chance(0.5)) service.title = "Proofs = quotes; [and] \xC3\xA9";
    for (std::uint64_t n = random.Below(4); n-- > 0;) {
      QueueDeclaration queue;
      queue.id = QueueId(service.id.value() + '/' + name("queue", n));
      queue.service = service.id;
      queue.urgency = static_cast<Urgency>(random.Below(3));
      queue.service_time = milliseconds(1 + random.Below(1'000));
      queue.deadline =
          queue.service_time + milliseconds(random.Below(1'000'000));
      queue.window = queue.deadline + milliseconds(1'000 + random.Below(1'000));
      queue.availability = 0.5 + random.Unit() / 2.1;
      queue.is_repeatable = random.Chance(0.5);
      queue.mean_rate = random.Unit() * 0.01;
      queue.max_waiting = 1 + below(10'000);
      d.queues.emplace(queue.id, queue);
    }
    d.services.emplace(service.id, service);
  }
  for (std::uint64_t i = 0; i < random.Below(4); ++i) {
    TeamDeclaration team;
    team.id = TeamId(name("team", i));
    team.weight = random.Unit() * 100 + 1e-6;
    team.max_rate = random.Chance(0.5) ? 0 : random.Unit() * 1e5;
    team.quota_cores = below(1'000);
    JobClassDeclaration job;
    job.id = name("job", i);
    job.team = team.id;
    job.is_urgent = random.Chance(0.5);
    job.cores = 1 + below(64);
    job.memory_mb = 1 + below(100'000);
    job.accelerators = below(9);
    job.run_time = milliseconds(1 + random.Below(1'000'000'000));
    job.can_checkpoint = random.Chance(0.5);
    job.can_throttle = random.Chance(0.5);
    job.max_attempts = 1 + below(10);
    d.teams.emplace(team.id, team);
    d.job_classes.emplace(job.id, job);
  }
  for (std::uint64_t i = 0; i < random.Below(3); ++i) {
    MaintenanceDeclaration wave;
    wave.id = WaveId(name("wave", i));
    for (const PoolId& pool : pools) {
      if (random.Chance(0.5)) wave.pools.push_back(pool);
    }
    wave.action = static_cast<MaintenanceAction>(random.Below(2));
    wave.every = milliseconds(random.Below(10'000'000'000));
    if (random.Chance(0.5)) wave.not_before_minute = below(720);
    if (random.Chance(0.5)) wave.deadline_minute = 720 + below(720);
    wave.max_failed_share = random.Unit();
    d.maintenance.emplace(wave.id, wave);
  }
  return d;
}

}  // namespace pomelomill
