// Encoding and decoding of messages between daemons with msgpack.
//
// Decoding takes two passes. The first one only counts and allocates nothing;
// after it, every length in the bytes is known to be backed by that many
// values, so the second one cannot be led to allocate for a length alone.
#include "peer_message.h"

#include <msgpack.hpp>

#include <limits>
#include <type_traits>
#include <utility>

#include "bramleybank/limits.h"

namespace bramleybank {
namespace {

constexpr size_t kMaxNameBytes = 256;
constexpr size_t kMaxDepth = 8;
// Keeps sums of positions far from overflow.
constexpr uint64_t kMaxPosition = uint64_t{1} << 40U;

// --- Encoding ---------------------------------------------------------------

struct StringBuffer {
  std::string bytes;
  void write(const char* data, size_t size) { bytes.append(data, size); }
};

using Packer = msgpack::packer<StringBuffer>;

void Pack(Packer& packer, std::string_view text) {
  packer.pack_str(static_cast<uint32_t>(text.size()));
  packer.pack_str_body(text.data(), static_cast<uint32_t>(text.size()));
}

void Pack(Packer& packer, const StreamTokenList& tokens) {
  packer.pack_array(static_cast<uint32_t>(tokens.size()));
  for (size_t i = 0; i < tokens.size(); ++i) {
    Pack(packer, tokens[i]);
  }
}

void Pack(Packer& packer, const CopyIdentity& identity) {
  packer.pack_array(5);
  packer.pack_uint32(identity.request_hash);
  Pack(packer, identity.model);
  Pack(packer, identity.version);
  Pack(packer, identity.adapter);
  Pack(packer, identity.engine);
}

void Pack(Packer& packer, const CopyAppendEntry& entry) {
  // Defaults at the end are left out: an ordinary entry has 4 elements.
  const uint32_t count = entry.identity ? 6 : (entry.ends ? 5 : 4);
  packer.pack_array(count);
  packer.pack_uint64(entry.generation);
  packer.pack_uint32(entry.attempt);
  packer.pack_uint64(entry.first_position);
  Pack(packer, entry.tokens);
  if (count > 4) {
    entry.ends ? packer.pack_true() : packer.pack_false();
  }
  if (entry.identity) {
    Pack(packer, *entry.identity);
  }
}

void Pack(Packer& packer, const CopyAppendResult& result) {
  // The usual result, an acknowledgement, is its position alone.
  if (result.status == CopyAppendStatus::kAcked) {
    packer.pack_uint64(result.position);
    return;
  }
  packer.pack_array(2);
  packer.pack_uint8(static_cast<uint8_t>(result.status));
  packer.pack_uint32(result.newer_attempt);
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

// --- Decoding ---------------------------------------------------------------

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
  bool Enter() { return ++m_depth <= kMaxDepth && Count(); }
  bool Leave() {
    --m_depth;
    return true;
  }

  size_t m_items = 0;
  size_t m_depth = 0;
};

bool IsWellFormed(std::string_view bytes) {
  if (bytes.empty() || bytes.size() > kMaxPeerBodyBytes) {
    return false;
  }
  CountingVisitor visitor;
  size_t offset = 0;
  return msgpack::parse(bytes.data(), bytes.size(), offset, visitor) &&
         offset == bytes.size();
}

/// Reads the elements of an array in order. Missing and nil elements leave the
/// value as it is; elements of a wrong type make the reader fail.
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
    if (!m_ok || m_next == m_end) {
      return *this;
    }
    const msgpack::object& item = *m_next++;
    if (item.type != msgpack::type::NIL) {
      m_ok = Convert(item, value);
    }
    return *this;
  }

 private:
  template <typename T>
  requires std::is_unsigned_v<T>
  static bool Convert(const msgpack::object& item, T& value) {
    if (item.type != msgpack::type::POSITIVE_INTEGER ||
        item.via.u64 > std::numeric_limits<T>::max()) {
      return false;
    }
    value = static_cast<T>(item.via.u64);
    return true;
  }

