// Hashes of prompt parts, and their text in log lines.
#include "prompt_part.h"

#include <xxhash.h>

namespace bramleybank {

PromptPartHash HashPromptPart(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

std::string FormatPart(PromptPartHash part) {
  constexpr size_t kDigits = 16;
  constexpr int kBitsPerDigit = 4;
  constexpr uint64_t kDigitMask = 0xf;
  std::string text(kDigits, '0');
  for (size_t i = kDigits; i-- > 0; part >>= kBitsPerDigit) {
    text[i] = "0123456789abcdef"[part & kDigitMask];
  }
  return text;
}

std::string FormatParts(std::span<const PromptPartHash> parts) {
  std::string text;
  for (const PromptPartHash part : parts) {
    text.append(text.empty() ? "" : ",").append(FormatPart(part));
  }
  return text;
}

}  // namespace bramleybank
