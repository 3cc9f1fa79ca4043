// Runs the exchanges of a whole fleet of entries in virtual time and prints,
// as CSV, what they cost per entry. Messages are serialised and parsed as on
// the wire; the framing of HTTP/2 and the network itself are not included.

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "pomelomill/base.h"
#include "pomelomill/membership.h"
#include "pomelomill/peer.h"
#include "wire.h"

namespace pomelomill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Share of pools whose load changes by enough to be sent, in each interval.
constexpr double kChangedPools = 0.5;
constexpr auto kWarmUp = seconds(10);
constexpr auto kMeasured = seconds(60);
constexpr std::uint64_t kSeed = 20261204;

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

struct Row {
  int entries = 0;
  int regions = 0;
  int pools = 0;
  double sent = 0;
  double received = 0;
  double messages = 0;
  double cpu_percent = 0;
  double cpu_us_per_message = 0;
  double memory_kb = 0;
};

class Fleet {
 public:
  /// The pools are divided evenly between the regions.
  Fleet(int entries, int regions, int pools)
      : random_(kSeed), pools_(pools / regions) {
    const int per_region = entries / regions;
    shares_.resize(static_cast<std::size_t>(regions));
    for (int i = 0; i < entries; ++i) {
      const std::string name = "entry-" + std::to_string(i);
      shares_[static_cast<std::size_t>(i / per_region)].push_back(
          {.entry = EntryId(name),
           .incarnation = IncarnationId(name + "-5f1c9a7e03b2")});
    }
    for (std::size_t region = 0; region < shares_.size(); ++region) {
      for (const EntryShare& share : shares_[region]) {
        nodes_.push_back(std::make_unique<Node>(*this, share, region));
        by_address_[nodes_.back()->table.self().address] = nodes_.back().get();
      }
    }
    for (const auto& node : nodes_) {
      for (const auto& other : nodes_) {
        (void)node->table.Learn(other->table.self());
      }
      node->permit.StateInForce(Version(1), shares_[node->region]);
      node->loop.Start();
    }
    ChangeLoads();
  }

  void Run(Duration length) { timers_.Advance(length); }

  std::uint64_t bytes_sent = 0;
  std::uint64_t messages = 0;
  /// Processor time of the simulation itself, outside the measured code.
  double overhead_s = 0;

 private:
  struct Node {
    Node(Fleet& fleet, const EntryShare& share, std::size_t region_in)
        : region(region_in),
          table({.entry = share.entry,
                 .incarnation = share.incarnation,
                 .region = RegionId("region-" + std::to_string(region_in)),
                 .address = "10.0.0." + share.entry.value().substr(6) + ":9000",
                 .registration = Version(1)},
                {}),
          permit(share.incarnation, {}),
          loop(fleet.timers_, table, permit, book,
               {.send =
                    [&fleet](const std::string& address,
                             const ExchangeMessage& message, Duration,
                             PeerCallback<ExchangeMessage> done) {
                      fleet.Send(address, message, std::move(done));
                    },
                .own_report =
                    [] {
                      MemberReport report;
                      report.config_revision = Revision(1500);
                      report.state_version = Version(1);
                      report.shares_version = Version(1);
                      report.lease_age = seconds(2);
                      report.in_flight = 120;
                      return report;
                    },
                .shares = [&fleet,
                           region_in] { return fleet.shares_[region_in]; },
                .on_contact = nullptr,
                .on_replaced = nullptr},
               fleet.random_.Next()) {}

    std::size_t region;
    MemberTable table;
    SendPermit permit;
    ExchangeBook book;
    ExchangeLoop loop;
  };

  Result<ExchangeMessage> Transfer(const ExchangeMessage& message) {
    peer::ExchangeMessage out;
    wire::ToWire(message, &out);
    const std::string bytes = out.SerializeAsString();
    bytes_sent += bytes.size();
    ++messages;
    peer::ExchangeMessage in;
    if (!in.ParseFromString(bytes)) {
      return Unexpected(PeerError::kBadMessage);
    }
    return wire::FromWire(in);
  }

  void Send(const std::string& address, const ExchangeMessage& message,
            PeerCallback<ExchangeMessage> done) {
    Node* to = by_address_.at(address);
    auto request = std::make_shared<Result<ExchangeMessage>>(Transfer(message));
    timers_.ScheduleAfter(
        milliseconds(1), [this, to, request, done = std::move(done)] {
          to->loop.Handle(**request, [&](const Result<ExchangeMessage>& it) {
            done(it ? Transfer(*it) : it);
          });
        });
  }

