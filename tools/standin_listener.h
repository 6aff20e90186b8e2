// Listening address of a stand-in that can be closed and opened again, so that
// connections to it are refused for a while.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_LISTENER_H_
#define BRAMLEYBANK_TOOLS_STANDIN_LISTENER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "event_loop.h"
#include "http_server.h"

namespace bramleybank {

/// An HTTP server on one address that can be taken down and put up again.
class StandinListener {
 public:
  StandinListener(EventLoop* loop, std::string ip, uint16_t port)
      : m_loop(loop), m_ip(std::move(ip)), m_port(port) {}

  /// Starts listening; does nothing when it listens already.
  /// @returns whether the address could be taken, else last_reason() is set.
  bool Open(HttpServer::Handler handler) {
    if (m_server) {
      return true;
    }
    HttpServerOptions options;
    // Results of calls and objects exceed the bound for callers.
    options.max_body_bytes = kMaxBodyBytes;
    m_server = std::make_unique<HttpServer>(m_loop, options);
    if (!m_server->Start(m_ip, m_port, std::move(handler))) {
      m_reason = m_server->last_reason();
      m_server.reset();
      return false;
    }
    return true;
  }

  /// Closes the address and every connection. Not to be called while a handler
  /// of this listener runs.
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

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_STANDIN_LISTENER_H_
