// Self-checking answers. Each token of the engine stand-in carries a hash of
// everything before it, so a caller can detect lost, repeated, reordered or
// mixed tokens without knowing the sampled text in advance.
#ifndef BRAMLEYBANK_TOOLS_ANSWER_CHAIN_H_
#define BRAMLEYBANK_TOOLS_ANSWER_CHAIN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace bramleybank {

/// Length of each token: space, 4 hex digits, dot, 8 hex digits.
inline constexpr size_t kTokenTextBytes = 14;
/// Number of tokens generated when a request does not set max_tokens.
inline constexpr uint64_t kDefaultMaxTokens = 64;

/// @returns the chain hash before the first token.
uint32_t InitialChainHash(std::string_view model,
                          std::string_view version,
                          std::string_view adapter,
                          std::string_view prompt);

/// @returns the chain hash after the token with position `index` (from 1) and
/// text `text`.
uint32_t NextChainHash(uint32_t chain, std::string_view text, uint64_t index);

/// @returns the text of the token that follows chain hash `chain`.
std::string FormatToken(uint16_t nonce, uint32_t chain);

/// The parts of a token's text.
struct TokenParts {
  /// Hash of the process, generation and attempt that sampled the token.
  uint16_t nonce = 0;
  /// Chain hash before the token.
  uint32_t chain = 0;

  friend bool operator==(const TokenParts&, const TokenParts&) = default;
};

/// @returns nothing unless `text` is exactly one token.
std::optional<TokenParts> ParseToken(std::string_view text);

/// @returns the prompt of a request body: its `prompt`, or its `messages` as
/// lines of role and content. Nothing when neither is present and valid.
std::optional<std::string> ExtractPrompt(const nlohmann::json& body);

enum class AnswerFaultKind {
  kMalformed,
  kMissing,
  kRepeated,
  kReordered,
  kMixed,
  kShort,
  kOverlong,
  /// The count in the answer's last chunk differs from the tokens received.
  kWrongCount,
};

std::string_view AnswerFaultName(AnswerFaultKind kind);

/// One fault of an answer.
struct AnswerFault {
  AnswerFaultKind kind = AnswerFaultKind::kMalformed;
  /// Position of the token, from 1. For kShort, kOverlong and kWrongCount, a
  /// number of tokens.
  uint64_t position = 0;

  friend bool operator==(const AnswerFault&, const AnswerFault&) = default;
};

/// Checks the chain hashes of one answer incrementally.
class AnswerChecker {
 public:
  /// @param initial_chain InitialChainHash() of the request and the serving
  /// version.
  AnswerChecker(uint32_t initial_chain, uint64_t max_tokens);

  /// Accepts text of any length; a token may be split over several calls.
  void Feed(std::string_view text);

  /// Checks what can only be known once the answer is complete.
  /// @param count number of tokens that the answer itself states, if any.
  void Finish(std::optional<uint64_t> count);

  /// Tokens received, including repeated ones.
  uint64_t received() const { return m_received; }
  const std::vector<AnswerFault>& faults() const { return m_faults; }

 private:
  struct Token {
    uint16_t nonce = 0;
    // Chain hash before this token.
    uint32_t chain = 0;
    bool delivered = false;
  };

  void ProcessToken(std::string_view text);
  void Append(const TokenParts& parts, bool delivered);
  bool MatchKnownToken(const TokenParts& parts);
  bool MatchTokenAfterGap(const TokenParts& parts);
  bool FillGap(const TokenParts& parts, uint16_t nonce);
  void Report(AnswerFaultKind kind, uint64_t position);

  uint64_t m_max_tokens;
  // Chain hash that the next token in order must carry.
  uint32_t m_chain;
  // Indexed by position - 1. A gap is filled with the tokens that must have
  // been sent, marked as not delivered.
  std::vector<Token> m_tokens;
  // Position of each token by the chain hash before it.
  std::unordered_map<uint32_t, uint64_t> m_positions;
  // Start of a token whose rest has not been received.
  std::string m_partial;
  uint64_t m_received = 0;
  std::vector<AnswerFault> m_faults;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_ANSWER_CHAIN_H_
