// Version of the programs and of the formats that they exchange.
#ifndef BRAMLEYBANK_VERSION_H_
#define BRAMLEYBANK_VERSION_H_

namespace bramleybank {

inline constexpr char kVersion[] = "0.1.0";

}  // namespace bramleybank

#endif  // BRAMLEYBANK_VERSION_H_
