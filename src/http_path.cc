// Decodes and normalizes URL paths.
#include "http_path.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace bramleybank {
namespace {

std::optional<unsigned> HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  if (lower >= 'a' && lower <= 'f') {
    return lower - 'a' + 10;
  }
  return std::nullopt;
}

std::string ReplaceSpacesWithPlus(std::string text) {
  std::ranges::replace(text, ' ', '+');
  return text;
}

}  // namespace

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const auto high = HexDigit(text[i + 1]);
      const auto low = HexDigit(text[i + 2]);
      if (high && low) {
        decoded += static_cast<char>(*high * 16 + *low);
        i += 2;
        continue;
      }
    }
    decoded += text[i];
  }
  return decoded;
}

std::string NormalizePath(std::string_view path) {
  const std::string decoded = PercentDecode(path);
  std::vector<std::string_view> segments;
  std::string_view rest = decoded;
  while (!rest.empty()) {
    const size_t slash = rest.find('/');
    const std::string_view segment = rest.substr(0, slash);
    if (segment == "..") {
      if (!segments.empty()) {
        segments.pop_back();
      }
    } else if (!segment.empty() && segment != ".") {
      segments.push_back(segment);
    }
    rest = slash == std::string_view::npos ? std::string_view()
                                           : rest.substr(slash + 1);
  }
  std::string normalized;
  for (const std::string_view segment : segments) {
    normalized.append("/").append(segment);
  }
  return normalized.empty() ? "/" : normalized;
}

std::string FormatQuery(const HttpHeaders& query) {
  std::string text;
  for (const auto& [name, value] : query) {
    text += text.empty() ? '?' : '&';
    text += ReplaceSpacesWithPlus(name);
    if (!value.empty()) {
      text += '=';
      text += ReplaceSpacesWithPlus(value);
    }
  }
  return text;
}

}  // namespace bramleybank
