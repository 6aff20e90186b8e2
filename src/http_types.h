// Types and helpers shared by the HTTP server and client.
#ifndef BRAMLEYBANK_SRC_HTTP_TYPES_H_
#define BRAMLEYBANK_SRC_HTTP_TYPES_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleybank {

using HttpHeader = std::pair<std::string, std::string>;
using HttpHeaders = std::vector<HttpHeader>;

/// @returns whether two header names are equal, ignoring case.
bool HeaderNameEquals(std::string_view a, std::string_view b);

/// @returns the value of the first header with this name.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);
/// @returns whether a message with these headers has an end of its own, so that
/// it does not end with its connection.
bool HasStatedEnd(const HttpHeaders& headers);

/// @returns `text` with every byte outside the unreserved set of RFC 3986
/// percent-encoded.
std::string PercentEncode(std::string_view text);

/// @returns whether two parsers may disagree about where the body ends: its
/// length is given more than once, or with a transfer coding other than
/// "chunked".
bool HasAmbiguousLength(const HttpHeaders& headers);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_TYPES_H_
