// HTTP server built on libmicrohttpd. It runs on the event loop and starts no
// threads.
#ifndef BRAMLEYBANK_SRC_HTTP_SERVER_H_
#define BRAMLEYBANK_SRC_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"

namespace bramleybank {

class EventLoop;
class HttpResponder;
struct HttpRequest;

/// Limits of one server.
struct HttpServerOptions {
  size_t max_body_bytes = kMaxRequestBodyBytes;
  size_t max_url_bytes = kMaxUrlBytes;
  size_t max_header_bytes = kMaxHeaderBytes;
  unsigned max_connections = kMaxCallerConnections;
  size_t connection_pool_bytes = kConnectionPoolBytes;
  std::chrono::seconds idle_timeout = kCallerIdleTimeout;
  /// Whether connections beyond the limit are closed. Otherwise they wait until
  /// others are closed.
  bool closes_excess_connections = false;
};

/// Accepts connections and passes complete requests to a handler.
class HttpServer {
 public:
  using Handler =
      std::function<void(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder)>;
  /// Returns the body of a refusal that the server sends itself.
  using RefusalHook = std::function<std::string(ResultCode code)>;

  HttpServer(EventLoop* loop, const HttpServerOptions& options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on an IPv4 address. Port 0 selects a free port.
  /// @returns the port, or std::nullopt with last_reason() set.
  std::optional<uint16_t> Start(const std::string& ip,
                                uint16_t port,
                                Handler handler);

  void SetRefusalHook(RefusalHook hook);

  size_t open_exchanges() const;
  const Reason& last_reason() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_SERVER_H_
