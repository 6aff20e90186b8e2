// What HTTP status codes say about a response.
#ifndef BRAMLEYBANK_SRC_HTTP1_STATUS_H_
#define BRAMLEYBANK_SRC_HTTP1_STATUS_H_

#include <string_view>

namespace bramleybank {

/// @returns the standard reason phrase, or "Status" for an unknown code.
std::string_view ReasonPhrase(int status);

/// @returns whether final responses with this status end with their head,
/// whatever length it states.
bool HasNoBody(int status);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP1_STATUS_H_