  void ChangeLoads() {
    const double start = CpuSeconds();
    for (const auto& node : nodes_) {
      for (int i = 0; i < pools_; ++i) {
        if (!random_.Chance(kChangedPools)) continue;
        node->book.SetPool(
            {.pool = PoolId("pool-" + std::to_string(i)),
             .queued = static_cast<std::uint32_t>(random_.Below(50)),
             .in_flight = static_cast<std::uint32_t>(random_.Below(64)),
             .free_slots = static_cast<std::uint32_t>(random_.Below(64))});
      }
    }
    overhead_s += CpuSeconds() - start;
    timers_.ScheduleAfter(milliseconds(500), [this] { ChangeLoads(); });
  }

  Random random_;
  int pools_;
  VirtualTimerService timers_;
  std::vector<std::vector<EntryShare>> shares_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, Node*> by_address_;
};

Row Measure(int entries, int regions, int pools) {
  const std::size_t before = mallinfo2().uordblks;
  Fleet fleet(entries, regions, pools);
  fleet.Run(kWarmUp);
  fleet.bytes_sent = 0;
  fleet.messages = 0;
  fleet.overhead_s = 0;
  const double start = CpuSeconds();
  fleet.Run(kMeasured);
  const double cpu = CpuSeconds() - start - fleet.overhead_s;
  const std::size_t after = mallinfo2().uordblks;
  const double time = ToSeconds(kMeasured);
  const double n = entries;
  const auto messages = static_cast<double>(fleet.messages);
  Row row{.entries = entries, .regions = regions, .pools = pools};
  row.sent = static_cast<double>(fleet.bytes_sent) / time / n;
  // Every message is received by an entry of the fleet.
  row.received = row.sent;
  row.messages = messages / time / n;
  row.cpu_percent = 100 * cpu / time / n;
  row.cpu_us_per_message = 1e6 * cpu / messages;
  row.memory_kb = static_cast<double>(after - before) / 1024 / n;
  return row;
}

/// Least squares line of `value` over `x`, with its largest relative error.
void PrintFit(const char* over, const char* name, const std::vector<Row>& rows,
              double (*x)(const Row&), double (*value)(const Row&)) {
  double mean_x = 0;
  double mean_y = 0;
  for (const Row& row : rows) {
    mean_x += x(row);
    mean_y += value(row);
  }
  mean_x /= static_cast<double>(rows.size());
  mean_y /= static_cast<double>(rows.size());
  double covariance = 0;
  double variance = 0;
  for (const Row& row : rows) {
    covariance += (x(row) - mean_x) * (value(row) - mean_y);
    variance += (x(row) - mean_x) * (x(row) - mean_x);
  }
  const double slope = variance == 0 ? 0 : covariance / variance;
  double error = 0;
  for (const Row& row : rows) {
    const double fitted = mean_y + slope * (x(row) - mean_x);
    error = std::max(error, std::abs(fitted - value(row)) / value(row));
  }
  std::printf("fit,%s,%s,slope=%.6g,intercept=%.6g,largest_error=%.3f\n", over,
              name, slope, mean_y - slope * mean_x, error);
}

void PrintFits(const char* over, const std::vector<Row>& rows,
               double (*x)(const Row&)) {
  PrintFit(over, "bytes_sent_per_s", rows, x,
           [](const Row& row) { return row.sent; });
  PrintFit(over, "cpu_percent", rows, x,
           [](const Row& row) { return row.cpu_percent; });
  PrintFit(over, "memory_kb", rows, x,
           [](const Row& row) { return row.memory_kb; });
}

void Run() {
  std::printf(
      "entries,regions,pools,bytes_sent_per_s,bytes_received_per_s,"
      "messages_per_s,cpu_percent,cpu_us_per_message,memory_kb\n");
  std::vector<Row> over_pools;
  std::vector<Row> over_pools_of_regions;
  for (const auto& [entries, regions] :
       {std::pair(3, 1), std::pair(9, 1), std::pair(18, 2), std::pair(36, 4)}) {
    for (const int pools : {10, 80, 317}) {
      const Row row = Measure(entries, regions, pools);
      std::printf("%d,%d,%d,%.0f,%.0f,%.1f,%.4f,%.1f,%.0f\n", row.entries,
                  row.regions, row.pools, row.sent, row.received, row.messages,
                  row.cpu_percent, row.cpu_us_per_message, row.memory_kb);
      if (entries == 9) over_pools.push_back(row);
      if (regions == 4) over_pools_of_regions.push_back(row);
    }
  }
  PrintFits("pools at 9 entries", over_pools,
            [](const Row& row) { return static_cast<double>(row.pools); });
  PrintFits("pools at 36 entries in 4 regions", over_pools_of_regions,
            [](const Row& row) { return static_cast<double>(row.pools); });
}

}  // namespace
}  // namespace pomelomill

int main() {
  pomelomill::Run();
  return 0;
}
