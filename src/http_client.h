// HTTP client for endpoints and the platform. It uses the multi-socket
// interface of libcurl, driven by the event loop.
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

/// One request to send.
struct HttpClientRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout{0};
  /// Timeout of the whole transfer; zero means none.
  Duration total_timeout{0};
  /// Sends the request at most once, on a new connection that is not reused.
  /// When a reused connection turns out to be dead, libcurl repeats the request
  /// on its own, which could execute a non-idempotent call twice.
  bool single_attempt = false;
};

/// Result of a transfer.
struct HttpOutcome {
  /// Whether the complete response has arrived. A response that ends with its
  /// connection is complete only if the server has received the request before.
  bool complete = false;
  /// HTTP status; 0 if no status line arrived.
  int status = 0;
  /// Bytes of the request that were handed to the operating system. Zero means
  /// that the endpoint cannot have received any part of the request.
  uint64_t request_bytes_sent = 0;
  /// Whether a timeout ended the transfer.
  bool timed_out = false;
  /// Error message of libcurl if the transfer failed.
  std::string error;
  HttpHeaders headers;
  /// Body if there is no on_data callback. A transfer whose body exceeds
  /// kMaxClientBodyBytes fails.
  std::string body;
};

/// Callbacks of one transfer. None is called after the transfer was cancelled.
struct HttpClientCallbacks {
  /// Called once when the final status line and all headers have arrived.
  std::function<void(int status, const HttpHeaders& headers)> on_headers;
  /// Called for each part of the body. If it is not set, the body is collected
  /// in HttpOutcome::body.
  std::function<void(std::string_view data)> on_data;
  /// Called once when the transfer has ended.
  std::function<void(const HttpOutcome& outcome)> on_done;
};

/// Runs any number of transfers concurrently.
class HttpClient {
 public:
  explicit HttpClient(EventLoop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a transfer.
  /// @returns a handle that stays valid until on_done has been called.
  TransferHandle Start(const HttpClientRequest& request,
                       HttpClientCallbacks callbacks);

  /// Aborts a transfer without any further callback and closes its connection.
  /// Unknown handles are ignored.
  void Cancel(TransferHandle transfer);

  /// Pause and resume reading the body, for flow control.
  void Pause(TransferHandle transfer);
  void Resume(TransferHandle transfer);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_CLIENT_H_
