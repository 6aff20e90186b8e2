// Identity of one prompt part.
#ifndef BRAMLEYBANK_SRC_PROMPT_PART_H_
#define BRAMLEYBANK_SRC_PROMPT_PART_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bramleybank {

/// Hash of the id of one prompt part.
using PromptPartHash = uint64_t;

PromptPartHash HashPromptPart(std::string_view id);

/// @returns the hash as it is written in log lines.
std::string FormatPart(PromptPartHash part);
/// @returns the hashes, separated by commas.
std::string FormatParts(std::span<const PromptPartHash> parts);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PROMPT_PART_H_
