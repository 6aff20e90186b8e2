// Helpers for HTTP headers and URLs.
#include "http_types.h"

#include <strings.h>

#include <algorithm>
#include <cctype>

namespace bramleybank {

bool HeaderNameEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name) {
  const auto it = std::ranges::find_if(headers, [&](const HttpHeader& header) {
    return HeaderNameEquals(header.first, name);
  });
  if (it == headers.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool HasStatedEnd(const HttpHeaders& headers) {
  return FindHeader(headers, "Transfer-Encoding").has_value() ||
         FindHeader(headers, "Content-Length").has_value();
}

std::string PercentEncode(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' ||
        c == '~') {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 0xFU];
  }
  return encoded;
}

bool HasAmbiguousLength(const HttpHeaders& headers) {
  size_t lengths = 0;
  size_t codings = 0;
  bool unknown_coding = false;
  for (const auto& [name, value] : headers) {
    if (HeaderNameEquals(name, "Content-Length")) {
      ++lengths;
    } else if (HeaderNameEquals(name, "Transfer-Encoding")) {
      ++codings;
      unknown_coding = unknown_coding || !HeaderNameEquals(value, "chunked");
    }
  }
  return lengths + codings > 1 || unknown_coding;
}

}  // namespace bramleybank
