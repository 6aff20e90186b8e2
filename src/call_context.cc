// Builds the requests that are sent to the endpoints of services.
#include <algorithm>
#include <array>
#include <string_view>

#include "bramleybank/limits.h"
#include "call_context_p.h"

namespace bramleybank {
namespace {

// Headers that apply to a single connection, and headers that the HTTP
// libraries write themselves.
constexpr std::array<std::string_view, 12> kNotForwardedHeaders = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Proxy-Connection",
    "Content-Length",      "Host",       "Expect"};

bool IsListed(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (item.starts_with(' ') || item.starts_with('\t')) {
      item.remove_prefix(1);
    }
    while (item.ends_with(' ') || item.ends_with('\t')) {
      item.remove_suffix(1);
    }
    if (HeaderNameEquals(item, name)) {
      return true;
    }
    list = comma == std::string_view::npos ? std::string_view()
                                           : list.substr(comma + 1);
  }
  return false;
}

}  // namespace

std::string CallId(std::string_view customer,
                   std::string_view service,
                   std::string_view key) {
  return PercentEncode(customer) + "/" + PercentEncode(service) + "/" +
         PercentEncode(key);
}

std::string CallRowKey(std::string_view customer,
                       std::string_view service,
                       std::string_view key) {
  return "call/" + CallId(customer, service, key);
}

HttpHeaders HeadersToForward(const HttpHeaders& headers) {
  const std::string connection_options =
      FindHeader(headers, "Connection").value_or("");
  HttpHeaders forwarded;
  std::ranges::copy_if(
      headers, std::back_inserter(forwarded), [&](const HttpHeader& header) {
        const bool is_dropped = std::ranges::any_of(
            kNotForwardedHeaders, [&](std::string_view name) {
              return HeaderNameEquals(header.first, name);
            });
        return !is_dropped && !IsListed(connection_options, header.first);
      });
  return forwarded;
}

HttpClientRequest MakeServiceRequest(const HttpRequest& request,
                                     const CallParameters& parameters,
                                     const std::string& endpoint) {
  HttpClientRequest out;
  out.method = request.method;
  out.url = "http://" + endpoint + parameters.target;
  out.headers = HeadersToForward(request.headers);
  std::erase_if(out.headers, [](const HttpHeader& header) {
    return HeaderNameEquals(header.first, "X-Call-Id");
  });
  out.body = request.body;
  out.connect_timeout = kConnectTimeout;
  return out;
}

}  // namespace bramleybank
