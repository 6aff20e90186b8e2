// What HTTP status codes say about a response.
#ifndef BRAMLEYBANK_SRC_HTTP1_STATUS_H_
#define BRAMLEYBANK_SRC_HTTP1_STATUS_H_

#include <cstddef>
#include <string_view>

namespace bramleybank {

/// Length of a status line without a reason phrase, such as "HTTP/1.1 200".
inline constexpr size_t kMinStatusLineBytes = 12;

/// @returns whether the status line of a response may have this byte at this
/// offset: version 1 and a status of three digits from 100 to 599. The reason
/// phrase is not checked.
bool MayStandInStatusLine(char byte, size_t offset);
/// @returns whether all bytes of a line, given without its end, are such bytes.
bool IsValidStatusLine(std::string_view line);

/// Responses with a smaller status are interim.
inline constexpr int kMinFinalStatus = 200;
/// No request of this project asks for another protocol.
inline constexpr int kStatusSwitchingProtocols = 101;

/// @returns whether the status is 2xx.
constexpr bool IsSuccess(int status) {
  return status / 100 == 2;
}
/// @returns whether the status is 5xx.
constexpr bool IsServerError(int status) {
  return status / 100 == 5;
}

/// @returns the standard reason phrase, or "Status" for an unknown code.
std::string_view ReasonPhrase(int status);

/// @returns whether final responses with this status end with their head,
/// whatever length it states.
bool HasNoBody(int status);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HTTP1_STATUS_H_
