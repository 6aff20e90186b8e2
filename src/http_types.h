// Values shared by the HTTP server and client.
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

/// @returns whether two header names are equal without regard to case.
bool HeaderNameEquals(std::string_view a, std::string_view b);

/// @returns the value of the first header of that name.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

/// @returns `text` with every byte outside the unreserved set percent-encoded.
std::string PercentEncode(std::string_view text);

/// @returns whether two readers may take the body to end at different places:
/// its length is given more than once, or in a coding other than "chunked".
bool HasAmbiguousLength(const HttpHeaders& headers);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP_TYPES_H_
