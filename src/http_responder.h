// Interface to respond to one HTTP request, with a complete or a streamed
// response.
#ifndef BRAMLEYBANK_SRC_HTTP_RESPONDER_H_
#define BRAMLEYBANK_SRC_HTTP_RESPONDER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "http_types.h"

namespace bramleybank {

/// Sends the response to one request, immediately or later. After the
/// connection was closed, all methods do nothing.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// Sends a complete response. Call this once, or use StartStream() instead.
  virtual void Respond(int status,
                       const HttpHeaders& headers,
                       std::string body) = 0;

  /// Starts a response of unknown length, sent with chunked encoding.
  virtual void StartStream(int status, const HttpHeaders& headers) = 0;
  /// Appends to a streamed response.
  virtual void Write(std::string_view bytes) = 0;
  /// Ends a streamed response after all written bytes have been sent.
  virtual void Finish() = 0;
  /// Closes the connection before the end of the response, so that the caller
  /// detects that the response is incomplete.
  virtual void Abort() = 0;

  /// Sets a handler that is called once when the exchange has ended.
  /// `is_complete` tells whether the whole response was sent. Otherwise the
  /// caller has disconnected or Abort() was called.
  virtual void SetCloseHandler(
      std::function<void(bool is_complete)> handler) = 0;
  /// Sets a handler that is called whenever all bytes written so far have been
  /// handed to the operating system.
  virtual void SetDrainHandler(std::function<void()> handler) = 0;

  /// @returns the number of written bytes that have not been handed to the
  /// operating system yet.
  virtual size_t buffered_bytes() const = 0;
  virtual bool is_open() const = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_RESPONDER_H_
