// The oldest entries are evicted first. An encoded row has one line per entry:
// the hash in hexadecimal digits, a space and the id of the engine.
#include "prompt_locations.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

constexpr int kHexadecimal = 16;

std::optional<PromptHash> ParseHash(std::string_view text) {
  PromptHash hash = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] =
      std::from_chars(text.data(), end, hash, kHexadecimal);
  if (error != std::errc() || parsed_to != end) {
    return std::nullopt;
  }
  return hash;
}

}  // namespace

PromptHash HashPrompt(std::string_view prompt_parts) {
  return XXH3_64bits(prompt_parts.data(), prompt_parts.size());
}

void PromptLocations::Add(PromptHash prompt,
                          std::string_view endpoint_id,
                          TimePoint now) {
  m_entries.insert_or_assign(
      prompt, Entry{.endpoint_id = std::string(endpoint_id), .added_at = now});
  m_additions.emplace_back(now, prompt);
  EvictOld(now);
}

void PromptLocations::ForEach(
    std::string_view row,
    const std::function<void(PromptHash, std::string_view)>& visit) {
  while (!row.empty()) {
    const std::string_view line = row.substr(0, row.find('\n'));
    row.remove_prefix(std::min(row.size(), line.size() + 1));
    const size_t blank = line.find(' ');
    if (blank == std::string_view::npos || blank + 1 == line.size()) {
      continue;
    }
    if (const auto hash = ParseHash(line.substr(0, blank))) {
      visit(*hash, line.substr(blank + 1));
    }
  }
}

void PromptLocations::Merge(std::string_view row, TimePoint now) {
  ForEach(row, [this, now](PromptHash prompt, std::string_view endpoint_id) {
    if (!m_entries.contains(prompt)) {
      Add(prompt, endpoint_id, now);
    }
  });
}

void PromptLocations::Update(std::string_view row, TimePoint now) {
  ForEach(row, [this, now](PromptHash prompt, std::string_view endpoint_id) {
    Add(prompt, endpoint_id, now);
  });
}

void PromptLocations::EvictOld(TimePoint now) {
  while (!m_additions.empty() &&
         (now - m_additions.front().first > kPromptLocationLifetime ||
          m_entries.size() > kMaxPromptLocations)) {
    const auto [added_at, prompt] = m_additions.front();
    m_additions.pop_front();
    const auto it = m_entries.find(prompt);
    if (it != m_entries.end() && it->second.added_at == added_at) {
      m_entries.erase(it);
    }
  }
}

std::string PromptLocations::Find(PromptHash prompt) const {
  const auto it = m_entries.find(prompt);
  return it == m_entries.end() ? "" : it->second.endpoint_id;
}

std::string PromptLocations::Encode() const {
  std::string row;
  for (const auto& [prompt, entry] : m_entries) {
    char hash[kHexadecimal + 1];
    const auto end =
        std::to_chars(hash, hash + sizeof(hash), prompt, kHexadecimal).ptr;
    row.append(hash, end).append(" ").append(entry.endpoint_id).append("\n");
  }
  return row;
}

}  // namespace bramleybank
