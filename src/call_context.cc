// Requests and headers that go to the endpoints of services.
#include <algorithm>
#include <array>
#include <string_view>

#include "bramleybank/limits.h"
#include "call_context_p.h"

namespace bramleybank {
namespace {

// Headers of one connection, and those that the HTTP libraries write.
constexpr std::array<std::string_view, 12> kDropped = {
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

HttpHeaders PassedHeaders(const HttpHeaders& headers) {
  const std::string named = FindHeader(headers, "Connection").value_or("");
  HttpHeaders passed;
  std::ranges::copy_if(
      headers, std::back_inserter(passed), [&](const HttpHeader& header) {
        const bool dropped =
            std::ranges::any_of(kDropped, [&](std::string_view name) {
              return HeaderNameEquals(header.first, name);
            });
        return !dropped && !IsListed(named, header.first);
      });
  return passed;
}

HttpClientRequest MakeServiceRequest(const HttpRequest& request,
                                     const CallRoute& route,
                                     const std::string& endpoint) {
  HttpClientRequest out;
  out.method = request.method;
  out.url = "http://" + endpoint + route.target;
  out.headers = PassedHeaders(request.headers);
  std::erase_if(out.headers, [](const HttpHeader& header) {
    return HeaderNameEquals(header.first, "X-Call-Id");
  });
  out.body = request.body;
  out.connect_timeout = kConnectTimeout;
  return out;
}

}  // namespace bramleybank
