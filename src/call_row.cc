// JSON encoding of call rows. Text from services is stored with one code point
// per byte, because JSON strings cannot hold bytes that are not valid UTF-8.
#include "call_row.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "json_parse.h"

namespace bramleybank {
namespace {

using nlohmann::json;

constexpr int kRowFormat = 1;
constexpr std::array<std::pair<CallRowState, std::string_view>, 4> kStateNames =
    {{{CallRowState::kClaimed, "claimed"},
      {CallRowState::kDone, "done"},
      {CallRowState::kLost, "lost"},
      {CallRowState::kReleased, "released"}}};

std::string BytesToText(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      text += c;
    } else {
      text += static_cast<char>(0xC0U | (byte >> 6U));
      text += static_cast<char>(0x80U | (byte & 0x3FU));
    }
  }
  return text;
}

std::string TextToBytes(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < 0x80) {
      bytes += text[i];
      continue;
    }
    if ((lead & 0xFCU) != 0xC0U || i + 1 == text.size()) {
      throw std::invalid_argument("code point above 255");
    }
    const auto tail = static_cast<unsigned char>(text[++i]);
    bytes += static_cast<char>(((lead & 0x03U) << 6U) | (tail & 0x3FU));
  }
  return bytes;
}

json FormatAnswer(const CallRow& row) {
  json headers = json::array();
  for (const auto& [name, value] : row.answer.headers) {
    headers.push_back({BytesToText(name), BytesToText(value)});
  }
  json answer = {{"status", row.answer.status}, {"headers", headers}};
  if (row.object.empty()) {
    answer["body"] = BytesToText(row.answer.body);
  } else {
    answer["object"] = row.object;
  }
  return answer;
}

void ParseAnswer(const json& answer, CallRow* row) {
  row->answer.status = answer.at("status").get<int>();
  for (const json& header : answer.at("headers")) {
    row->answer.headers.emplace_back(
        TextToBytes(header.at(0).get<std::string>()),
        TextToBytes(header.at(1).get<std::string>()));
  }
  row->object = answer.value("object", "");
  if (row->object.empty()) {
    row->answer.body = TextToBytes(answer.at("body").get<std::string>());
  }
}

CallRowState ParseState(const std::string& name) {
  const auto* it = std::ranges::find(
      kStateNames, name, &std::pair<CallRowState, std::string_view>::second);
  if (it == kStateNames.end()) {
    throw std::invalid_argument("unknown state " + name);
  }
  return it->first;
}

}  // namespace

std::string_view CallRowStateName(CallRowState state) {
  return std::ranges::find(kStateNames, state,
                           &std::pair<CallRowState, std::string_view>::first)
      ->second;
}

std::string FormatCallRow(const CallRow& row) {
  json value = {{"format", kRowFormat},
                {"state", CallRowStateName(row.state)},
                {"claim", row.claim},
                {"hash", row.request_hash}};
  if (row.state == CallRowState::kDone) {
    value["answer"] = FormatAnswer(row);
  }
  return value.dump();
}

std::optional<CallRow> ParseCallRow(std::string_view text) {
  try {
    const json value = ParseJson(text);
    if (value.at("format").get<int>() != kRowFormat) {
      return std::nullopt;
    }
    CallRow row;
    row.state = ParseState(value.at("state").get<std::string>());
    row.claim = value.at("claim").get<std::string>();
    row.request_hash = value.at("hash").get<std::string>();
    if (row.state == CallRowState::kDone) {
      ParseAnswer(value.at("answer"), &row);
    }
    return row;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace bramleybank