  static bool Convert(const msgpack::object& item, bool& value) {
    value = item.type == msgpack::type::BOOLEAN && item.via.boolean;
    return item.type == msgpack::type::BOOLEAN;
  }

  static bool Convert(const msgpack::object& item, std::string& value) {
    if (item.type != msgpack::type::STR || item.via.str.size > kMaxNameBytes) {
      return false;
    }
    value.assign(item.via.str.ptr, item.via.str.size);
    return true;
  }

  static bool Convert(const msgpack::object& item, StreamTokenList& value) {
    if (item.type != msgpack::type::ARRAY) {
      return false;
    }
    for (uint32_t i = 0; i < item.via.array.size; ++i) {
      const msgpack::object& token = item.via.array.ptr[i];
      if (token.type != msgpack::type::STR) {
        return false;
      }
      value.Append({token.via.str.ptr, token.via.str.size});
    }
    return true;
  }

  static bool Convert(const msgpack::object& item, CopyIdentity& value) {
    return ArrayReader(item)
        .Read(value.request_hash)
        .Read(value.model)
        .Read(value.version)
        .Read(value.adapter)
        .Read(value.engine)
        .ok();
  }

  static bool Convert(const msgpack::object& item,
                      std::optional<CopyIdentity>& value) {
    return Convert(item, value.emplace());
  }

  static bool Convert(const msgpack::object& item, CopyAppendEntry& value) {
    return ArrayReader(item)
               .Read(value.generation)
               .Read(value.attempt)
               .Read(value.first_position)
               .Read(value.tokens)
               .Read(value.ends)
               .Read(value.identity)
               .ok() &&
           value.first_position >= 1 && value.first_position <= kMaxPosition;
  }

  static bool Convert(const msgpack::object& item, CopyAppendResult& value) {
    if (item.type == msgpack::type::POSITIVE_INTEGER) {
      return Convert(item, value.position);
    }
    uint8_t status = 0;
    ArrayReader reader(item);
    reader.Read(status).Read(value.newer_attempt);
    // A refusal that this release does not know is taken as "full", which
    // makes the owner look for another holder.
    value.status = status <= static_cast<uint8_t>(CopyAppendStatus::kFull)
                       ? static_cast<CopyAppendStatus>(status)
                       : CopyAppendStatus::kFull;
    return reader.ok() && status != 0;
  }

  static bool Convert(const msgpack::object& item, CopyClaimStatus& value) {
    uint8_t status = 0;
    if (!Convert(item, status)) {
      return false;
    }
    value = status <= static_cast<uint8_t>(CopyClaimStatus::kRequestMismatch)
                ? static_cast<CopyClaimStatus>(status)
                : CopyClaimStatus::kNotFound;
    return true;
  }

  template <typename T>
  static bool Convert(const msgpack::object& item, std::vector<T>& value) {
    if (item.type != msgpack::type::ARRAY) {
      return false;
    }
    value.resize(item.via.array.size);
    for (uint32_t i = 0; i < item.via.array.size; ++i) {
      if (!Convert(item.via.array.ptr[i], value[i])) {
        return false;
      }
    }
    return true;
  }

  const msgpack::object* m_next = nullptr;
  const msgpack::object* m_end = nullptr;
  bool m_ok = false;
};

void ReadFields(ArrayReader& reader, CopyAppend& message) {
  reader.Read(message.owner).Read(message.entries);
}

void ReadFields(ArrayReader& reader, CopyAppendReply& message) {
  reader.Read(message.results);
}

void ReadFields(ArrayReader& reader, CopyClaim& message) {
  reader.Read(message.generation)
      .Read(message.request_hash)
      .Read(message.minimum_attempt)
      .Read(message.claimant);
}

void ReadFields(ArrayReader& reader, CopyClaimReply& message) {
  reader.Read(message.status)
      .Read(message.attempt)
      .Read(message.identity)
      .Read(message.tokens);
}

