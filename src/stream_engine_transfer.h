// One attempt of a generation on one engine: HTTP transfer and parsing of the
// engine's events.
#ifndef BRAMLEYBANK_SRC_STREAM_ENGINE_TRANSFER_H_
#define BRAMLEYBANK_SRC_STREAM_ENGINE_TRANSFER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "bramleybank/handle.h"
#include "http_sse_parser.h"
#include "stream_request.h"
#include "stream_session.h"

namespace bramleybank {

class HttpClient;
class StreamTokenList;
struct HttpOutcome;

/// A token event of the engine.
struct EngineChunk {
  uint64_t generation = 0;
  uint32_t attempt = 0;
  uint64_t index = 0;
  std::string text;

  friend bool operator==(const EngineChunk&, const EngineChunk&) = default;
};

/// The engine's final event, which completes the answer.
struct EngineEnd {
  uint64_t generation = 0;
  uint32_t attempt = 0;
  uint64_t count = 0;
  std::string reason;

  friend bool operator==(const EngineEnd&, const EngineEnd&) = default;
};

/// Exactly one of on_end, on_lost and on_rejected is called, unless the
/// transfer is stopped or destroyed before.
struct EngineCallbacks {
  std::function<void(const EngineChunk&)> on_chunk;
  std::function<void(const EngineEnd&)> on_end;
  std::function<void(AttemptLoss, const std::string& detail)> on_lost;
  /// The engine rejected the request itself with a status that would not change
  /// on another engine, such as 400.
  std::function<void(const std::string& detail)> on_rejected;
};

/// Parameters of one attempt.
struct EngineAttempt {
  std::string address;
  uint64_t generation = 0;
  uint32_t attempt = 0;
  int priority = 0;
  /// Attach to the running stream after `position` instead of starting one.
  bool attach = false;
  uint64_t position = 0;
};

/// Runs one attempt. Destroying the object ends the transfer without further
/// callbacks. It must not be destroyed inside one of its own callbacks; see
/// Stop().
class EngineTransfer {
 public:
  /// @param tokens tokens after which the engine continues; ignored when
  /// attaching.
  EngineTransfer(HttpClient* client,
                 const EngineAttempt& attempt,
                 const GenerationRequest& request,
                 const StreamTokenList& tokens,
                 EngineCallbacks callbacks);
  ~EngineTransfer();
  EngineTransfer(const EngineTransfer&) = delete;
  EngineTransfer& operator=(const EngineTransfer&) = delete;

  void Pause();
  void Resume();

  /// Ends the transfer; no callback follows. Unlike the destructor this may be
  /// called inside one of the object's own callbacks.
  void Stop();

  /// @returns whether the engine may have received a part of the request.
  bool may_have_reached_engine() const { return m_may_have_reached_engine; }

  const EngineAttempt& attempt() const { return m_attempt; }

 private:
  void OnHeaders(int status);
  void OnData(std::string_view data);
  void OnEvent(const SseEvent& event);
  void OnDone(const HttpOutcome& outcome);
  void ReportLoss(AttemptLoss loss, const std::string& detail);

  HttpClient* m_client;
  const EngineAttempt m_attempt;
  EngineCallbacks m_callbacks;
  SseParser m_parser;
  TransferHandle m_transfer;
  int m_status = 0;
  std::string m_error_body;
  // True until the outcome shows that no byte of the request was sent.
  bool m_may_have_reached_engine = true;
  bool m_is_over = false;
};

/// Tells an engine to stop a stream; the response is ignored.
void CancelEngineStream(HttpClient* client,
                        const std::string& address,
                        uint64_t generation,
                        uint32_t attempt);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_ENGINE_TRANSFER_H_
