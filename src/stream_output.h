// The caller's side of one stream: events, event ids, whole answers, refusals
// and flow control over the caller's current connection.
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

/// What an event id names besides the position.
struct OutputSource {
  std::string engine;
  uint32_t attempt = 0;
  /// Peer that holds the copy; empty without one.
  std::string copy_holder;

  friend bool operator==(const OutputSource&, const OutputSource&) = default;
};

/// Hooks of an output.
struct StreamOutputHooks {
  /// The caller's connection has ended; `whole` tells whether everything was
  /// sent before.
  std::function<void(bool whole)> on_closed;
  /// The caller reads too slowly, or has caught up.
  std::function<void(bool paused)> on_flow;
};

/// Writes the answer of one stream. Without a caller all output is dropped,
/// except the text of an answer that is not streamed.
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

  /// Goes on over a new connection; a former one is closed.
  void SetResponder(std::shared_ptr<HttpResponder> responder);
  /// Sets what the answer says of the model, before its first token.
  /// @param fingerprint "<version>/<adapter>".
  void SetFingerprint(const std::string& fingerprint);

  void Token(const OutputSource& source,
             uint64_t position,
             std::string_view text);
  void Finish(const OutputSource& source,
              std::string_view reason,
              uint64_t count);
  /// Sends a refusal: as the answer, or as an event when output has begun.
  void Refuse(const HttpRefusal& refusal);
  /// Asks the caller to reconnect.
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
  // Whether the current connection has the head of a streamed answer.
  bool m_has_begun = false;
  bool m_is_paused = false;
  // Text of an answer that is not streamed.
  std::string m_text;
  // Event id without the position, and what it was built for.
  std::string m_id_prefix;
  OutputSource m_id_source;
  std::string m_id;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_OUTPUT_H_
