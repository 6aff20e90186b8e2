// Hop-by-hop headers, which apply to one connection and are not forwarded.
#ifndef BRAMLEYBANK_SRC_GATEWAY_HEADERS_H_
#define BRAMLEYBANK_SRC_GATEWAY_HEADERS_H_

#include "http_types.h"

namespace bramleybank {

/// @returns the headers without the hop-by-hop headers, those listed in the
/// Connection header, Expect, and the length of the body.
HttpHeaders RemoveHopByHopHeaders(const HttpHeaders& headers);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_HEADERS_H_
