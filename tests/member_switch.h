// Runs many membership protocols in one process, connected by an in-memory
// datagram switch with a manual clock and with seeded loss and latency.
#ifndef BRAMLEYBANK_TESTS_MEMBER_SWITCH_H_
#define BRAMLEYBANK_TESTS_MEMBER_SWITCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "member_protocol.h"

namespace bramleybank::testing {

class MemberSwitch {
 public:
  struct Node {
    MemberOptions options;
    std::unique_ptr<MemberProtocol> protocol;
    bool paused = false;
    // Datagrams received during a pause, as in the buffer of a socket.
    std::vector<std::string> inbox;
    // Number of starts; tells the ticks of this process from those of an
    // earlier one at the same address.
    uint64_t run = 0;
  };
  using DropHook =
      std::function<bool(const std::string& from, const std::string& to)>;

  explicit MemberSwitch(uint64_t seed) : m_random(seed) {}

  static std::string Peer(int index) {
    return "10.0." + std::to_string(index / 200) + "." +
           std::to_string(1 + index % 200) + ":7103";
  }

  /// Starts `count` members in three regions with two failure domains each.
  void StartGroup(int count) {
    for (int i = 0; i < count; ++i) {
      Start(i, 1, {Peer(0), Peer(1), Peer(2)});
    }
  }

  MemberProtocol* Start(int index,
                        uint64_t start_number,
                        const std::vector<std::string>& seeds) {
    const std::string peer = Peer(index);
    Node& node = m_nodes[peer];
    node.options = {.peer = peer,
                    .start_number = start_number,
                    .region = "region-" + std::to_string(index % 3),
                    .failure_domain = "domain-" + std::to_string(index % 6)};
    node.protocol = std::make_unique<MemberProtocol>(
        node.options, [this] { return m_now; }, [this] { return m_random(); });
    node.protocol->SetSeeds(seeds);
    node.paused = false;
    node.inbox.clear();
    ++node.run;
    const Duration phase = std::chrono::microseconds(m_random() % 100000);
    m_events.push({m_now + phase, m_sequence++, peer, {}, node.run});
    return node.protocol.get();
  }

  void Kill(int index) { m_nodes.at(Peer(index)).protocol.reset(); }
  void Pause(int index) { m_nodes.at(Peer(index)).paused = true; }
  void Resume(int index) {
    Node& node = m_nodes.at(Peer(index));
    node.paused = false;
    for (const std::string& bytes : std::exchange(node.inbox, {})) {
      node.protocol->Receive(bytes);
    }
    Flush(&node);
    m_events.push({m_now, m_sequence++, Peer(index), {}, node.run});
  }

  MemberProtocol& At(int index) { return *m_nodes.at(Peer(index)).protocol; }
  std::map<std::string, Node>& nodes() { return m_nodes; }
  TimePoint now() const { return m_now; }

  /// Sets the packet loss in per mille.
  void set_loss(int per_mille) { m_loss_per_mille = per_mille; }
  void set_drop(DropHook drop) { m_drop = std::move(drop); }
  void set_mutate(std::function<void(std::string*)> mutate) {
    m_mutate = std::move(mutate);
  }

  void Run(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = std::max(m_now, event.at);
      Dispatch(event);
    }
    m_now = end;
  }

  /// Runs until `condition` holds. @returns false when it does not hold within
  /// `limit`.
  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    const TimePoint end = m_now + limit;
    while (!condition()) {
      if (m_now >= end) {
        return false;
      }
      Run(std::chrono::milliseconds(100));
    }
    return true;
  }

  /// @returns whether the live members in the table of each running member are
  /// exactly the running ones.
  bool HasConverged() {
    size_t running = 0;
    for (const auto& [peer, node] : m_nodes) {
      running += node.protocol ? 1 : 0;
    }
    for (const auto& [peer, node] : m_nodes) {
      if (node.protocol && (node.protocol->table().Live().size() != running ||
                            node.protocol->table().LiveHash() != FirstHash())) {
        return false;
      }
    }
    return true;
  }

  /// Sends the queued datagrams of a member; needed after calls outside Run().
  void Flush(Node* node) {
    for (MemberDatagram& datagram : node->protocol->TakeOutput()) {
      const bool lost = static_cast<int>(m_random() % 1000) < m_loss_per_mille;
      if (lost || (m_drop && m_drop(node->options.peer, datagram.to))) {
        continue;
      }
      if (m_mutate) {
        m_mutate(&datagram.bytes);
      }
      const Duration delay =
          std::chrono::microseconds(500 + m_random() % 20000);
      m_events.push({m_now + delay, m_sequence++, datagram.to,
                     std::move(datagram.bytes), 0});
    }
  }

 private:
  /// Arrival of a datagram, or a tick when `run` is not 0.
  struct Event {
    TimePoint at;
    uint64_t sequence;
    std::string to;
    std::string bytes;
    uint64_t run;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void Dispatch(const Event& event) {
    const auto it = m_nodes.find(event.to);
    if (it == m_nodes.end() || !it->second.protocol) {
      return;
    }
    Node& node = it->second;
    if (event.run == 0 && node.paused) {
      node.inbox.push_back(event.bytes);
      return;
    }
    if (event.run == 0) {
      node.protocol->Receive(event.bytes);
    } else if (event.run != node.run || node.paused) {
      return;
    } else {
      node.protocol->Tick();
      m_events.push(
          {m_now + kMemberTick, m_sequence++, event.to, {}, node.run});
    }
    Flush(&node);
  }

  uint64_t FirstHash() {
    for (const auto& [peer, node] : m_nodes) {
      if (node.protocol) {
        return node.protocol->table().LiveHash();
      }
    }
    return 0;
  }

  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(10)};
  uint64_t m_sequence = 0;
  std::map<std::string, Node> m_nodes;
  std::priority_queue<Event> m_events;
  int m_loss_per_mille = 0;
  DropHook m_drop;
  std::function<void(std::string*)> m_mutate;
};

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_MEMBER_SWITCH_H_
