// Paths and queries of URLs as they arrive, percent-encoding included.
#ifndef BRAMLEYBANK_SRC_HTTP_PATH_H_
#define BRAMLEYBANK_SRC_HTTP_PATH_H_

#include <string>
#include <string_view>

#include "http_types.h"

namespace bramleybank {

/// @returns `text` with every valid percent escape replaced by its byte.
std::string PercentDecode(std::string_view text);

/// @returns the path that a lenient server may take `path` for: decoded,
/// without empty and dot segments. A route that is matched against it cannot
/// be avoided by another spelling of the same path.
std::string NormalizePath(std::string_view path);

/// @returns `?name=value&...` as it was sent, or nothing without a query.
/// @remarks libmicrohttpd hands over '+' as a space; it becomes '+' again.
std::string FormatQuery(const HttpHeaders& query);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_PATH_H_