void ReadFields(ArrayReader& reader, StreamRelease& message) {
  reader.Read(message.generation)
      .Read(message.request_hash)
      .Read(message.attempt)
      .Read(message.claimant);
}

void ReadFields(ArrayReader& reader, StreamReleaseReply& message) {
  reader.Read(message.found)
      .Read(message.attempt)
      .Read(message.identity)
      .Read(message.tokens);
}

bool ReferToInput(msgpack::type::object_type /*type*/,
                  size_t /*size*/,
                  void* /*user*/) {
  return true;
}

template <typename Message>
std::optional<Message> Decode(std::string_view bytes) {
  if (!IsWellFormed(bytes)) {
    return std::nullopt;
  }
  msgpack::zone zone;
  size_t offset = 0;
  bool referenced = false;
  const msgpack::object object = msgpack::unpack(
      zone, bytes.data(), bytes.size(), offset, referenced, &ReferToInput);
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

}  // namespace

std::string EncodePeerMessage(const CopyAppend& message) {
  return EncodeArray(message.format, 2, [&](Packer& packer) {
    Pack(packer, message.owner);
    packer.pack_array(static_cast<uint32_t>(message.entries.size()));
    for (const CopyAppendEntry& entry : message.entries) {
      Pack(packer, entry);
    }
  });
}

std::string EncodePeerMessage(const CopyAppendReply& message) {
  return EncodeArray(message.format, 1, [&](Packer& packer) {
    packer.pack_array(static_cast<uint32_t>(message.results.size()));
    for (const CopyAppendResult& result : message.results) {
      Pack(packer, result);
    }
  });
}

std::string EncodePeerMessage(const CopyClaim& message) {
  return EncodeArray(message.format, 4, [&](Packer& packer) {
    packer.pack_uint64(message.generation);
    packer.pack_uint32(message.request_hash);
    packer.pack_uint32(message.minimum_attempt);
    Pack(packer, message.claimant);
  });
}

std::string EncodePeerMessage(const CopyClaimReply& message) {
  return EncodeArray(message.format, 4, [&](Packer& packer) {
    packer.pack_uint8(static_cast<uint8_t>(message.status));
    packer.pack_uint32(message.attempt);
    Pack(packer, message.identity);
    Pack(packer, message.tokens);
  });
}

std::string EncodePeerMessage(const StreamRelease& message) {
  return EncodeArray(message.format, 4, [&](Packer& packer) {
    packer.pack_uint64(message.generation);
    packer.pack_uint32(message.request_hash);
    packer.pack_uint32(message.attempt);
    Pack(packer, message.claimant);
  });
}

std::string EncodePeerMessage(const StreamReleaseReply& message) {
  return EncodeArray(message.format, 4, [&](Packer& packer) {
    message.found ? packer.pack_true() : packer.pack_false();
    packer.pack_uint32(message.attempt);
    Pack(packer, message.identity);
    Pack(packer, message.tokens);
  });
}

template <typename Message>
std::optional<Message> DecodePeerMessage(std::string_view bytes,
                                         Reason* error) {
  std::optional<Message> message;
  std::string detail = "malformed message";
  try {
    message = Decode<Message>(bytes);
  } catch (const std::exception& fault) {
    detail = fault.what();
  }
  if (!message && error != nullptr) {
    *error = {ResultCode::kPeerBadMessage, detail};
  }
  return message;
}

template std::optional<CopyAppend> DecodePeerMessage(std::string_view, Reason*);
template std::optional<CopyAppendReply> DecodePeerMessage(std::string_view,
                                                          Reason*);
template std::optional<CopyClaim> DecodePeerMessage(std::string_view, Reason*);
template std::optional<CopyClaimReply> DecodePeerMessage(std::string_view,
                                                         Reason*);
template std::optional<StreamRelease> DecodePeerMessage(std::string_view,
                                                        Reason*);
template std::optional<StreamReleaseReply> DecodePeerMessage(std::string_view,
                                                             Reason*);

}  // namespace bramleybank
