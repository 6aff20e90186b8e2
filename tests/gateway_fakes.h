// Fakes for gateway tests: an in-memory store and a scripted endpoint on
// loopback.
#ifndef BRAMLEYBANK_TESTS_GATEWAY_FAKES_H_
#define BRAMLEYBANK_TESTS_GATEWAY_FAKES_H_

#include <sys/socket.h>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event_loop.h"
#include "metadata_store.h"
#include "tcp_connection.h"
#include "tcp_listener.h"

namespace bramleybank {

/// Store whose reads and waits stay open until the test answers them.
class FakeStore : public MetadataStore {
 public:
  struct Call {
    std::string table;
    std::string after;
    StoreVersion version;
    bool is_wait = false;
    RowsCallback callback;
  };

  void Read(const std::string& table,
            const std::string& after,
            RowsCallback callback) override {
    calls.push_back({.table = table,
                     .after = after,
                     .version = {},
                     .is_wait = false,
                     .callback = std::move(callback)});
  }
  void WaitForChanges(const std::string& table,
                      const StoreVersion& version,
                      Duration /*wait*/,
                      RowsCallback callback) override {
    calls.push_back({.table = table,
                     .after = {},
                     .version = version,
                     .is_wait = true,
                     .callback = std::move(callback)});
  }
  void Write(const StoreWrite& write, WriteCallback callback) override {
    writes.push_back(write);
    callback(StoreResult::kOk);
  }

  /// Answers the oldest open call on `table`.
  void Answer(const std::string& table, const StoreRows& rows) {
    for (auto it = calls.begin(); it != calls.end(); ++it) {
      if (it->table == table) {
        const RowsCallback callback = std::move(it->callback);
        calls.erase(it);
        callback(rows);
        return;
      }
    }
  }
  /// @returns the oldest open call on `table`, or null.
  const Call* Open(const std::string& table) const {
    for (const Call& call : calls) {
      if (call.table == table) {
        return &call;
      }
    }
    return nullptr;
  }

  std::deque<Call> calls;
  std::vector<StoreWrite> writes;
};

/// An endpoint on loopback. Each request runs the next step of the script; the
/// last step is used for all further requests.
class FakeEndpoint {
 public:
  struct Step {
    /// Sent once the head of a request has arrived.
    std::string bytes;
    /// Whether the connection is closed after `bytes`.
    bool closes = true;
    /// Sent at each interval after `bytes`, until the peer closes.
    std::string repeated = {};
    Duration interval = std::chrono::milliseconds(5);
    /// If not empty, sent one per interval after `bytes`, instead of
    /// `repeated`.
    std::vector<std::string> pieces = {};
    /// Whether the connection is reset after `bytes`, instead of closed.
    bool resets = false;
    /// Whether the rest of the request is left unread, and the connection is
    /// half closed after `bytes` and reset later.
    bool ends_early = false;
  };

  FakeEndpoint(EventLoop* loop, std::vector<Step> script)
      : m_loop(loop), m_script(std::move(script)), m_listener(loop) {
    m_port = *m_listener.Start("127.0.0.1:0", [this](int fd) { Accept(fd); });
  }

  /// From now on requests for an engine's report are not part of the script.
  /// @param json answer to them; empty to leave them without one.
  void SetReport(std::string json) { m_report = std::move(json); }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  size_t reports_requested() const { return m_reports_requested; }
  /// The requests that arrived, each with at least its complete head.
  const std::vector<std::string>& requests() const { return m_requests; }
  size_t closed_by_peer() const { return m_closed_by_peer; }

 private:
  // Long enough for the peer to read what was sent before the reset.
  static constexpr std::chrono::milliseconds kResetDelay{30};

  struct Peer {
    std::shared_ptr<TcpConnection> connection;
    int fd = -1;
    std::string input;
    bool answered = false;
    bool is_gone = false;
  };

  void Accept(int fd) {
    auto peer = std::make_shared<Peer>();
    peer->fd = fd;
    m_peers.push_back(peer);
    peer->connection = TcpConnection::Adopt(
        m_loop, fd,
        {.on_connected = nullptr,
         .on_data =
             [this, peer](std::string_view data) {
               peer->input.append(data);
               if (!peer->answered &&
                   peer->input.find("\r\n\r\n") != std::string::npos) {
                 peer->answered = true;
                 Answer(peer);
               }
             },
         .on_end =
             [this, peer](TcpCloseReason) {
               peer->is_gone = true;
               ++m_closed_by_peer;
             },
         .on_drained = nullptr});
  }

  void Answer(const std::shared_ptr<Peer>& peer) {
    if (m_report && peer->input.starts_with("GET /api/report ")) {
      ++m_reports_requested;
      SendReport(peer);
      return;
    }
    m_requests.push_back(peer->input);
    RunStep(peer, m_script[std::min(m_requests.size(), m_script.size()) - 1]);
  }

  void SendReport(const std::shared_ptr<Peer>& peer) const {
    if (!m_report->empty()) {
      peer->connection->Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(m_report->size()) + "\r\n\r\n" +
                              *m_report);
    }
  }

  void RunStep(const std::shared_ptr<Peer>& peer, const Step& step) {
    peer->connection->Write(step.bytes);
    if (step.ends_early) {
      peer->connection->SetReading(false);
      shutdown(peer->fd, SHUT_WR);
    }
    if (step.resets || step.ends_early) {
      const linger none{.l_onoff = 1, .l_linger = 0};
      setsockopt(peer->fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
      m_loop->Schedule(kResetDelay, [peer] { peer->connection->Close(); });
    } else if (!step.pieces.empty()) {
      SendPieces(peer, step.pieces, step.interval);
    } else if (!step.repeated.empty()) {
      Repeat(peer, step);
    } else if (step.closes) {
      peer->connection->FinishAndClose(
          {.time = std::chrono::milliseconds(10),
           .stall_window = std::chrono::milliseconds(10),
           .on_discarded = nullptr,
           .on_closed = nullptr});
    }
  }

  void SendPieces(const std::shared_ptr<Peer>& peer,
                  std::vector<std::string> pieces,
                  Duration interval) {
    if (peer->is_gone || pieces.empty()) {
      return;
    }
    peer->connection->Write(pieces.front());
    pieces.erase(pieces.begin());
    m_loop->Schedule(interval,
                     [this, peer, pieces = std::move(pieces), interval] {
                       SendPieces(peer, pieces, interval);
                     });
  }

  void Repeat(const std::shared_ptr<Peer>& peer, const Step& step) {
    if (peer->is_gone) {
      return;
    }
    peer->connection->Write(step.repeated);
    m_loop->Schedule(step.interval, [this, peer, step] { Repeat(peer, step); });
  }

  EventLoop* m_loop;
  std::vector<Step> m_script;
  TcpListener m_listener;
  uint16_t m_port = 0;
  std::optional<std::string> m_report;
  size_t m_reports_requested = 0;
  size_t m_closed_by_peer = 0;
  std::vector<std::string> m_requests;
  std::vector<std::shared_ptr<Peer>> m_peers;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TESTS_GATEWAY_FAKES_H_
