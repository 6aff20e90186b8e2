// A caller that controls its connection byte by byte, for process tests.
#ifndef BRAMLEYBANK_TESTS_RAW_CALLER_H_
#define BRAMLEYBANK_TESTS_RAW_CALLER_H_

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "process_fixture.h"
#include "tcp_address.h"
#include "wire_names.h"

namespace bramleybank::testing {

/// @returns an idempotent call, or a stream, as a caller of the users' platform
/// sends it.
inline std::string RawRequest(const std::string& path, const std::string& id) {
  return "GET " + path + " HTTP/1.1\r\nHost: site.example\r\n" +
         platform::kRequestIdHeader + ": " + id + "\r\n" +
         platform::kTimeLeftHeader + ": 20000\r\n" +
         platform::kAuthorizationHeader + ": Bearer key-1\r\n\r\n";
}

/// One blocking connection. Reads end after a timeout that exists only to end
/// tests that hang.
class RawCaller {
 public:
  /// @param address ip:port.
  /// @param receive_bytes size of the receive buffer; 0 for the default.
  explicit RawCaller(const std::string& address, int receive_bytes = 0)
      : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (receive_bytes > 0) {
      setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof(receive_bytes));
    }
    const timeval timeout{.tv_sec = 60, .tv_usec = 0};
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const auto target = ParseTcpAddress(address);
    REQUIRE(connect(m_fd, reinterpret_cast<const sockaddr*>(&*target),
                    sizeof(*target)) == 0);
  }
  ~RawCaller() { close(m_fd); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Write(const std::string& bytes) const {
    // A failure shows when the answer is read.
    [[maybe_unused]] const ssize_t sent =
        send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  /// Reads up to `max_bytes` more bytes.
  /// @returns whether any arrived before the connection ended.
  bool Read(size_t max_bytes) {
    std::string block(max_bytes, '\0');
    const ssize_t count = recv(m_fd, block.data(), block.size(), 0);
    if (count > 0) {
      m_input.append(block, 0, static_cast<size_t>(count));
    }
    return count > 0;
  }

  /// Reads until `text` has arrived.
  /// @returns whether it arrived before the connection ended.
  bool ReadUntil(const std::string& text) {
    while (m_input.find(text) == std::string::npos) {
      if (!Read(kBlockBytes)) {
        return false;
      }
    }
    m_input.erase(0, m_input.find(text) + text.size());
    return true;
  }

  /// Reads the next answer, which has a Content-Length.
  /// @param pause called after each block, to read slowly.
  HttpAnswer ReadAnswer(const std::function<void()>& pause = nullptr) {
    HttpAnswer answer;
    size_t size = 0;
    while ((size = AnswerBytes()) == 0 || m_input.size() < size) {
      if (!Read(kBlockBytes)) {
        return answer;
      }
      if (pause) {
        pause();
      }
    }
    const size_t body = m_input.find("\r\n\r\n") + 4;
    answer.status = std::stoi(m_input.substr(9, 3));
    answer.body = m_input.substr(body, size - body);
    m_input.erase(0, size);
    return answer;
  }

 private:
  static constexpr size_t kBlockBytes = 1024 * 1024;

  /// @returns the size of the next answer, or 0 before its head has arrived.
  size_t AnswerBytes() const {
    constexpr char kLength[] = "Content-Length: ";
    const size_t end = m_input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return 0;
    }
    const size_t length = m_input.find(kLength);
    REQUIRE(length < end);
    return end + 4 + std::stoul(m_input.substr(length + sizeof(kLength) - 1));
  }

  const int m_fd;
  std::string m_input;
};

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_RAW_CALLER_H_
