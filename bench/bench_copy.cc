// Measures the cost of copying streams: an owner sends the tokens of many
// streams to holders over loopback, each side on a thread with its own event
// loop. Prints CPU time per token and side, bytes per token and direction, and
// the time until the acknowledgement.
#include <getopt.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "event_loop.h"
#include "peer_client.h"
#include "peer_message.h"
#include "peer_server.h"
#include "stream_copy_sender.h"
#include "stream_copy_store.h"

namespace bramleybank {
namespace {

constexpr char kIp[] = "127.0.0.1";
constexpr Duration kCallTimeout = std::chrono::seconds(1);

struct BenchOptions {
  unsigned streams = 160;
  double tokens_per_s = 33;
  unsigned seconds = 10;
  unsigned holders = 1;
  /// Produces tokens without copying them, to measure the overhead of the
  /// benchmark itself.
  bool baseline = false;
};

double ThreadCpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

/// All holders, on one thread.
class HolderSide {
 public:
  explicit HolderSide(unsigned count) : m_count(count) {
    m_thread = std::thread([this] { Run(); });
    while (!m_started) {
      std::this_thread::yield();
    }
  }
  ~HolderSide() { Stop(); }
  HolderSide(const HolderSide&) = delete;
  HolderSide& operator=(const HolderSide&) = delete;

  void Stop() {
    m_stop = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }
  const std::vector<std::string>& peers() const { return m_peers; }
  /// CPU time of the whole run; valid after Stop().
  double cpu_micros() const { return m_cpu_micros; }

 private:
  struct Holder {
    explicit Holder(EventLoop* loop) : store(&SteadyNow), server(loop) {}
    StreamCopyStore store;
    PeerServer server;
  };

  void Run() {
    EventLoop loop;
    std::vector<std::unique_ptr<Holder>> holders;
    for (unsigned i = 0; i < m_count; ++i) {
      auto holder = std::make_unique<Holder>(&loop);
      const auto port = holder->server.Start(
          kIp, 0,
          [store = &holder->store](const std::string& /*path*/,
                                   std::string_view body,
                                   const PeerServer::ReplyFn& reply) {
            const auto batch = DecodePeerMessage<CopyAppend>(body);
            if (batch) {
              reply(200, EncodePeerMessage(store->Append(*batch)));
            } else {
              reply(400, {});
            }
          });
      if (!port) {
        std::fprintf(stderr, "bench_copy: %s\n",
                     holder->server.last_reason().detail.c_str());
        std::exit(1);
      }
      m_peers.push_back(std::string(kIp) + ":" + std::to_string(*port));
      holders.push_back(std::move(holder));
    }
    m_started = true;
    const double start = ThreadCpuMicros();
    while (!m_stop) {
      loop.RunOnce(std::chrono::milliseconds(100));
    }
    m_cpu_micros = ThreadCpuMicros() - start;
  }

  unsigned m_count;
  std::vector<std::string> m_peers;
  std::atomic<bool> m_started = false;
  std::atomic<bool> m_stop = false;
  double m_cpu_micros = 0;
  std::thread m_thread;
};

/// The owner: produces tokens, copies them to the holders and measures the time
/// until each acknowledgement.
class OwnerSide {
 public:
  OwnerSide(const BenchOptions& options, const std::vector<std::string>& peers)
      : m_options(options),
        m_peers(peers),
        m_client(&m_loop),
        m_sender("127.0.0.1:1", MakeHooks()) {}

  void Run() {
    const double start = ThreadCpuMicros();
    const auto interval = static_cast<int64_t>(1e6 / m_options.tokens_per_s);
    for (unsigned i = 0; i < m_options.streams; ++i) {
      const uint64_t generation = m_random();
      m_sender.Open({.generation = generation,
                     .attempt = 1,
                     .identity = {1, "model-a", "v1", "", "127.0.0.1:9000"},
                     .holder = m_peers[i % m_peers.size()]});
      const Duration phase(static_cast<int64_t>(m_random() % interval));
      m_loop.Schedule(phase, [this, generation, interval] {
        Produce(generation, Duration(interval));
      });
    }
    const TimePoint end =
        m_loop.Now() + std::chrono::seconds(m_options.seconds);
    while (m_loop.Now() < end) {
      m_loop.RunOnce(std::chrono::milliseconds(10));
    }
    m_cpu_micros = ThreadCpuMicros() - start;
  }

  void Print(double holder_micros) {
    const auto tokens = static_cast<double>(std::max<uint64_t>(m_tokens, 1));
    std::printf(
        "streams %u  tokens/s %.0f  holders %zu  copied %s\n"
        "tokens %llu  acked %llu  batches %llu  tokens/batch %.1f  "
        "unprotected %llu\n"
        "CPU us/token: owner %.2f  holder %.2f\n"
        "bytes/token: text %.1f  message %.1f  sent %.1f  received %.1f\n",
        m_options.streams, m_options.streams * m_options.tokens_per_s,
        m_peers.size(), m_options.baseline ? "no" : "yes",
        static_cast<unsigned long long>(m_tokens),
        static_cast<unsigned long long>(m_acked),
        static_cast<unsigned long long>(m_batches),
        tokens / static_cast<double>(std::max<uint64_t>(m_batches, 1)),
        static_cast<unsigned long long>(m_unprotected), m_cpu_micros / tokens,
        holder_micros / tokens, static_cast<double>(m_text_bytes) / tokens,
        static_cast<double>(m_message_bytes) / tokens,
        static_cast<double>(m_client.bytes_sent()) / tokens,
        static_cast<double>(m_client.bytes_received()) / tokens);
    if (!m_ack_micros.empty()) {
      std::ranges::sort(m_ack_micros);
      const auto quantile = [this](double q) {
        const auto last = static_cast<double>(m_ack_micros.size() - 1);
        return static_cast<long long>(
            m_ack_micros[static_cast<size_t>(last * q)]);
      };
      std::printf("time to acknowledgement us: p50 %lld  p95 %lld  p99 %lld\n",
                  quantile(0.5), quantile(0.95), quantile(0.99));
    }
  }

