// Encoding and decoding of relay messages.
#include "relay_message.h"

#include <algorithm>
#include <chrono>

#include "peer_codec_p.h"

namespace bramleybank {
namespace {

constexpr double kThousandths = 1000;
// Larger limits do not restrict a fleet of any size.
constexpr double kMaxSentRate = 1e9;

uint64_t ToThousandths(double rate) {
  return static_cast<uint64_t>(std::min(rate, kMaxSentRate) * kThousandths);
}

uint32_t ClampedMilliseconds(Duration duration) {
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(ToMilliseconds(duration), 0, kMax));
}

void Pack(Packer& packer, const StoreRow& row) {
  packer.pack_array(4);
  Pack(packer, row.key);
  packer.pack_uint64(row.version.number);
  row.deleted ? packer.pack_true() : packer.pack_false();
  Pack(packer, row.value);
}

}  // namespace

// Found by argument-dependent lookup, so outside the unnamed namespace.
static bool ConvertField(const msgpack::object& item, StoreRow& row) {
  return ArrayReader(item)
      .Read(row.key)
      .Read(row.version.number)
      .Read(row.deleted)
      .ReadText(kMaxPeerBodyBytes, row.value)
      .ok();
}

static bool ConvertField(const msgpack::object& item, RelayStatus& value) {
  uint8_t status = 0;
  if (!ConvertField(item, status)) {
    return false;
  }
  // A status that this release does not know is taken as a refusal, so the
  // gateway that sent the query tries its next source.
  value = status <= static_cast<uint8_t>(RelayStatus::kUnknownSender)
              ? static_cast<RelayStatus>(status)
              : RelayStatus::kNotReader;
  return true;
}

static void ReadFields(ArrayReader& reader, RelayQuery& message) {
  reader.Read(message.sender)
      .Read(message.table)
      .Read(message.wait_ms)
      .Read(message.version)
      .Read(message.after)
      .Read(message.era);
}

static void ReadFields(ArrayReader& reader, RelayAnswer& message) {
  reader.Read(message.status)
      .Read(message.age_ms)
      .Read(message.version.number)
      .Read(message.has_more)
      .Read(message.rows)
      .Read(message.version.era);
  for (StoreRow& row : message.rows) {
    row.version.era = message.version.era;
  }
}

static void ReadFields(ArrayReader& reader, RelayEvidence& message) {
  reader.Read(message.sender)
      .Read(message.service)
      .ReadText(kMaxPeerBodyBytes, message.report);
}

static void ReadFields(ArrayReader& reader, RelayPrompts& message) {
  reader.Read(message.sender).ReadText(kMaxPeerBodyBytes, message.row);
}

static void ReadFields(ArrayReader& reader, RelayPromptQuery& message) {
  reader.Read(message.sender).Read(message.prompt);
}

static void ReadFields(ArrayReader& reader, RelayPermitQuery& message) {
  PermitQuery& query = message.query;
  uint64_t start_ms = 0;
  std::optional<uint64_t> thousandths;
  uint32_t age_ms = 0;
  reader.Read(message.sender)
      .Read(query.endpoint_id)
      .Read(start_ms)
      .Read(thousandths)
      .Read(age_ms)
      .Read(query.wanted);
  query.endpoint_start_ms = static_cast<int64_t>(start_ms);
  query.age = std::chrono::milliseconds(age_ms);
  if (thousandths) {
    query.rate_limit = static_cast<double>(*thousandths) / kThousandths;
  }
}

static void ReadFields(ArrayReader& reader, RelayPermitAnswer& message) {
  uint32_t retry_after_ms = 0;
  reader.Read(message.answer.granted)
      .Read(retry_after_ms)
      .Read(message.answer.is_unlimited);
  message.answer.retry_after = std::chrono::milliseconds(retry_after_ms);
}

static void ReadFields(ArrayReader& reader, RelayConfigQuery& message) {
  reader.Read(message.sender).Read(message.known_version);
}

static void ReadFields(ArrayReader& reader, RelayConfigAnswer& message) {
  reader.ReadText(kMaxPeerBodyBytes, message.value);
}

