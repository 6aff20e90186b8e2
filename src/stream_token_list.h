// Compact list of the tokens of one stream.
#ifndef BRAMLEYBANK_SRC_STREAM_TOKEN_LIST_H_
#define BRAMLEYBANK_SRC_STREAM_TOKEN_LIST_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace bramleybank {

/// Stores the texts of tokens in one buffer, with 4 bytes of overhead per
/// token. One std::string per token would use 32 bytes for a token of 5 bytes.
class StreamTokenList {
 public:
  StreamTokenList() = default;
  StreamTokenList(std::initializer_list<std::string_view> tokens);

  /// @remarks the total length of all texts must be below 4 GiB.
  void Append(std::string_view token);
  /// Appends the tokens of `other` starting at `index`.
  void AppendFrom(const StreamTokenList& other, size_t index);
  /// Removes all tokens after the first `count`.
  void Truncate(size_t count);

  /// @param index zero-based; index 0 is position 1 of a stream.
  std::string_view operator[](size_t index) const;

  size_t size() const { return m_ends.size(); }
  bool empty() const { return m_ends.empty(); }
  /// @returns the total length of all texts.
  size_t text_bytes() const { return m_text.size(); }
  /// @returns the allocated memory, including unused capacity.
  size_t memory_bytes() const {
    return m_text.capacity() + m_ends.capacity() * sizeof(uint32_t);
  }

  friend bool operator==(const StreamTokenList&,
                         const StreamTokenList&) = default;

 private:
  std::string m_text;
  // End offset of each token in m_text, ascending. Invariant: the last one is
  // m_text.size().
  std::vector<uint32_t> m_ends;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_TOKEN_LIST_H_
