// Encodes and decodes the messages about copies of streams.
#include "peer_message.h"

#include "peer_codec_p.h"

namespace bramleybank {
namespace {

// Bound that prevents overflow in sums of positions.
constexpr uint64_t kMaxPosition = uint64_t{1} << 40U;

// --- Encoding ---------------------------------------------------------------

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
  // Trailing defaults are omitted: a usual entry has 4 elements.
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
  // The usual result, an acknowledgement, is encoded as its position only.
  if (result.status == CopyAppendStatus::kAcked) {
    packer.pack_uint64(result.position);
    return;
  }
  packer.pack_array(2);
  packer.pack_uint8(static_cast<uint8_t>(result.status));
  packer.pack_uint32(result.newer_attempt);
}

}  // namespace

// --- Decoding ---------------------------------------------------------------
// These functions are outside the unnamed namespace so that argument-dependent
// lookup finds them.

static bool ConvertField(const msgpack::object& item, StreamTokenList& value) {
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

static bool ConvertField(const msgpack::object& item, CopyIdentity& value) {
  return ArrayReader(item)
      .Read(value.request_hash)
      .Read(value.model)
      .Read(value.version)
      .Read(value.adapter)
      .Read(value.engine)
      .ok();
}

static bool ConvertField(const msgpack::object& item, CopyAppendEntry& value) {
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

static bool ConvertField(const msgpack::object& item, CopyAppendResult& value) {
  if (item.type == msgpack::type::POSITIVE_INTEGER) {
    return ConvertField(item, value.position);
  }
  uint8_t status = 0;
  ArrayReader reader(item);
  reader.Read(status).Read(value.newer_attempt);
  // An unknown status of a newer release is treated as kFull, so that the owner
  // looks for another holder.
  value.status = status <= static_cast<uint8_t>(CopyAppendStatus::kFull)
                     ? static_cast<CopyAppendStatus>(status)
                     : CopyAppendStatus::kFull;
  return reader.ok() && status != 0;
}

static bool ConvertField(const msgpack::object& item, CopyClaimStatus& value) {
  uint8_t status = 0;
  if (!ConvertField(item, status)) {
    return false;
  }
  value = status <= static_cast<uint8_t>(CopyClaimStatus::kRequestMismatch)
              ? static_cast<CopyClaimStatus>(status)
              : CopyClaimStatus::kNotFound;
  return true;
}

static void ReadFields(ArrayReader& reader, CopyAppend& message) {
  reader.Read(message.owner).Read(message.entries);
}

static void ReadFields(ArrayReader& reader, CopyAppendReply& message) {
  reader.Read(message.results);
}

static void ReadFields(ArrayReader& reader, CopyClaim& message) {
  reader.Read(message.generation)
      .Read(message.request_hash)
      .Read(message.minimum_attempt)
      .Read(message.claimant);
}

static void ReadFields(ArrayReader& reader, CopyClaimReply& message) {
  reader.Read(message.status)
      .Read(message.attempt)
      .Read(message.identity)
      .Read(message.tokens);
}

static void ReadFields(ArrayReader& reader, StreamRelease& message) {
  reader.Read(message.generation)
      .Read(message.request_hash)
      .Read(message.attempt)
      .Read(message.claimant);
}

static void ReadFields(ArrayReader& reader, StreamReleaseReply& message) {
  reader.Read(message.found)
      .Read(message.attempt)
      .Read(message.identity)
      .Read(message.tokens);
}

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
  return DecodeMessage<Message>(bytes, error);
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
