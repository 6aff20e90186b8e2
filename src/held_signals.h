// Signals that arrive before the process can handle them.
#ifndef BRAMLEYBANK_SRC_HELD_SIGNALS_H_
#define BRAMLEYBANK_SRC_HELD_SIGNALS_H_

#include <initializer_list>

namespace bramleybank {

/// Keeps signals pending until EventLoop::RunOnSignal() takes them. Must be
/// called before other threads are started, since they inherit the mask: a
/// thread that does not block a signal takes it by its default action.
void HoldSignals(std::initializer_list<int> signals);

/// Lets signals act again; one that is pending acts at once.
void ReleaseSignals(std::initializer_list<int> signals);

}  // namespace bramleybank

#endif  // BRAMLEYBANK_SRC_HELD_SIGNALS_H_
