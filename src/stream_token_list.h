// The tokens of one stream in a compact form.
#ifndef BRAMLEYBANK_SRC_STREAM_TOKEN_LIST_H_
#define BRAMLEYBANK_SRC_STREAM_TOKEN_LIST_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace bramleybank {

/// Texts of tokens in one buffer, 4 bytes each besides the text. A
/// std::string each would use 32 bytes for a token of 5.
class StreamTokenList {
 public:
  StreamTokenList() = default;
  StreamTokenList(std::initializer_list<std::string_view> tokens);

  /// @remarks the texts together must stay below 4 GiB.
  void Append(std::string_view token);
  /// Appends the tokens of `other` from `index` on.
  void AppendFrom(const StreamTokenList& other, size_t index);
  /// Keeps the first `count` tokens.
  void Truncate(size_t count);

  /// @param index from 0, which is position 1 of a stream.
  std::string_view operator[](size_t index) const;

  size_t size() const { return m_ends.size(); }
  bool empty() const { return m_ends.empty(); }
  /// @returns the length of all texts together.
  size_t text_bytes() const { return m_text.size(); }
  /// @returns the memory allocated, spare capacity included.
  size_t memory_bytes() const {
    return m_text.capacity() + m_ends.capacity() * sizeof(uint32_t);
  }

  friend bool operator==(const StreamTokenList&,
                         const StreamTokenList&) = default;

 private:
  std::string m_text;
  // End of each token in m_text, ascending; the last one is m_text.size().
  std::vector<uint32_t> m_ends;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_STREAM_TOKEN_LIST_H_
