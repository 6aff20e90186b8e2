// Row of the suspects of one service. Each line is one suspect: part, weight,
// crashes, crashes since an answer has begun, known, trials, endpoint,
// companions, latest and the weight of the last crash, separated by spaces;
// parts in hexadecimal digits, lists separated by commas, empty texts as "-".
// Older gateways leave the last field out.
#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include "bramleybank/limits.h"
#include "prompt_suspects.h"

namespace bramleybank {
namespace {

constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;
constexpr std::string_view kEmpty = "-";
constexpr size_t kFields = 10;

template <typename Number>
std::optional<Number> Parse(std::string_view text, int base) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] =
      std::from_chars(text.data(), end, number, base);
  if (error != std::errc() || parsed_to != end) {
    return std::nullopt;
  }
  return number;
}

/// @returns a number from 0 to `most`.
std::optional<int> ParseCount(std::string_view text, int most) {
  const auto number = Parse<int>(text, kDecimal);
  return number && *number >= 0 && *number <= most ? number : std::nullopt;
}

/// Removes the text up to the next separator.
std::string_view TakeUntil(char separator, std::string_view* text) {
  const std::string_view taken = text->substr(0, text->find(separator));
  text->remove_prefix(std::min(text->size(), taken.size() + 1));
  return taken;
}

std::optional<std::vector<PromptPartHash>> ParseParts(std::string_view text) {
  std::vector<PromptPartHash> parts;
  if (text == kEmpty) {
    return parts;
  }
  while (!text.empty()) {
    const auto part =
        Parse<PromptPartHash>(TakeUntil(',', &text), kHexadecimal);
    if (!part || parts.size() >= kMaxSuspectCompanions) {
      return std::nullopt;
    }
    parts.push_back(*part);
  }
  return parts;
}

std::optional<PromptSuspect> ParseSuspect(std::string_view line) {
  std::array<std::string_view, kFields> fields;
  for (std::string_view& field : fields) {
    field = TakeUntil(' ', &line);
  }
  const auto part = Parse<PromptPartHash>(fields[0], kHexadecimal);
  const auto weight = ParseCount(fields[1], kMaxCrashWeight);
  const auto crashes = ParseCount(fields[2], kMaxCrashWeight);
  const auto open_crashes = ParseCount(fields[3], kMaxCrashWeight);
  const auto known = ParseCount(fields[4], 1);
  const auto trials = ParseCount(fields[5], kMaxPromptTrials);
  // Without it, no report can raise the weight of the last crash.
  const auto latest_weight = fields[9].empty()
                                 ? std::optional<int>(kMaxCrashWeight)
                                 : ParseCount(fields[9], kMaxCrashWeight);
  const auto companions = ParseParts(fields[7]);
  const auto latest = ParseParts(fields[8]);
  if (!part || !weight || !crashes || !open_crashes || !known || !trials ||
      !companions || !latest || !latest_weight || fields[6].empty() ||
      fields[8].empty() || !line.empty() ||
      fields[6].size() > kMaxSuspectEndpointBytes) {
    return std::nullopt;
  }
  return PromptSuspect{.part = *part,
                       .weight = *weight,
                       .latest_weight = *latest_weight,
                       .crashes = *crashes,
                       .open_crashes = *open_crashes,
                       .is_known = *known == 1,
                       .trials = *trials,
                       .endpoint = std::string(fields[6]),
                       .companions = *companions,
                       .latest = *latest};
}

void WriteParts(const std::vector<PromptPartHash>& parts,
                std::ostringstream* out) {
  if (parts.empty()) {
    *out << ' ' << kEmpty;
    return;
  }
  char separator = ' ';
  for (const PromptPartHash part : parts) {
    *out << separator << std::hex << part << std::dec;
    separator = ',';
  }
}

}  // namespace

std::string PromptSuspectList::Encode() const {
  std::ostringstream out;
  for (const PromptSuspect& suspect : m_suspects) {
    out << std::hex << suspect.part << std::dec << ' ' << suspect.weight << ' '
        << suspect.crashes << ' ' << suspect.open_crashes << ' '
        << (suspect.is_known ? 1 : 0) << ' ' << suspect.trials << ' '
        << suspect.endpoint;
    WriteParts(suspect.companions, &out);
    WriteParts(suspect.latest, &out);
    out << ' ' << suspect.latest_weight << '\n';
  }
  return out.str();
}

PromptSuspectList PromptSuspectList::Decode(std::string_view text) {
  PromptSuspectList list;
  while (!text.empty() && list.m_suspects.size() < kMaxPromptSuspects) {
    auto suspect = ParseSuspect(TakeUntil('\n', &text));
    if (suspect && list.Find(suspect->part) == nullptr) {
      list.m_suspects.push_back(std::move(*suspect));
    }
  }
  return list;
}

}  // namespace bramleybank
