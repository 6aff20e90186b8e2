// Masks of blocked signals.
#include "held_signals.h"

#include <csignal>

namespace bramleybank {
namespace {

void SetMask(int how, std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) {
    sigaddset(&set, signal);
  }
  pthread_sigmask(how, &set, nullptr);
}

}  // namespace

void HoldSignals(std::initializer_list<int> signals) {
  SetMask(SIG_BLOCK, signals);
}

void ReleaseSignals(std::initializer_list<int> signals) {
  SetMask(SIG_UNBLOCK, signals);
}

}  // namespace bramleybank
