// HTTP request as received by the server.
#ifndef BRAMLEYBANK_SRC_HTTP_REQUEST_H_
#define BRAMLEYBANK_SRC_HTTP_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "http_types.h"

namespace bramleybank {

/// A complete request. Path and query are as sent, still percent-encoded.
struct HttpRequest {
  std::string method;
  std::string path;
  HttpHeaders query;
  HttpHeaders headers;
  std::string body;

  std::optional<std::string> Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  std::optional<std::string> Query(std::string_view name) const {
    return FindHeader(query, name);
  }

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_REQUEST_H_
