// Headers that concern one connection only and are not forwarded.
#ifndef BRAMLEYBANK_SRC_GATEWAY_HEADERS_H_
#define BRAMLEYBANK_SRC_GATEWAY_HEADERS_H_

#include "http_types.h"

namespace bramleybank {

/// @returns the headers without those of the connection, those that its
/// Connection header names, and the length of the body.
HttpHeaders WithoutConnectionHeaders(const HttpHeaders& headers);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_GATEWAY_HEADERS_H_
