// Measures the cost and speed of the membership protocol for groups of 3 to 380
// members in one process, over the in-memory switch with a manual clock. Writes
// one JSON line per figure to standard output and to the file named by the
// first argument.
//
// CPU time includes the switch, so it is an upper bound for the protocol. It
// does not include the system calls of the UDP adapter.
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "member_switch.h"

namespace bramleybank {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::MemberSwitch;

constexpr int kSizes[] = {3, 9, 30, 100, 380};
constexpr int kTrials = 10;
constexpr uint64_t kSeed = 1;

class FigureWriter {
 public:
  explicit FigureWriter(const char* path) {
    if (path != nullptr) {
      m_file.open(path);
    }
  }

  void Write(int members,
             const std::string& figure,
             double value,
             const std::string& unit) {
    const json line = {{"bench", "member"}, {"members", members},
                       {"figure", figure},  {"value", value},
                       {"unit", unit},      {"seed", kSeed}};
    std::cout << line.dump() << std::endl;
    if (m_file.is_open()) {
      m_file << line.dump() << std::endl;
    }
  }

 private:
  std::ofstream m_file;
};

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto to_seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return to_seconds(usage.ru_utime) + to_seconds(usage.ru_stime);
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return -1;
  }
  std::ranges::sort(values);
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(q * last + 0.5)];
}

struct Sent {
  double bytes = 0;
  double datagrams = 0;
};

std::vector<Sent> SentByMember(MemberSwitch* net) {
  std::vector<Sent> all;
  for (const auto& [peer, node] : net->nodes()) {
    if (node.protocol) {
      all.push_back({static_cast<double>(node.protocol->sent().bytes),
                     static_cast<double>(node.protocol->sent().datagrams)});
    }
  }
  return all;
}

/// Makes a member confirm a configuration as soon as a peer announces it, and
/// records the time since the change.
void ConfirmHigherConfigs(MemberProtocol* protocol,
                          std::vector<double>* times,
                          const MemberSwitch* net,
                          const TimePoint* changed) {
  protocol->SetHooks(
      {.on_member = {},
       .on_notice = {},
       .on_higher_config = [=](const std::string& from, uint64_t number) {
         if (!from.empty()) {
           const std::chrono::duration<double> elapsed = net->now() - *changed;
           times->push_back(elapsed.count());
           protocol->ConfirmConfig(number);
         }
       }});
}

/// Measures traffic and CPU time over one minute of manual time.
/// @param change_every interval between configuration changes; 0 for none.
void MeasureTraffic(FigureWriter* writer,
                    MemberSwitch* net,
                    int members,
                    const std::string& name,
                    Duration change_every) {
  constexpr int kSeconds = 60;
  const std::vector<Sent> before = SentByMember(net);
  const double cpu_before = CpuSeconds();
  uint64_t number = net->At(0).table().highest_config();
  for (int second = 0; second < kSeconds; ++second) {
    const auto elapsed = Duration(seconds(second));
    if (change_every.count() > 0 && elapsed % change_every == Duration{0}) {
      net->At(second % members).ConfirmConfig(++number);
    }
    net->Run(seconds(1));
  }
  const double cpu = CpuSeconds() - cpu_before;
  const std::vector<Sent> after = SentByMember(net);
  double bytes = 0;
  double max_bytes = 0;
  double datagrams = 0;
  for (size_t i = 0; i < after.size(); ++i) {
    bytes += after[i].bytes - before[i].bytes;
    max_bytes = std::max(max_bytes, after[i].bytes - before[i].bytes);
    datagrams += after[i].datagrams - before[i].datagrams;
  }
  const double member_seconds = static_cast<double>(members) * kSeconds;
  writer->Write(members, name + "_bytes_sent", bytes / member_seconds, "B/s");
  writer->Write(members, name + "_bytes_sent_most", max_bytes / kSeconds,
                "B/s");
  writer->Write(members, name + "_datagrams_sent", datagrams / member_seconds,
                "1/s");
  writer->Write(members, name + "_cpu", cpu / member_seconds * 1e6, "us/s");
}

