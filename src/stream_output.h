// Caller's side of one stream: events, event ids, non-streamed answers,
// refusals and flow control on the caller's current connection.
#ifndef BRAMLEYBANK_SRC_STREAM_OUTPUT_H_
#define BRAMLEYBANK_SRC_STREAM_OUTPUT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "stream_request.h"

namespace bramleybank {

class HttpResponder;
class MetricRegistry;
class StreamFormat;
struct HttpRefusal;

/// Source of the current output; part of every event id.
struct OutputSource {
  std::string engine;
  uint32_t attempt = 0;
  /// Peer that holds the copy; empty if there is none.
  std::string copy_holder;

  friend bool operator==(const OutputSource&, const OutputSource&) = default;
};

/// Hooks of StreamOutput.
struct StreamOutputHooks {
  /// The caller's connection has closed; `is_complete` tells whether the answer
  /// was sent completely before that.
  std::function<void(bool is_complete)> on_closed;
  /// Output must pause because too much of it is buffered for the caller, or
  /// may continue because the buffer has drained.
  std::function<void(bool paused)> on_back_pressure;
};

/// Writes the answer of one stream. Without a connected caller all output is
/// dropped, except the text of a non-streamed answer.
class StreamOutput {
 public:
  /// @param request, metrics outlive this object.
  /// @param self peer address of this daemon.
  StreamOutput(const GenerationRequest* request,
               uint64_t generation,
               std::string self,
               MetricRegistry* metrics,
               StreamOutputHooks hooks);
  ~StreamOutput();
  StreamOutput(const StreamOutput&) = delete;
  StreamOutput& operator=(const StreamOutput&) = delete;

  /// Continues on a new connection and closes the previous one.
  void SetResponder(std::shared_ptr<HttpResponder> responder);
  /// Sets the `system_fingerprint` of the answer; must be called before the
  /// first token.
  /// @param fingerprint "<version>/<adapter>" of the engine's model.
  void SetFingerprint(const std::string& fingerprint);

  void WriteToken(const OutputSource& source,
                  uint64_t position,
                  std::string_view text);
  void Finish(const OutputSource& source,
              std::string_view reason,
              uint64_t count);
  /// Sends a refusal as the HTTP response, or as an event when output has
  /// begun.
  void Refuse(const HttpRefusal& refusal);
  /// Sends an event that asks the caller to reconnect to another daemon.
  void HandOver(const OutputSource& source, uint64_t position);
  /// Closes the connection without an answer.
  void Abort();

  bool has_caller() const { return m_responder != nullptr; }
  bool is_paused() const { return m_is_paused; }

 private:
  const std::string& EventId(const OutputSource& source, uint64_t position);
  void Begin();
  void Write(std::string_view bytes);

  const GenerationRequest* m_request;
  const uint64_t m_generation;
  const std::string m_self;
  MetricRegistry* m_metrics;
  const StreamOutputHooks m_hooks;
  std::unique_ptr<StreamFormat> m_format;
  std::shared_ptr<HttpResponder> m_responder;
  // Whether the response head was sent on the current connection.
  bool m_has_begun = false;
  bool m_is_paused = false;
  // Text of a non-streamed answer.
  std::string m_text;
  // Event id without the position, and the source for which it was built.
  std::string m_id_prefix;
  OutputSource m_id_source;
  std::string m_id;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_OUTPUT_H_
