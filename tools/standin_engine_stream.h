// One stream of the engine stand-in: its tokens and the readers that receive
// them.
#ifndef BRAMLEYBANK_TOOLS_STANDIN_ENGINE_STREAM_H_
#define BRAMLEYBANK_TOOLS_STANDIN_ENGINE_STREAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "hooks.h"
#include "standin_engine_faults.h"

namespace bramleybank {

class HttpResponder;

}  // namespace bramleybank

namespace bramleybank::standin {

/// Parameters of a stream.
struct EngineStreamSpec {
  /// Generation id in hex.
  std::string generation;
  /// Version that serves the generation.
  std::string version;
  uint32_t attempt = 1;
  uint64_t max_tokens = 1;
  uint16_t nonce = 0;
  uint32_t initial_chain = 0;
  /// Tokens after this position carry a wrong chain hash; 0 means none.
  uint64_t wrong_after = 0;
  StreamFault fault;
};

/// Tokens of one generation. Must be held by a shared_ptr.
class EngineStream : public std::enable_shared_from_this<EngineStream> {
 public:
  struct Hooks {
    ClockHook now;
    /// Called when the last reader's connection closes, whether or not its
    /// answer is complete. Not called by Disconnect().
    std::function<void()> on_readers_gone;
    /// Ends the process.
    std::function<void()> exit_process;
  };

  EngineStream(EngineStreamSpec spec, Hooks hooks);

  /// Adds a token that an earlier attempt generated.
  /// @returns false when the token does not continue the chain.
  bool AddResumeToken(const std::string& text);

  /// Adds a reader and sends it the chunks after position `after`. Other
  /// readers are disconnected unless `keep_old_readers` is set.
  void Attach(std::shared_ptr<HttpResponder> responder,
              uint32_t attempt,
              uint64_t after,
              bool keep_old_readers);
  /// Generates one token and sends it.
  void Generate();
  /// Sends each reader the tokens that it has not received yet.
  void WritePendingTokens();
  /// Closes the connections of all readers.
  void Disconnect();

  uint32_t attempt() const { return m_spec.attempt; }
  uint64_t size() const { return m_texts.size(); }
  bool is_complete() const { return m_texts.size() >= m_spec.max_tokens; }
  bool is_frozen() const;
  bool has_reader() const { return !m_readers.empty(); }
  const std::string& generation() const { return m_spec.generation; }

 private:
  struct Reader {
    uint64_t id = 0;
    std::shared_ptr<HttpResponder> responder;
    uint32_t attempt = 0;
    // Position of the last chunk written.
    uint64_t position = 0;
    bool finished = false;
    // Called when all data written so far has been sent. Nothing more is
    // written once it is set.
    std::function<void()> on_drained;
  };

  void WritePendingTokensTo(Reader* reader);
  void WriteToken(Reader* reader, uint64_t index);
  void WriteFinalChunk(Reader* reader);
  std::string FormatChunk(const Reader& reader, uint64_t index) const;
  void ApplyFault(Reader* reader, const std::string& chunk);
  void OnDrained(uint64_t reader_id);
  void OnClosed(uint64_t reader_id);
  Reader* FindReader(uint64_t reader_id);

  EngineStreamSpec m_spec;
  Hooks m_hooks;
  std::string m_version_json;
  // Indexed by position - 1; includes resume tokens.
  std::vector<std::string> m_texts;
  // Chain hash after the last token.
  uint32_t m_chain;
  TimePoint m_frozen_until;
  uint64_t m_next_reader_id = 1;
  std::vector<std::unique_ptr<Reader>> m_readers;
};

}  // namespace bramleybank::standin

#endif  // BRAMLEYBANK_TOOLS_STANDIN_ENGINE_STREAM_H_
