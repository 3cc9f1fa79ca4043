#pragma once

#include <string>

#include "job_world.h"

namespace pomelomill {

/// A scheduler with its model of the workers.
struct Fleet {
  Fleet(const WorldSettings& world_settings, const JobSettings& job_settings)
      : scheduler(job_settings, Epoch(1), &decisions),
        world(world_settings, [this](const JobEvent& event, Instant now) {
          return scheduler.Handle(event, now);
        }) {}

  DecisionLog decisions;
  JobScheduler scheduler;
  JobWorld world;
};

inline JobClassDeclaration TestClass(const std::string& id,
                                     const std::string& team,
                                     std::uint32_t cores, Duration run_time) {
  JobClassDeclaration job_class;
  job_class.id = id;
  job_class.team = TeamId(team);
  job_class.cores = cores;
  job_class.memory_mb = 1024 * cores;
  job_class.run_time = run_time;
  return job_class;
}

/// Teams t0, t1, ... with the same quota.
inline TeamsDeclared TestTeams(int n, std::uint32_t quota) {
  TeamsDeclared event;
  for (int i = 0; i < n; ++i) {
    const TeamId id("t" + std::to_string(i));
    event.teams[id] = {id, 1, 0, quota};
  }
  return event;
}

}  // namespace pomelomill