void MeasureConfigSpread(FigureWriter* writer,
                         MemberSwitch* net,
                         int members,
                         const std::string& name,
                         std::vector<double>* times,
                         TimePoint* changed) {
  times->clear();
  uint64_t number = net->At(0).table().highest_config();
  std::vector<double> confirmed;
  for (int trial = 0; trial < kTrials; ++trial) {
    *changed = net->now();
    const int origin = trial * 7 % members;
    net->At(origin).ConfirmConfig(++number);
    net->RunUntil(minutes(2), [&] {
      return std::ranges::all_of(net->At(origin).table().Live(),
                                 [&](const MemberRow* row) {
                                   return row->info.config_number >= number;
                                 });
    });
    const std::chrono::duration<double> elapsed = net->now() - *changed;
    confirmed.push_back(elapsed.count());
    net->Run(seconds(30));
  }
  writer->Write(members, name + "_p99", Quantile(*times, 0.99), "s");
  writer->Write(members, name + "_max", Quantile(*times, 1), "s");
  writer->Write(members, name + "_missing",
                static_cast<double>(kTrials * (members - 1)) -
                    static_cast<double>(times->size()),
                "members");
  writer->Write(members, name + "_confirmed_at_origin_max",
                Quantile(confirmed, 1), "s");
}

void MeasureDetection(FigureWriter* writer, MemberSwitch* net, int members) {
  std::vector<double> times;
  uint64_t start_number = 2;
  for (int trial = 0; trial < kTrials; ++trial) {
    const int victim = trial * 11 % members;
    const std::string peer = MemberSwitch::Peer(victim);
    net->Run(milliseconds(137 * trial));
    const TimePoint killed_at = net->now();
    net->Kill(victim);
    std::vector<std::string> undetected;
    for (const auto& [other, node] : net->nodes()) {
      if (node.protocol) {
        undetected.push_back(other);
      }
    }
    net->RunUntil(minutes(3), [&] {
      std::erase_if(undetected, [&](const std::string& other) {
        const MemberRow* row =
            net->nodes().at(other).protocol->table().Find(peer);
        const bool seen = row->info.state == MemberState::kDead;
        if (seen) {
          const std::chrono::duration<double> elapsed = net->now() - killed_at;
          times.push_back(elapsed.count());
        }
        return seen;
      });
      return undetected.empty();
    });
    net->Start(victim, start_number++,
               {MemberSwitch::Peer(0), MemberSwitch::Peer(1)});
    net->RunUntil(minutes(3), [&] { return net->HasConverged(); });
  }
  writer->Write(members, "detection_p50", Quantile(times, 0.5), "s");
  writer->Write(members, "detection_max", Quantile(times, 1), "s");
}

void MeasureFalseDeaths(FigureWriter* writer, MemberSwitch* net, int members) {
  const auto count = [&](auto field) {
    double sum = 0;
    for (const auto& [peer, node] : net->nodes()) {
      sum += static_cast<double>(node.protocol->counters().*field);
    }
    return sum;
  };
  const double deaths = count(&MemberCounters::deaths);
  const double suspicions = count(&MemberCounters::suspicions);
  const std::vector<Sent> before = SentByMember(net);
  net->set_loss(100);
  net->Run(minutes(10));
  net->set_loss(0);
  const std::vector<Sent> after = SentByMember(net);
  double bytes = 0;
  for (size_t i = 0; i < after.size(); ++i) {
    bytes += after[i].bytes - before[i].bytes;
  }
  writer->Write(members, "loss_10_percent_false_deaths",
                count(&MemberCounters::deaths) - deaths, "in 10 min");
  writer->Write(members, "loss_10_percent_suspicions",
                count(&MemberCounters::suspicions) - suspicions, "in 10 min");
  writer->Write(members, "loss_10_percent_bytes_sent", bytes / members / 600,
                "B/s");
}

