// Listening address of a stand-in that can be closed and reopened, so that
// connections to it are refused in the meantime.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_LISTENER_H_
#define BRAMLEYBANK_TOOLS_STANDIN_LISTENER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "event_loop.h"
#include "http_server.h"

namespace bramleybank {

/// An HTTP server on one address that can be stopped and restarted.
class StandinListener {
 public:
  StandinListener(EventLoop* loop, std::string ip, uint16_t port)
      : m_loop(loop), m_ip(std::move(ip)), m_port(port) {}

  /// Starts listening; does nothing when it is already listening.
  /// @returns whether it is listening. If not, last_reason() is set.
  bool Open(HttpServer::Handler handler) {
    if (m_server) {
      return true;
    }
    HttpServerOptions options;
    // Call results and objects may exceed the body limit for callers.
    options.max_body_bytes = kMaxBodyBytes;
    m_server = std::make_unique<HttpServer>(m_loop, options);
    if (!m_server->Start(m_ip, m_port, std::move(handler))) {
      m_reason = m_server->last_reason();
      m_server.reset();
      return false;
    }
    return true;
  }

  /// Closes the address and all its connections. Must not be called from a
  /// handler of this listener.
  void Close() { m_server.reset(); }

  bool is_open() const { return m_server != nullptr; }
  const Reason& last_reason() const { return m_reason; }

 private:
  static constexpr size_t kMaxBodyBytes = 16 * 1024 * 1024;

  EventLoop* m_loop;
  std::string m_ip;
  uint16_t m_port;
  std::unique_ptr<HttpServer> m_server;
  Reason m_reason;
};

/// The main address of a stand-in and an optional control address that stays
/// open while connections to the main address are refused.
class StandinListenerPair {
 public:
  /// @param control_port 0 for no control address; then connections are never
  /// refused.
  StandinListenerPair(EventLoop* loop,
                      const std::string& ip,
                      uint16_t port,
                      uint16_t control_port)
      : m_loop(loop),
        m_has_control(control_port != 0),
        m_main(loop, ip, port),
        m_control(loop, ip, control_port) {}

  /// @returns whether both addresses are open. If not, last_reason() is set.
  bool Open(HttpServer::Handler handler) {
    m_handler = std::move(handler);
    if (m_has_control && !m_control.Open(m_handler)) {
      m_reason = m_control.last_reason();
      return false;
    }
    return OpenMain();
  }

  /// Closes the main address, so that connections are refused, or reopens it.
  void SetRefuseConnections(bool refusing) {
    m_refusing = refusing && m_has_control;
    if (m_refusing) {
      m_main.Close();
    } else if (!OpenMain()) {
      // A closing connection can still occupy the address for a short time.
      m_loop->Schedule(kReopenDelay,
                       [this] { SetRefuseConnections(m_refusing); });
    }
  }

  const Reason& last_reason() const { return m_reason; }

 private:
  static constexpr Duration kReopenDelay = std::chrono::milliseconds(10);

  bool OpenMain() {
    if (m_main.Open(m_handler)) {
      return true;
    }
    m_reason = m_main.last_reason();
    return false;
  }

  EventLoop* m_loop;
  bool m_has_control;
  bool m_refusing = false;
  HttpServer::Handler m_handler;
  StandinListener m_main;
  StandinListener m_control;
  Reason m_reason;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_LISTENER_H_
