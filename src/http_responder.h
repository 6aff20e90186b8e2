// The answer to one request: whole, or streamed part by part.
#ifndef BRAMLEYBANK_SRC_HTTP_RESPONDER_H_
#define BRAMLEYBANK_SRC_HTTP_RESPONDER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "http_types.h"

namespace bramleybank {

/// Answers one request, at once or later. After the connection has closed,
/// all methods do nothing.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  /// Sends a whole answer. Allowed once, instead of StartStream().
  virtual void Respond(int status,
                       const HttpHeaders& headers,
                       std::string body) = 0;

  /// Starts an answer of unknown length, sent in HTTP chunks.
  virtual void StartStream(int status, const HttpHeaders& headers) = 0;
  /// Appends to a streamed answer.
  virtual void Write(std::string_view bytes) = 0;
  /// Ends a streamed answer after everything written has been sent.
  virtual void Finish() = 0;
  /// Closes the connection in the middle of an answer, so that the caller sees
  /// that the answer is not whole.
  virtual void Abort() = 0;

  /// Called once when the exchange has ended. `whole` tells whether the answer
  /// was sent to its end; otherwise the caller has gone or was aborted.
  virtual void SetCloseHandler(std::function<void(bool whole)> handler) = 0;
  /// Called whenever everything written so far has been handed to the
  /// operating system.
  virtual void SetDrainHandler(std::function<void()> handler) = 0;

  /// @returns bytes written that the operating system has not taken yet.
  virtual size_t buffered_bytes() const = 0;
  virtual bool is_open() const = 0;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_RESPONDER_H_