std::string EncodeRelayMessage(const RelayQuery& message) {
  return EncodeArray(message.format, 6, [&](Packer& packer) {
    Pack(packer, message.sender);
    Pack(packer, message.table);
    packer.pack_uint32(message.wait_ms);
    packer.pack_uint64(message.version);
    Pack(packer, message.after);
    message.era ? packer.pack_uint64(*message.era) : packer.pack_nil();
  });
}

std::string EncodeRelayMessage(const RelayAnswer& message) {
  return EncodeArray(message.format, 6, [&](Packer& packer) {
    packer.pack_uint8(static_cast<uint8_t>(message.status));
    packer.pack_uint32(message.age_ms);
    packer.pack_uint64(message.version.number);
    message.has_more ? packer.pack_true() : packer.pack_false();
    packer.pack_array(static_cast<uint32_t>(message.rows.size()));
    for (const StoreRow& row : message.rows) {
      Pack(packer, row);
    }
    packer.pack_uint64(message.version.era);
  });
}

std::string EncodeRelayMessage(const RelayEvidence& message) {
  return EncodeArray(message.format, 3, [&](Packer& packer) {
    Pack(packer, message.sender);
    Pack(packer, message.service);
    Pack(packer, message.report);
  });
}

std::string EncodeRelayMessage(const RelayPrompts& message) {
  return EncodeArray(message.format, 2, [&](Packer& packer) {
    Pack(packer, message.sender);
    Pack(packer, message.row);
  });
}

std::string EncodeRelayMessage(const RelayPromptQuery& message) {
  return EncodeArray(message.format, 2, [&](Packer& packer) {
    Pack(packer, message.sender);
    packer.pack_uint64(message.prompt);
  });
}

std::string EncodeRelayMessage(const RelayPermitQuery& message) {
  return EncodeArray(message.format, 6, [&](Packer& packer) {
    const PermitQuery& query = message.query;
    Pack(packer, message.sender);
    Pack(packer, query.endpoint_id);
    packer.pack_uint64(
        static_cast<uint64_t>(std::max<int64_t>(0, query.endpoint_start_ms)));
    query.rate_limit ? packer.pack_uint64(ToThousandths(*query.rate_limit))
                     : packer.pack_nil();
    packer.pack_uint32(ClampedMilliseconds(query.age));
    packer.pack_uint32(query.wanted);
  });
}

std::string EncodeRelayMessage(const RelayPermitAnswer& message) {
  return EncodeArray(message.format, 3, [&](Packer& packer) {
    packer.pack_uint32(message.answer.granted);
    packer.pack_uint32(ClampedMilliseconds(message.answer.retry_after));
    message.answer.is_unlimited ? packer.pack_true() : packer.pack_false();
  });
}

std::string EncodeRelayMessage(const RelayConfigQuery& message) {
  return EncodeArray(message.format, 2, [&](Packer& packer) {
    Pack(packer, message.sender);
    packer.pack_uint64(message.known_version);
  });
}

std::string EncodeRelayMessage(const RelayConfigAnswer& message) {
  return EncodeArray(message.format, 1,
                     [&](Packer& packer) { Pack(packer, message.value); });
}

template <typename Message>
std::optional<Message> DecodeRelayMessage(std::string_view bytes,
                                          Reason* error) {
  return DecodeMessage<Message>(bytes, error);
}

template std::optional<RelayQuery> DecodeRelayMessage(std::string_view,
                                                      Reason*);
template std::optional<RelayAnswer> DecodeRelayMessage(std::string_view,
                                                       Reason*);
template std::optional<RelayEvidence> DecodeRelayMessage(std::string_view,
                                                         Reason*);

template std::optional<RelayPrompts> DecodeRelayMessage(std::string_view,
                                                        Reason*);
template std::optional<RelayPromptQuery> DecodeRelayMessage(std::string_view,
                                                            Reason*);
template std::optional<RelayPermitQuery> DecodeRelayMessage(std::string_view,
                                                            Reason*);
template std::optional<RelayPermitAnswer> DecodeRelayMessage(std::string_view,
                                                             Reason*);
template std::optional<RelayConfigQuery> DecodeRelayMessage(std::string_view,
                                                            Reason*);
template std::optional<RelayConfigAnswer> DecodeRelayMessage(std::string_view,
                                                             Reason*);

}  // namespace bramleybank
