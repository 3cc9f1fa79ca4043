#include "scenario.h"

#include <ini.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <string>

#include "pomelomill/base/random.h"
#include "pomelomill/config/parse.h"

namespace pomelomill::measure {
namespace {

int ReadKey(void* user, const char* section, const char* name,
            const char* value) {
  Scenario& scenario = *static_cast<Scenario*>(user);
  const std::string key = name;
  if (std::string(section) != "scenario") return 0;
  if (key == "name") {
    scenario.name = value;
    return 1;
  }
  if (key == "deployment") {
    scenario.deployment = value;
    return 1;
  }
  const std::map<std::string, double*> numbers = {
      {"duration_s", &scenario.duration_s},
      {"peak_factor", &scenario.peak_factor},
      {"peak_duration_s", &scenario.peak_duration_s},
      {"peak_spacing_s", &scenario.peak_spacing_s},
      {"trough_factor", &scenario.trough_factor},
      {"wave_at_s", &scenario.wave_at_s},
      {"rack_lost_at_s", &scenario.rack_lost_at_s},
      {"rack_lost_for_s", &scenario.rack_lost_for_s},
      {"zone_lost_at_s", &scenario.zone_lost_at_s},
      {"zone_lost_for_s", &scenario.zone_lost_for_s},
      {"entries", &scenario.entries},
      {"store_down_at_s", &scenario.store_down_at_s},
      {"store_down_for_s", &scenario.store_down_for_s}};
  const auto it = numbers.find(key);
  if (it == numbers.end()) return 0;
  char* end = nullptr;
  *it->second = std::strtod(value, &end);
  return end != value && *end == '\0' ? 1 : 0;
}

}  // namespace

Result<Scenario> ReadScenario(const std::string& path) {
  Scenario scenario;
  if (ini_parse(path.c_str(), ReadKey, &scenario) != 0)
    return Unexpected(make_error_code(std::errc::invalid_argument));
  const auto slash = path.rfind('/');
  const std::string folder =
      slash == std::string::npos ? "." : path.substr(0, slash);
  const std::string file = folder + "/" + scenario.deployment;
  const auto text = ReadFile(file);
  if (!text) return Unexpected(text.error());
  auto declarations = Parse(*text, file);
  if (!declarations)
    return Unexpected(make_error_code(std::errc::invalid_argument));
  scenario.declarations = std::move(*declarations);
  return scenario;
}

double PeakInterval(const Scenario& scenario) {
  return scenario.peak_spacing_s *
         static_cast<double>(scenario.declarations.queues.size());
}

std::vector<Request> MakeWorkload(const Scenario& scenario,
                                  std::uint64_t seed) {
  std::vector<Request> requests;
  const double interval = PeakInterval(scenario);
  const double peak = scenario.peak_duration_s;
  const double trough = std::min(
      interval - peak, peak * (scenario.peak_factor - 1) /
                           (1 - std::min(0.99, scenario.trough_factor)));
  int queue = 0;
  for (const auto& [id, declared] : scenario.declarations.queues) {
    Random random(seed * 1000 + static_cast<std::uint64_t>(queue));
    const double offset = scenario.peak_spacing_s * (queue + 1);
    double t = 0;
    while (t < scenario.duration_s) {
      double phase = std::fmod(t - offset, interval);
      if (phase < 0) phase += interval;
      double factor = 1;
      double until = interval;
      if (t >= offset && phase < peak) {
        factor = scenario.peak_factor;
        until = peak;
      } else if (t >= offset && phase < peak + trough) {
        factor = scenario.trough_factor;
        until = peak + trough;
      }
      const double gap = random.Exponential(1 / (declared.mean_rate * factor));
      // Beyond the end of the phase the rate changes; a Poisson process has no
      // memory, so the draw starts again there.
      if (phase + gap > until) {
        t += until - phase + 1e-9;
        continue;
      }
      t += gap;
      if (t >= scenario.duration_s) break;
      requests.push_back(
          {t, random.Exponential(ToSeconds(declared.service_time)), queue});
    }
    ++queue;
  }
  std::stable_sort(
      requests.begin(), requests.end(),
      [](const Request& a, const Request& b) { return a.at < b.at; });
  return requests;
}

}  // namespace pomelomill::measure
