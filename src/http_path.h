// Helpers for URL paths and queries that are still percent-encoded.
#ifndef BRAMLEYBANK_SRC_HTTP_PATH_H_
#define BRAMLEYBANK_SRC_HTTP_PATH_H_

#include <string>
#include <string_view>

#include "http_types.h"

namespace bramleybank {

/// @returns `text` with each valid percent escape replaced by its byte. Invalid
/// escapes are kept.
std::string PercentDecode(std::string_view text);

/// @returns `path` as a lenient server may interpret it: decoded, and without
/// empty and dot segments. Routes are matched against this form, so that a
/// different spelling of the same path cannot bypass them.
std::string NormalizePath(std::string_view path);

/// @returns `?name=value&...` as it was sent, or an empty string if there is no
/// query.
/// @remarks libmicrohttpd turns '+' into a space; this turns it back into '+'.
std::string FormatQuery(const HttpHeaders& query);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_PATH_H_
