// Table of the engines that have prefilled each prompt, as known to one
// gateway.
#ifndef BRAMLEYBANK_SRC_PROMPT_LOCATIONS_H_
#define BRAMLEYBANK_SRC_PROMPT_LOCATIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "hooks.h"

namespace bramleybank {

/// Hash of the names of a prompt's parts.
using PromptHash = uint64_t;

PromptHash HashPrompt(std::string_view prompt_parts);

/// Maps prompts to the engines that have prefilled them. After a loss of
/// gateways, dozens of callers resume their streams at once, and an engine that
/// prefills all their prompts again keeps them waiting for seconds. Engines
/// keep prefilled prompts for a while, so a stream is resumed at the engine
/// that prefilled its prompt or at one that copies the prompt from there.
class PromptLocations {
 public:
  /// An engine prefills the prompt or resumes its stream from a copy.
  void Add(PromptHash prompt, std::string_view endpoint_id, TimePoint now);
  /// Adds the entries of an encoded row with the time `now`. Prompts that are
  /// already known keep their entries.
  void Merge(std::string_view row, TimePoint now);
  /// Adds the entries of an encoded row with the time `now`. They replace known
  /// entries, so the row must be newer.
  void Update(std::string_view row, TimePoint now);
  /// Evicts entries that are too old, and the oldest ones over the size limit.
  void EvictOld(TimePoint now);

  /// @returns the id of the engine that last prefilled the prompt; empty if
  /// none is known.
  std::string Find(PromptHash prompt) const;
  /// @returns all entries encoded as the value of a row.
  std::string Encode() const;
  size_t size() const { return m_entries.size(); }

 private:
  /// Calls `visit` for each valid line of an encoded row.
  static void ForEach(
      std::string_view row,
      const std::function<void(PromptHash, std::string_view)>& visit);

  struct Entry {
    std::string endpoint_id;
    TimePoint added_at;
  };

  std::map<PromptHash, Entry> m_entries;
  // All calls of Add() in order; a renewed entry is listed more than once.
  std::deque<std::pair<TimePoint, PromptHash>> m_additions;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PROMPT_LOCATIONS_H_
