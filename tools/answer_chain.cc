// Hash chain over the tokens of an answer, and the checker that verifies it.
#include "answer_chain.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace bramleybank {
namespace {

/// Longest run of missing tokens that the checker can reconstruct. A longer gap
/// is reported as kMixed.
constexpr uint64_t kMaxGapTokens = 256;

template <typename Number>
bool ParseHex(std::string_view text, Number* value) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value, 16);
  return error == std::errc() && end == text.data() + text.size();
}

void AppendHex(uint32_t value, int digits, std::string* out) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  for (int shift = 4 * (digits - 1); shift >= 0; shift -= 4) {
    *out += kDigits[(value >> static_cast<unsigned>(shift)) & 0xFU];
  }
}

}  // namespace

uint32_t InitialChainHash(std::string_view model,
                          std::string_view version,
                          std::string_view adapter,
                          std::string_view prompt) {
  std::string bytes;
  for (const std::string_view part : {model, version, adapter}) {
    bytes.append(part).push_back('\0');
  }
  bytes.append(prompt);
  return XXH32(bytes.data(), bytes.size(), 0);
}

uint32_t NextChainHash(uint32_t chain, std::string_view text, uint64_t index) {
  const uint32_t hash = XXH32(text.data(), text.size(), chain);
  return XXH32(&index, sizeof(index), hash);
}

std::string FormatToken(uint16_t nonce, uint32_t chain) {
  std::string text(1, ' ');
  text.reserve(kTokenTextBytes);
  AppendHex(nonce, 4, &text);
  text += '.';
  AppendHex(chain, 8, &text);
  return text;
}

std::optional<TokenParts> ParseToken(std::string_view text) {
  TokenParts parts;
  if (text.size() != kTokenTextBytes || text[0] != ' ' || text[5] != '.' ||
      !ParseHex(text.substr(1, 4), &parts.nonce) ||
      !ParseHex(text.substr(6), &parts.chain)) {
    return std::nullopt;
  }
  return parts;
}

std::optional<std::string> ExtractPrompt(const nlohmann::json& body) {
  const auto prompt = body.find("prompt");
  if (prompt != body.end()) {
    return prompt->is_string() ? std::optional(prompt->get<std::string>())
                               : std::nullopt;
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) {
    return std::nullopt;
  }
  std::string text;
  for (const auto& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content") ||
        !message["content"].is_string()) {
      return std::nullopt;
    }
    text += message["role"].get<std::string>() + "\n" +
            message["content"].get<std::string>() + "\n";
  }
  return text;
}

std::string_view AnswerFaultName(AnswerFaultKind kind) {
  static constexpr std::array<std::string_view, 8> kNames = {
      "malformed", "missing", "repeated", "reordered",
      "mixed",     "short",   "overlong", "wrong_count"};
  return kNames[static_cast<size_t>(kind)];
}

AnswerChecker::AnswerChecker(uint32_t initial_chain, uint64_t max_tokens)
    : m_max_tokens(max_tokens), m_chain(initial_chain) {}

void AnswerChecker::Feed(std::string_view text) {
  m_partial.append(text);
  std::string_view rest = m_partial;
  while (rest.size() >= kTokenTextBytes) {
    ProcessToken(rest.substr(0, kTokenTextBytes));
    rest.remove_prefix(kTokenTextBytes);
  }
  m_partial.erase(0, m_partial.size() - rest.size());
}

void AnswerChecker::ProcessToken(std::string_view text) {
  ++m_received;
  const auto parts = ParseToken(text);
  if (!parts) {
    Report(AnswerFaultKind::kMalformed, m_tokens.size() + 1);
    return;
  }
  if (parts->chain == m_chain) {
    Append(*parts, true);
    return;
  }
  if (MatchKnownToken(*parts) || MatchTokenAfterGap(*parts)) {
    return;
  }
  // The token neither belongs to this answer nor continues it. The check
  // resynchronizes on this token, so that each break is reported only once.
  Report(AnswerFaultKind::kMixed, m_tokens.size() + 1);
  m_chain = parts->chain;
  Append(*parts, true);
}

void AnswerChecker::Append(const TokenParts& parts, bool delivered) {
  m_positions.emplace(m_chain, m_tokens.size() + 1);
  m_tokens.push_back({parts.nonce, m_chain, delivered});
  m_chain = NextChainHash(m_chain, FormatToken(parts.nonce, m_chain),
                          m_tokens.size());
}

bool AnswerChecker::MatchKnownToken(const TokenParts& parts) {
  const auto it = m_positions.find(parts.chain);
  if (it == m_positions.end()) {
    return false;
  }
  Token& token = m_tokens[it->second - 1];
  if (token.nonce != parts.nonce) {
    // The prefix is the same but the nonce differs, so another generation
    // sampled this token.
    Report(AnswerFaultKind::kMixed, it->second);
  } else if (token.delivered) {
    Report(AnswerFaultKind::kRepeated, it->second);
  } else {
    Report(AnswerFaultKind::kReordered, it->second);
    token.delivered = true;
  }
  return true;
}

bool AnswerChecker::MatchTokenAfterGap(const TokenParts& parts) {
  const uint16_t last = m_tokens.empty() ? parts.nonce : m_tokens.back().nonce;
  return FillGap(parts, last) || FillGap(parts, parts.nonce);
}

bool AnswerChecker::FillGap(const TokenParts& parts, uint16_t nonce) {
  uint32_t chain = m_chain;
  for (uint64_t gap = 1; gap <= kMaxGapTokens; ++gap) {
    chain =
        NextChainHash(chain, FormatToken(nonce, chain), m_tokens.size() + gap);
    if (chain != parts.chain) {
      continue;
    }
    for (uint64_t i = 0; i < gap; ++i) {
      Append({.nonce = nonce}, false);
    }
    Append(parts, true);
    return true;
  }
  return false;
}

void AnswerChecker::Finish(std::optional<uint64_t> count) {
  if (!m_partial.empty()) {
    Report(AnswerFaultKind::kMalformed, m_tokens.size() + 1);
  }
  for (size_t i = 0; i < m_tokens.size(); ++i) {
    if (!m_tokens[i].delivered) {
      Report(AnswerFaultKind::kMissing, i + 1);
    }
  }
  if (m_received < m_max_tokens) {
    Report(AnswerFaultKind::kShort, m_received);
  } else if (m_received > m_max_tokens) {
    Report(AnswerFaultKind::kOverlong, m_received);
  }
  if (count && *count != m_received) {
    Report(AnswerFaultKind::kWrongCount, *count);
  }
}

void AnswerChecker::Report(AnswerFaultKind kind, uint64_t position) {
  m_faults.push_back({kind, position});
}

}  // namespace bramleybank
