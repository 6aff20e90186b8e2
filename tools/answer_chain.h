// Checkable answers. Each token of the engine stand-in carries a hash of
// everything before it, so a caller finds lost, repeated, reordered or mixed
// tokens without knowing the sampled text in advance.
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
/// Tokens of a generation that sets no max_tokens.
inline constexpr uint64_t kDefaultMaxTokens = 64;

/// @returns the hash before the first token.
uint32_t InitialChainHash(std::string_view model,
                          std::string_view version,
                          std::string_view adapter,
                          std::string_view prompt);

/// @returns the hash after token `index` (from 1) of text `text`.
uint32_t NextChainHash(uint32_t chain, std::string_view text, uint64_t index);

/// @returns the text of the token that follows `chain`.
std::string FormatToken(uint16_t nonce, uint32_t chain);

/// The parts of a token's text.
struct TokenParts {
  uint16_t nonce = 0;
  uint32_t chain = 0;

  friend bool operator==(const TokenParts&, const TokenParts&) = default;
};

/// @returns nothing when `text` is not one token.
std::optional<TokenParts> ParseToken(std::string_view text);

/// @returns the prompt of a request body: `prompt`, or `messages` as lines of
/// role and content; nothing when the body has neither in a valid form.
std::optional<std::string> ExtractPrompt(const nlohmann::json& body);

enum class AnswerFaultKind {
  kMalformed,
  kMissing,
  kRepeated,
  kReordered,
  kMixed,
  kShort,
  kOverlong,
  /// The answer's own count differs from the tokens received.
  kWrongCount,
};

std::string_view AnswerFaultName(AnswerFaultKind kind);

/// One fault of an answer.
struct AnswerFault {
  AnswerFaultKind kind = AnswerFaultKind::kMalformed;
  /// Position of the token, from 1.
  uint64_t position = 0;

  friend bool operator==(const AnswerFault&, const AnswerFault&) = default;
};

/// Checks one answer as it arrives.
class AnswerChecker {
 public:
  /// @param initial_chain InitialChainHash() of the request and the serving
  /// version.
  AnswerChecker(uint32_t initial_chain, uint64_t max_tokens);

  /// Takes text of any length; tokens may be cut anywhere.
  void Feed(std::string_view text);

  /// Ends the check of a whole answer.
  /// @param count number of tokens that the answer itself names, if it does.
  void Finish(std::optional<uint64_t> count);

  /// Tokens received, repeated ones included.
  uint64_t received() const { return m_received; }
  const std::vector<AnswerFault>& faults() const { return m_faults; }

 private:
  struct Token {
    uint16_t nonce = 0;
    // Hash before this token.
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
  // Hash that the next token in order must carry.
  uint32_t m_chain;
  // By position - 1. A gap is filled with the tokens that must have been
  // there, not delivered.
  std::vector<Token> m_tokens;
  // Position by the hash before the token.
  std::unordered_map<uint32_t, uint64_t> m_positions;
  std::string m_partial;
  uint64_t m_received = 0;
  std::vector<AnswerFault> m_faults;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_TOOLS_ANSWER_CHAIN_H_
