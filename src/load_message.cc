// Encoding and decoding of load messages. An entry is the flat sequence of its
// numbers, to keep messages small.
#include "load_message.h"

#include <algorithm>
#include <cmath>

#include "bramleybank/limits.h"
#include "peer_codec_p.h"

namespace bramleybank {
namespace {

// More cannot be at one engine; larger values are malformed.
constexpr uint32_t kMaxRuns = 100'000;
constexpr uint32_t kMaxTokenUnits = 100'000'000;
constexpr uint32_t kMaxTokensPerSecond = 100'000'000;

uint32_t ToUnits(uint64_t tokens) {
  const uint64_t units = (tokens + kLoadTokenUnit - 1) / kLoadTokenUnit;
  return static_cast<uint32_t>(std::min<uint64_t>(units, kMaxTokenUnits));
}

void Pack(Packer& packer, const EngineLoadEntry& entry) {
  packer.pack_array(5);
  packer.pack_uint32(entry.engine);
  packer.pack_uint32(std::min(entry.load.runs, kMaxRuns));
  packer.pack_uint32(std::min(entry.load.prefills, kMaxRuns));
  packer.pack_uint32(ToUnits(entry.load.prefill_tokens));
  packer.pack_uint32(ToUnits(entry.load.memory_tokens));
}

void Pack(Packer& packer, const EngineSpeed& speed) {
  packer.pack_array(2);
  packer.pack_uint32(speed.engine);
  packer.pack_uint32(static_cast<uint32_t>(std::clamp<double>(
      std::round(speed.tokens_per_second), 1, kMaxTokensPerSecond)));
}

void Pack(Packer& packer, const LoadReport& report) {
  const size_t entries = std::min(report.entries.size(), kMaxLoadEntries);
  packer.pack_array(static_cast<uint32_t>(entries));
  for (size_t i = 0; i < entries; ++i) {
    Pack(packer, report.entries[i]);
  }
  const size_t speeds = std::min(report.speeds.size(), kMaxSpeedsPerReport);
  packer.pack_array(static_cast<uint32_t>(speeds));
  for (size_t i = 0; i < speeds; ++i) {
    Pack(packer, report.speeds[i]);
  }
  const size_t losses = std::min(report.losses.size(), kMaxLossesPerReport);
  packer.pack_array(static_cast<uint32_t>(losses));
  for (size_t i = 0; i < losses; ++i) {
    packer.pack_uint32(report.losses[i]);
  }
}

bool IsPlausible(const LoadReport& report) {
  const auto is_plausible = [](const EngineLoadEntry& entry) {
    const EngineLoad& load = entry.load;
    constexpr uint64_t kMaxTokens = uint64_t{kMaxTokenUnits} * kLoadTokenUnit;
    return load.runs <= kMaxRuns && load.prefills <= load.runs &&
           load.prefill_tokens <= kMaxTokens &&
           load.memory_tokens <= kMaxTokens;
  };
  return report.entries.size() <= kMaxLoadEntries &&
         report.speeds.size() <= kMaxSpeedsPerReport &&
         report.losses.size() <= kMaxLossesPerReport &&
         std::ranges::all_of(report.entries, is_plausible);
}

template <typename Message>
std::optional<Message> Decode(std::string_view bytes, Reason* error) {
  if (bytes.size() > kMaxLoadMessageBytes) {
    if (error != nullptr) {
      *error = {ResultCode::kPeerBadMessage, "load message is too large"};
    }
    return std::nullopt;
  }
  auto message = DecodeMessage<Message>(bytes, error);
  if (message && !IsPlausible(message->report)) {
    if (error != nullptr) {
      *error = {ResultCode::kPeerBadMessage, "load out of range"};
    }
    return std::nullopt;
  }
  return message;
}

}  // namespace

// Found by argument-dependent lookup, so outside the unnamed namespace.
static bool ConvertField(const msgpack::object& item, EngineLoadEntry& entry) {
  uint32_t prefill_units = 0;
  uint32_t memory_units = 0;
  const bool ok = ArrayReader(item)
                      .Read(entry.engine)
                      .Read(entry.load.runs)
                      .Read(entry.load.prefills)
                      .Read(prefill_units)
                      .Read(memory_units)
                      .ok();
  entry.load.prefill_tokens = uint64_t{prefill_units} * kLoadTokenUnit;
  entry.load.memory_tokens = uint64_t{memory_units} * kLoadTokenUnit;
  return ok;
}

static bool ConvertField(const msgpack::object& item, EngineSpeed& speed) {
  uint32_t tokens_per_second = 0;
  const bool ok =
      ArrayReader(item).Read(speed.engine).Read(tokens_per_second).ok();
  speed.tokens_per_second = tokens_per_second;
  return ok && tokens_per_second > 0 &&
         tokens_per_second <= kMaxTokensPerSecond;
}

static bool ConvertField(const msgpack::object& item, LoadMessageKind& kind) {
  uint8_t value = 0;
  if (!ConvertField(item, value) ||
      value > static_cast<uint8_t>(LoadMessageKind::kDomainTotals)) {
    return false;
  }
  kind = static_cast<LoadMessageKind>(value);
  return true;
}

static void ReadFields(ArrayReader& reader, LoadMessage& message) {
  reader.Read(message.sender)
      .Read(message.kind)
      .Read(message.report.entries)
      .Read(message.report.speeds)
      .Read(message.report.losses);
}

static void ReadFields(ArrayReader& reader, LoadAnswer& answer) {
  reader.Read(answer.report.entries)
      .Read(answer.report.speeds)
      .Read(answer.report.losses);
}

std::string EncodeLoadMessage(const LoadMessage& message) {
  return EncodeArray(message.format, 5, [&](Packer& packer) {
    Pack(packer, std::string_view(message.sender));
    packer.pack_uint8(static_cast<uint8_t>(message.kind));
    Pack(packer, message.report);
  });
}

std::string EncodeLoadAnswer(const LoadAnswer& answer) {
  return EncodeArray(answer.format, 3,
                     [&](Packer& packer) { Pack(packer, answer.report); });
}

std::optional<LoadMessage> DecodeLoadMessage(std::string_view bytes,
                                             Reason* error) {
  return Decode<LoadMessage>(bytes, error);
}

std::optional<LoadAnswer> DecodeLoadAnswer(std::string_view bytes,
                                           Reason* error) {
  return Decode<LoadAnswer>(bytes, error);
}

}  // namespace bramleybank