/// Partitions one of three regions from the others until both sides have
/// declared the other one dead (at most five minutes), waits another five
/// minutes and heals the partition.
void MeasurePartition(FigureWriter* writer, MemberSwitch* net, int members) {
  const auto deaths = [&] {
    double sum = 0;
    for (const auto& [peer, node] : net->nodes()) {
      sum += static_cast<double>(node.protocol->counters().deaths);
    }
    return sum;
  };
  const auto is_inside = [net](const std::string& peer) {
    return net->nodes().at(peer).options.region == "region-1";
  };
  net->set_drop([&](const std::string& from, const std::string& to) {
    return is_inside(from) != is_inside(to);
  });
  const auto inside = static_cast<size_t>(std::ranges::count_if(
      net->nodes(), [&](const auto& entry) { return is_inside(entry.first); }));
  const TimePoint partitioned_at = net->now();
  const bool is_separated = net->RunUntil(minutes(5), [&] {
    return std::ranges::all_of(net->nodes(), [&](const auto& entry) {
      return entry.second.protocol->table().Live().size() ==
             (is_inside(entry.first) ? inside : net->nodes().size() - inside);
    });
  });
  const std::chrono::duration<double> detection_time =
      net->now() - partitioned_at;
  writer->Write(members, "cut_all_declared_after",
                is_separated ? detection_time.count() : -1, "s");
  net->Run(minutes(5));
  const double deaths_before = deaths();
  const TimePoint healed_at = net->now();
  net->set_drop({});
  const bool is_converged =
      net->RunUntil(minutes(10), [&] { return net->HasConverged(); });
  const std::chrono::duration<double> elapsed = net->now() - healed_at;
  writer->Write(members, "cut_healed_after",
                is_converged ? elapsed.count() : -1, "s");
  net->Run(minutes(2));
  writer->Write(members, "cut_deaths_while_healing", deaths() - deaths_before,
                "deaths");
}

void MeasureGroup(FigureWriter* writer, int members) {
  MemberSwitch net(kSeed);
  std::vector<double> times;
  TimePoint changed;
  const double heap_before = HeapBytes();
  net.StartGroup(members);
  net.RunUntil(minutes(10), [&] { return net.HasConverged(); });
  const std::chrono::duration<double> elapsed =
      net.now() - TimePoint(std::chrono::hours(10));
  writer->Write(members, "all_met_after_start", elapsed.count(), "s");
  net.Run(seconds(60));
  writer->Write(members, "memory", (HeapBytes() - heap_before) / members, "B");
  for (auto& [peer, node] : net.nodes()) {
    ConfirmHigherConfigs(node.protocol.get(), &times, &net, &changed);
  }
  MeasureTraffic(writer, &net, members, "idle", Duration{0});
  MeasureTraffic(writer, &net, members, "change_every_6_s", seconds(6));
  net.Run(seconds(30));
  MeasureConfigSpread(writer, &net, members, "spread", &times, &changed);
  net.set_loss(100);
  MeasureConfigSpread(writer, &net, members, "spread_loss_10_percent", &times,
                      &changed);
  net.set_loss(0);
  net.Run(seconds(60));
  MeasureFalseDeaths(writer, &net, members);
  net.Run(seconds(60));
  MeasureDetection(writer, &net, members);
  net.Run(seconds(60));
  if (members > 3) {
    MeasurePartition(writer, &net, members);
  }
  double suppressed = 0;
  for (const auto& [peer, node] : net.nodes()) {
    suppressed += static_cast<double>(node.protocol->sent().suppressed);
  }
  writer->Write(members, "suppressed_whole_run", suppressed, "datagrams");
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  bramleybank::FigureWriter writer(argc > 1 ? argv[1] : nullptr);
  for (const int members : bramleybank::kSizes) {
    bramleybank::MeasureGroup(&writer, members);
  }
  return 0;
}
