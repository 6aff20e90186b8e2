// Cost and speed of the membership for groups of 3 to 380 members in one
// process, over the in-memory switch with a manual clock. One JSON line per
// figure goes to standard output and to the file named by the first argument.
//
// CPU includes the switch, so it is an upper bound for the protocol; system
// calls of the UDP adapter are not in it.
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

class Report {
 public:
  explicit Report(const char* path) {
    if (path != nullptr) {
      m_file.open(path);
    }
  }

  void Line(int members,
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

std::vector<Sent> SentOf(MemberSwitch* net) {
  std::vector<Sent> all;
  for (const auto& [peer, node] : net->nodes()) {
    if (node.protocol) {
      all.push_back({static_cast<double>(node.protocol->sent().bytes),
                     static_cast<double>(node.protocol->sent().datagrams)});
    }
  }
  return all;
}

/// Every member takes a configuration as soon as it hears of it.
void TakeConfigs(MemberProtocol* protocol,
                 std::vector<double>* times,
                 const MemberSwitch* net,
                 const TimePoint* changed) {
  protocol->SetHooks(
      {.on_member = {},
       .on_notice = {},
       .on_higher_config = [=](const std::string& from, uint64_t number) {
         if (!from.empty()) {
           const std::chrono::duration<double> passed = net->now() - *changed;
           times->push_back(passed.count());
           protocol->ConfirmConfig(number);
         }
       }});
}

/// Traffic and CPU over a minute of manual time.
/// @param change_every one configuration change in this time; 0 for none.
void MeasureTraffic(Report* report,
                    MemberSwitch* net,
                    int members,
                    const std::string& name,
                    Duration change_every) {
  constexpr int kSeconds = 60;
  const std::vector<Sent> before = SentOf(net);
  const double cpu_before = CpuSeconds();
  uint64_t number = net->At(0).table().highest_config();
  for (int second = 0; second < kSeconds; ++second) {
    const auto passed = Duration(seconds(second));
    if (change_every.count() > 0 && passed % change_every == Duration{0}) {
      net->At(second % members).ConfirmConfig(++number);
    }
    net->Run(seconds(1));
  }
  const double cpu = CpuSeconds() - cpu_before;
  const std::vector<Sent> after = SentOf(net);
  double bytes = 0;
  double most = 0;
  double datagrams = 0;
  for (size_t i = 0; i < after.size(); ++i) {
    bytes += after[i].bytes - before[i].bytes;
    most = std::max(most, after[i].bytes - before[i].bytes);
    datagrams += after[i].datagrams - before[i].datagrams;
  }
  const double member_seconds = static_cast<double>(members) * kSeconds;
  report->Line(members, name + "_bytes_sent", bytes / member_seconds, "B/s");
  report->Line(members, name + "_bytes_sent_most", most / kSeconds, "B/s");
  report->Line(members, name + "_datagrams_sent", datagrams / member_seconds,
               "1/s");
  report->Line(members, name + "_cpu", cpu / member_seconds * 1e6, "us/s");
}

void MeasureSpread(Report* report,
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
    const std::chrono::duration<double> passed = net->now() - *changed;
    confirmed.push_back(passed.count());
    net->Run(seconds(30));
  }
  report->Line(members, name + "_p99", Quantile(*times, 0.99), "s");
  report->Line(members, name + "_max", Quantile(*times, 1), "s");
  report->Line(members, name + "_missing",
               static_cast<double>(kTrials * (members - 1)) -
                   static_cast<double>(times->size()),
               "members");
  report->Line(members, name + "_confirmed_at_origin_max",
               Quantile(confirmed, 1), "s");
}

void MeasureDetection(Report* report, MemberSwitch* net, int members) {
  std::vector<double> times;
  uint64_t start_number = 2;
  for (int trial = 0; trial < kTrials; ++trial) {
    const int victim = trial * 11 % members;
    const std::string peer = MemberSwitch::Peer(victim);
    net->Run(milliseconds(137 * trial));
    const TimePoint killed = net->now();
    net->Kill(victim);
    std::vector<std::string> waiting;
    for (const auto& [other, node] : net->nodes()) {
      if (node.protocol) {
        waiting.push_back(other);
      }
    }
    net->RunUntil(minutes(3), [&] {
      std::erase_if(waiting, [&](const std::string& other) {
        const MemberRow* row =
            net->nodes().at(other).protocol->table().Find(peer);
        const bool seen = row->info.state == MemberState::kDead;
        if (seen) {
          const std::chrono::duration<double> passed = net->now() - killed;
          times.push_back(passed.count());
        }
        return seen;
      });
      return waiting.empty();
    });
    net->Start(victim, start_number++,
               {MemberSwitch::Peer(0), MemberSwitch::Peer(1)});
    net->RunUntil(minutes(3), [&] { return net->HasConverged(); });
  }
  report->Line(members, "detection_p50", Quantile(times, 0.5), "s");
  report->Line(members, "detection_max", Quantile(times, 1), "s");
}

void MeasureFalseDeaths(Report* report, MemberSwitch* net, int members) {
  const auto count = [&](auto field) {
    double sum = 0;
    for (const auto& [peer, node] : net->nodes()) {
      sum += static_cast<double>(node.protocol->counters().*field);
    }
    return sum;
  };
  const double deaths = count(&MemberCounters::deaths);
  const double suspicions = count(&MemberCounters::suspicions);
  const std::vector<Sent> before = SentOf(net);
  net->set_loss(100);
  net->Run(minutes(10));
  net->set_loss(0);
  const std::vector<Sent> after = SentOf(net);
  double bytes = 0;
  for (size_t i = 0; i < after.size(); ++i) {
    bytes += after[i].bytes - before[i].bytes;
  }
  report->Line(members, "loss_10_percent_false_deaths",
               count(&MemberCounters::deaths) - deaths, "in 10 min");
  report->Line(members, "loss_10_percent_suspicions",
               count(&MemberCounters::suspicions) - suspicions, "in 10 min");
  report->Line(members, "loss_10_percent_bytes_sent", bytes / members / 600,
               "B/s");
}

/// One region of three is cut off for five minutes and comes back.
void MeasureCut(Report* report, MemberSwitch* net, int members) {
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
  const TimePoint cut = net->now();
  const bool apart = net->RunUntil(minutes(5), [&] {
    return std::ranges::all_of(net->nodes(), [&](const auto& entry) {
      return entry.second.protocol->table().Live().size() ==
             (is_inside(entry.first) ? inside : net->nodes().size() - inside);
    });
  });
  const std::chrono::duration<double> declared = net->now() - cut;
  report->Line(members, "cut_all_declared_after", apart ? declared.count() : -1,
               "s");
  net->Run(minutes(5));
  const double deaths_before = deaths();
  const TimePoint healed = net->now();
  net->set_drop({});
  const bool agrees =
      net->RunUntil(minutes(10), [&] { return net->HasConverged(); });
  const std::chrono::duration<double> passed = net->now() - healed;
  report->Line(members, "cut_healed_after", agrees ? passed.count() : -1, "s");
  net->Run(minutes(2));
  report->Line(members, "cut_deaths_while_healing", deaths() - deaths_before,
               "deaths");
}

void MeasureGroup(Report* report, int members) {
  MemberSwitch net(kSeed);
  std::vector<double> times;
  TimePoint changed;
  const double heap_before = HeapBytes();
  net.StartGroup(members);
  net.RunUntil(minutes(10), [&] { return net.HasConverged(); });
  const std::chrono::duration<double> met =
      net.now() - TimePoint(std::chrono::hours(10));
  report->Line(members, "all_met_after_start", met.count(), "s");
  net.Run(seconds(60));
  report->Line(members, "memory", (HeapBytes() - heap_before) / members, "B");
  for (auto& [peer, node] : net.nodes()) {
    TakeConfigs(node.protocol.get(), &times, &net, &changed);
  }
  MeasureTraffic(report, &net, members, "idle", Duration{0});
  MeasureTraffic(report, &net, members, "change_every_6_s", seconds(6));
  net.Run(seconds(30));
  MeasureSpread(report, &net, members, "spread", &times, &changed);
  net.set_loss(100);
  MeasureSpread(report, &net, members, "spread_loss_10_percent", &times,
                &changed);
  net.set_loss(0);
  net.Run(seconds(60));
  MeasureFalseDeaths(report, &net, members);
  net.Run(seconds(60));
  MeasureDetection(report, &net, members);
  net.Run(seconds(60));
  if (members > 3) {
    MeasureCut(report, &net, members);
  }
  double suppressed = 0;
  for (const auto& [peer, node] : net.nodes()) {
    suppressed += static_cast<double>(node.protocol->sent().suppressed);
  }
  report->Line(members, "suppressed_whole_run", suppressed, "datagrams");
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  bramleybank::Report report(argc > 1 ? argv[1] : nullptr);
  for (const int members : bramleybank::kSizes) {
    bramleybank::MeasureGroup(&report, members);
  }
  return 0;
}
