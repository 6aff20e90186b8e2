// Removal of hop-by-hop headers.
#include "gateway_headers.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

namespace bramleybank {
namespace {

// RFC 9110, section 7.6.1, and the headers that state the length of a body.
constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length"};

std::vector<std::string_view> SplitList(std::string_view list) {
  std::vector<std::string_view> items;
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (item.starts_with(' ') || item.starts_with('\t')) {
      item.remove_prefix(1);
    }
    while (item.ends_with(' ') || item.ends_with('\t')) {
      item.remove_suffix(1);
    }
    items.push_back(item);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return items;
}

bool IsIn(std::string_view name, const auto& names) {
  return std::ranges::any_of(names, [name](std::string_view other) {
    return HeaderNameEquals(name, other);
  });
}

}  // namespace

HttpHeaders RemoveHopByHopHeaders(const HttpHeaders& headers) {
  std::vector<std::string_view> named;
  for (const auto& [name, value] : headers) {
    if (HeaderNameEquals(name, "Connection")) {
      const auto items = SplitList(value);
      named.insert(named.end(), items.begin(), items.end());
    }
  }
  HttpHeaders kept;
  kept.reserve(headers.size());
  for (const HttpHeader& header : headers) {
    if (!IsIn(header.first, kHopByHopHeaders) && !IsIn(header.first, named) &&
        !HeaderNameEquals(header.first, "Expect")) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace bramleybank
