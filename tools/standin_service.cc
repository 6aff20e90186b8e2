// Stand-in for a plain service with non-idempotent routes. For tests and demos
// only.
#include "standin_main.h"
#include "standin_service_server.h"

int main(int argc, char** argv) {
  using namespace bramleybank;
  return RunStandin<ServiceServer>(
      argc, argv, "Service stand-in for tests and demos of bramleybank.",
      &ReadServiceSettings);
}