 private:
  StreamCopySenderHooks MakeHooks() {
    return {
        .clock = &SteadyNow,
        .send =
            [this](const std::string& peer, const CopyAppend& batch,
                   StreamCopySenderHooks::ReplyCallback callback) {
              Send(peer, batch, std::move(callback));
            },
        .set_timer =
            [this](TimePoint due) {
              m_loop.Cancel(m_timer);
              m_timer = m_loop.Schedule(due - m_loop.Now(),
                                        [this] { m_sender.OnTimer(); });
            },
        .choose_holder =
            [this](uint64_t generation, const std::string& /*failed*/) {
              return std::optional(m_peers[generation % m_peers.size()]);
            },
        .on_acked = [this](
                        uint64_t generation,
                        uint64_t position) { OnAcked(generation, position); },
        .on_unprotected = [this](uint64_t /*generation*/) { ++m_unprotected; },
        .on_superseded = [](uint64_t /*generation*/, uint32_t /*attempt*/) {}};
  }

  void Send(const std::string& peer,
            const CopyAppend& batch,
            StreamCopySenderHooks::ReplyCallback callback) {
    std::string body = EncodePeerMessage(batch);
    ++m_batches;
    m_message_bytes += body.size();
    m_client.Call(
        peer, kPathCopyAppend, std::move(body), kCallTimeout,
        [callback = std::move(callback)](const PeerReply& reply) {
          callback(reply.status == PeerStatus::kOk
                       ? DecodePeerMessage<CopyAppendReply>(reply.body)
                       : std::nullopt);
        });
  }

  void Produce(uint64_t generation, Duration interval) {
    const std::string token(3 + m_random() % 5, 'x');
    ++m_tokens;
    m_text_bytes += token.size();
    if (!m_options.baseline) {
      m_unacked_since[generation].push_back(m_loop.Now());
      m_sender.Append(generation, token);
    }
    m_loop.Schedule(interval, [this, generation, interval] {
      Produce(generation, interval);
    });
  }

  void OnAcked(uint64_t generation, uint64_t position) {
    const TimePoint now = m_loop.Now();
    auto& unacked_since = m_unacked_since[generation];
    uint64_t& acked = m_acked_position[generation];
    for (; acked < position; ++acked) {
      m_ack_micros.push_back((now - unacked_since.front()).count());
      unacked_since.pop_front();
      ++m_acked;
    }
  }

  BenchOptions m_options;
  std::vector<std::string> m_peers;
  EventLoop m_loop;
  PeerClient m_client;
  StreamCopySender m_sender;
  TimerHandle m_timer;
  std::mt19937_64 m_random{42};
  // Production times of the tokens not yet acknowledged, by generation.
  std::unordered_map<uint64_t, std::deque<TimePoint>> m_unacked_since;
  std::unordered_map<uint64_t, uint64_t> m_acked_position;
  std::vector<int64_t> m_ack_micros;
  uint64_t m_tokens = 0;
  uint64_t m_text_bytes = 0;
  uint64_t m_message_bytes = 0;
  uint64_t m_batches = 0;
  uint64_t m_acked = 0;
  uint64_t m_unprotected = 0;
  double m_cpu_micros = 0;
};

bool ParseOptions(int argc, char** argv, BenchOptions* options) {
  static const option kLong[] = {{"streams", required_argument, nullptr, 's'},
                                 {"rate", required_argument, nullptr, 'r'},
                                 {"seconds", required_argument, nullptr, 't'},
                                 {"holders", required_argument, nullptr, 'h'},
                                 {"baseline", no_argument, nullptr, 'b'},
                                 {}};
  const auto number = [] {
    return static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
  };
  int c = 0;
  while ((c = getopt_long(argc, argv, "", kLong, nullptr)) != -1) {
    switch (c) {
      case 's':
        options->streams = number();
        break;
      case 'r':
        options->tokens_per_s = std::strtod(optarg, nullptr);
        break;
      case 't':
        options->seconds = number();
        break;
      case 'h':
        options->holders = number();
        break;
      case 'b':
        options->baseline = true;
        break;
      default:
        return false;
    }
  }
  return options->streams > 0 && options->tokens_per_s > 0 &&
         options->seconds > 0 && options->holders > 0;
}

}  // namespace
}  // namespace bramleybank

int main(int argc, char** argv) {
  bramleybank::BenchOptions options;
  if (!bramleybank::ParseOptions(argc, argv, &options)) {
    std::fprintf(stderr,
                 "usage: bench_copy [--streams=N] [--rate=tokens/s of one "
                 "stream] [--seconds=N] [--holders=N] [--baseline]\n");
    return 2;
  }
  bramleybank::HolderSide holders(options.holders);
  bramleybank::OwnerSide owner(options, holders.peers());
  owner.Run();
  holders.Stop();
  owner.Print(holders.cpu_micros());
  return 0;
}
