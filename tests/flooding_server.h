// A server that answers each request with bytes without end.
#ifndef BRAMLEYBANK_TESTS_FLOODING_SERVER_H_
#define BRAMLEYBANK_TESTS_FLOODING_SERVER_H_

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tcp_address.h"

namespace bramleybank::testing {

/// Runs on its own thread until the destructor.
class FloodingServer {
 public:
  /// @param address ip:port.
  /// @param start sent first in answer to a request.
  /// @param repeated sent from then on until the peer closes; may be empty.
  FloodingServer(const std::string& address,
                 std::string start,
                 const std::string& repeated)
      : m_start(std::move(start)),
        m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    while (!repeated.empty() && m_block.size() < kBlockBytes) {
      m_block += repeated;
    }
    const int reuse = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    const auto target = ParseTcpAddress(address);
    REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr*>(&*target),
                 sizeof(*target)) == 0);
    REQUIRE(listen(m_listener, SOMAXCONN) == 0);
    m_thread = std::thread([this] { Run(); });
  }
  ~FloodingServer() {
    m_is_stopping = true;
    m_thread.join();
    close(m_listener);
  }
  FloodingServer(const FloodingServer&) = delete;
  FloodingServer& operator=(const FloodingServer&) = delete;

 private:
  struct Peer {
    int fd = -1;
    std::string input;
    bool is_answered = false;
    size_t start_sent = 0;
    size_t block_sent = 0;
  };
  static constexpr size_t kBlockBytes = 64 * 1024;
  static constexpr int kPollMs = 20;

  void Run() {
    while (!m_is_stopping) {
      std::vector<pollfd> ready = {
          {.fd = m_listener, .events = POLLIN, .revents = 0}};
      for (const Peer& peer : m_peers) {
        const bool has_output =
            peer.start_sent < m_start.size() || !m_block.empty();
        const short events = peer.is_answered && has_output ? POLLOUT : POLLIN;
        ready.push_back({.fd = peer.fd, .events = events, .revents = 0});
      }
      poll(ready.data(), ready.size(), kPollMs);
      for (size_t i = ready.size() - 1; i > 0; --i) {
        if (ready[i].revents != 0 && !Serve(&m_peers[i - 1])) {
          close(m_peers[i - 1].fd);
          m_peers.erase(m_peers.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
      }
      if (ready[0].revents != 0) {
        m_peers.push_back({.fd = accept4(m_listener, nullptr, nullptr,
                                         SOCK_NONBLOCK | SOCK_CLOEXEC),
                           .input = {}});
      }
    }
    for (const Peer& peer : m_peers) {
      close(peer.fd);
    }
  }

  /// @returns whether the connection is still open.
  bool Serve(Peer* peer) {
    if (!peer->is_answered) {
      return ReadRequest(peer);
    }
    return peer->start_sent < m_start.size()
               ? SendPart(peer->fd, m_start, &peer->start_sent)
               : SendPart(peer->fd, m_block, &peer->block_sent);
  }

  bool ReadRequest(Peer* peer) {
    char block[4096];
    const ssize_t count = recv(peer->fd, block, sizeof(block), 0);
    if (count <= 0) {
      return false;
    }
    peer->input.append(block, static_cast<size_t>(count));
    peer->is_answered = peer->input.find("\r\n\r\n") != std::string::npos;
    return true;
  }

  static bool SendPart(int fd, const std::string& bytes, size_t* sent) {
    *sent = *sent == bytes.size() ? 0 : *sent;
    const ssize_t count =
        send(fd, bytes.data() + *sent, bytes.size() - *sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    *sent += static_cast<size_t>(count);
    return true;
  }

  const std::string m_start;
  std::string m_block;
  int m_listener;
  std::vector<Peer> m_peers;
  std::atomic<bool> m_is_stopping = false;
  std::thread m_thread;
};

}  // namespace bramleybank::testing

#endif  // BRAMLEYBANK_TESTS_FLOODING_SERVER_H_
