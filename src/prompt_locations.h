// Which engine has read which prompt, as far as one gateway knows.
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

/// Answers the load after a loss of gateways: dozens of callers come back at
/// once in the middle of their streams, and an engine that reads all prompts
/// again keeps them waiting for seconds. An engine keeps the prompts it has
/// read for a while, so a stream goes on at the engine that read its prompt,
/// or at one that copies the prompt from there.
class PromptLocations {
 public:
  /// An engine reads the prompt, or goes on from a copy of its memory.
  void Add(PromptHash prompt, std::string_view endpoint_id, TimePoint now);
  /// Takes over the entries of an encoded row. They count as added now, unless
  /// the prompt is known already.
  void Merge(std::string_view row, TimePoint now);
  /// Takes over the entries of an encoded row that is newer than what is known.
  void Update(std::string_view row, TimePoint now);
  /// Forgets entries that were added too long ago.
  void DropOld(TimePoint now);

  /// @returns the id of the engine that read the prompt last; empty when it is
  /// not known.
  std::string Find(PromptHash prompt) const;
  /// @returns all entries as the value of a row.
  std::string Encode() const;
  size_t size() const { return m_entries.size(); }

 private:
  static void ForEach(
      std::string_view row,
      const std::function<void(PromptHash, std::string_view)>& take);

  struct Entry {
    std::string endpoint_id;
    TimePoint added_at;
  };

  std::map<PromptHash, Entry> m_entries;
  // Every Add() in its order; an entry that was renewed stands here twice.
  std::deque<std::pair<TimePoint, PromptHash>> m_order;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PROMPT_LOCATIONS_H_
