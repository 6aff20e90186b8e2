// Private to the messages between daemons: encoding and decoding with msgpack.
//
// Decoding takes two passes. The first one only counts values and allocates
// nothing. It verifies that each declared length is followed by that many
// values, so that the second pass never allocates memory for a false length.
#ifndef BRAMLEYBANK_SRC_PEER_CODEC_P_H_
#define BRAMLEYBANK_SRC_PEER_CODEC_P_H_

#include <msgpack.hpp>

#include <cstdint>
#include <exception>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "bramleybank/limits.h"
#include "bramleybank/result_code.h"

namespace bramleybank {

inline constexpr size_t kMaxPeerNameBytes = 256;
inline constexpr size_t kMaxPeerMessageDepth = 8;

struct StringBuffer {
  std::string bytes;
  void write(const char* data, size_t size) { bytes.append(data, size); }
};

using Packer = msgpack::packer<StringBuffer>;

inline void Pack(Packer& packer, std::string_view text) {
  packer.pack_str(static_cast<uint32_t>(text.size()));
  packer.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
}

template <typename Fields>
std::string EncodeArray(uint32_t format, uint32_t count, Fields&& fields) {
  StringBuffer buffer;
  Packer packer(buffer);
  packer.pack_array(count + 1);
  packer.pack_uint32(format);
  std::forward<Fields>(fields)(packer);
  return std::move(buffer.bytes);
}

/// First pass: checks depth and the number of values; allocates nothing.
class CountingVisitor : public msgpack::null_visitor {
 public:
  bool visit_nil() { return Count(); }
  bool visit_boolean(bool /*value*/) { return Count(); }
  bool visit_positive_integer(uint64_t /*value*/) { return Count(); }
  bool visit_negative_integer(int64_t /*value*/) { return Count(); }
  bool visit_float32(float /*value*/) { return Count(); }
  bool visit_float64(double /*value*/) { return Count(); }
  bool visit_str(const char* /*data*/, uint32_t /*size*/) { return Count(); }
  bool visit_bin(const char* /*data*/, uint32_t /*size*/) { return Count(); }
  bool visit_ext(const char* /*data*/, uint32_t /*size*/) { return Count(); }
  bool start_array(uint32_t /*count*/) { return Enter(); }
  bool end_array() { return Leave(); }
  bool start_map(uint32_t /*count*/) { return Enter(); }
  bool end_map() { return Leave(); }

 private:
  bool Count() { return ++m_items <= kMaxPeerMessageItems; }
  bool Enter() { return ++m_depth <= kMaxPeerMessageDepth && Count(); }
  bool Leave() {
    --m_depth;
    return true;
  }

  size_t m_items = 0;
  size_t m_depth = 0;
};

inline bool IsWellFormed(std::string_view bytes) {
  if (bytes.empty() || bytes.size() > kMaxPeerBodyBytes) {
    return false;
  }
  CountingVisitor visitor;
  size_t offset = 0;
  return msgpack::parse(bytes.data(), bytes.size(), offset, visitor) &&
         offset == bytes.size();
}

template <typename T>
requires std::is_unsigned_v<T>
bool ConvertField(const msgpack::object& item, T& value) {
  if (item.type != msgpack::type::POSITIVE_INTEGER ||
      item.via.u64 > std::numeric_limits<T>::max()) {
    return false;
  }
  value = static_cast<T>(item.via.u64);
  return true;
}

inline bool ConvertField(const msgpack::object& item, bool& value) {
  value = item.type == msgpack::type::BOOLEAN && item.via.boolean;
  return item.type == msgpack::type::BOOLEAN;
}

/// @returns whether `item` is a string of at most `max_bytes`.
inline bool ConvertText(const msgpack::object& item,
                        size_t max_bytes,
                        std::string& value) {
  if (item.type != msgpack::type::STR || item.via.str.size > max_bytes) {
    return false;
  }
  value.assign(item.via.str.ptr, item.via.str.size);
  return true;
}

inline bool ConvertField(const msgpack::object& item, std::string& value) {
  return ConvertText(item, kMaxPeerNameBytes, value);
}

template <typename T>
bool ConvertField(const msgpack::object& item, std::optional<T>& value) {
  return ConvertField(item, value.emplace());
}

template <typename T>
bool ConvertField(const msgpack::object& item, std::vector<T>& value) {
  if (item.type != msgpack::type::ARRAY) {
    return false;
  }
  value.resize(item.via.array.size);
  for (uint32_t i = 0; i < item.via.array.size; ++i) {
    if (!ConvertField(item.via.array.ptr[i], value[i])) {
      return false;
    }
  }
  return true;
}

/// Reads the elements of an array in order. Missing and nil elements leave the
/// value unchanged; elements of a wrong type make the reader fail. Each message
/// type provides a ConvertField() overload for its own field types.
class ArrayReader {
 public:
  explicit ArrayReader(const msgpack::object& object) {
    m_ok = object.type == msgpack::type::ARRAY;
    if (m_ok) {
      m_next = object.via.array.ptr;
      m_end = m_next + object.via.array.size;
    }
  }

  bool ok() const { return m_ok; }

  template <typename T>
  ArrayReader& Read(T& value) {
    const msgpack::object* item = Next();
    m_ok = m_ok && (item == nullptr || ConvertField(*item, value));
    return *this;
  }

  /// For strings that may be longer than kMaxPeerNameBytes.
  ArrayReader& ReadText(size_t max_bytes, std::string& value) {
    const msgpack::object* item = Next();
    m_ok = m_ok && (item == nullptr || ConvertText(*item, max_bytes, value));
    return *this;
  }

 private:
  /// @returns the next element, or null when it is missing or nil.
  const msgpack::object* Next() {
    if (!m_ok || m_next == m_end) {
      return nullptr;
    }
    const msgpack::object* item = m_next++;
    return item->type == msgpack::type::NIL ? nullptr : item;
  }

  const msgpack::object* m_next = nullptr;
  const msgpack::object* m_end = nullptr;
  bool m_ok = false;
};

inline bool ReferenceInput(msgpack::type::object_type /*type*/,
                           size_t /*size*/,
                           void* /*user*/) {
  return true;
}

template <typename Message>
std::optional<Message> DecodeFields(std::string_view bytes) {
  if (!IsWellFormed(bytes)) {
    return std::nullopt;
  }
  msgpack::zone zone;
  size_t offset = 0;
  bool referenced = false;
  const msgpack::object object = msgpack::unpack(
      zone, bytes.data(), bytes.size(), offset, referenced, &ReferenceInput);
  Message message;
  message.format = 0;
  ArrayReader reader(object);
  reader.Read(message.format);
  ReadFields(reader, message);
  if (!reader.ok() || message.format == 0) {
    return std::nullopt;
  }
  return message;
}

/// Decodes bytes from another daemon; never throws.
/// @param error set to kPeerBadMessage when decoding fails; may be null.
template <typename Message>
std::optional<Message> DecodeMessage(std::string_view bytes, Reason* error) {
  std::optional<Message> message;
  std::string detail = "malformed message";
  try {
    message = DecodeFields<Message>(bytes);
  } catch (const std::exception& exception) {
    detail = exception.what();
  }
  if (!message && error != nullptr) {
    *error = {ResultCode::kPeerBadMessage, detail};
  }
  return message;
}

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_PEER_CODEC_P_H_
