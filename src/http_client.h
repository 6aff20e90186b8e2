// HTTP client for endpoints and the platform, on libcurl's multi-socket
// interface driven by the event loop.
#ifndef BRAMLEYBANK_SRC_HTTP_CLIENT_H_
#define BRAMLEYBANK_SRC_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bramleybank/handle.h"
#include "hooks.h"
#include "http_types.h"

namespace bramleybank {

class EventLoop;

/// One request to be sent.
struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout{0};
  /// Limit on the whole exchange; zero means none.
  Duration total_timeout{0};
  /// Sends the request at most once: a fresh connection that is not used
  /// again. libcurl repeats a request by itself when a reused connection turns
  /// out to be dead, which could run a non-idempotent call twice.
  bool single_attempt = false;
};

/// How an exchange ended.
struct HttpOutcome {
  /// The answer arrived whole.
  bool complete = false;
  /// HTTP status; 0 when no status line arrived.
  int status = 0;
  /// Bytes of the request that were handed to the operating system. Zero means
  /// that the endpoint cannot have seen anything of it.
  uint64_t request_bytes_sent = 0;
  /// Whether the time limit ended the exchange.
  bool timed_out = false;
  /// libcurl's message when the exchange failed.
  std::string error;
  HttpHeaders headers;
  /// Whole body when no data callback was given.
  std::string body;
};

/// Callbacks of one exchange. None is called after the exchange is cancelled.
struct HttpClientCallbacks {
  /// Called once when the final status line and all headers have arrived.
  std::function<void(int status, const HttpHeaders& headers)> on_headers;
  /// Called for each part of the body; without it the body is collected.
  std::function<void(std::string_view data)> on_data;
  /// Called once at the end.
  std::function<void(const HttpOutcome& outcome)> on_done;
};

/// Runs any number of exchanges at the same time.
class HttpClient {
 public:
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts an exchange.
  /// @returns a handle that stays valid until on_done has been called.
  TransferHandle Start(const HttpClientRequest& request,
                       HttpClientCallbacks callbacks);

  /// Ends an exchange without any further callback and closes its connection.
  /// Unknown handles are ignored.
  void Cancel(TransferHandle transfer);

  /// Stops and restarts reading the body, for flow control.
  void Pause(TransferHandle transfer);
  void Resume(TransferHandle transfer);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_CLIENT_H_
