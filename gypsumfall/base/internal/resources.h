#ifndef GYPSUMFALL_BASE_INTERNAL_RESOURCES_H_
#define GYPSUMFALL_BASE_INTERNAL_RESOURCES_H_

#include <cstdint>
#include <string>

#include "gypsumfall/base/internal/ids.h"

namespace gypsumfall {

/// Thousandths of a processor core.
using MilliCores = StrongNumber<struct MilliCoresTag, std::int64_t>;
/// Memory in MiB.
using MebiBytes = StrongNumber<struct MebiBytesTag, std::int64_t>;
/// Whole accelerators.
using Accelerators = StrongNumber<struct AcceleratorsTag, std::int64_t>;

/// An amount of processor time, memory and accelerators.
struct Resources {
  MilliCores cpu;
  MebiBytes memory;
  Accelerators accelerators;

  friend bool operator==(const Resources&, const Resources&) = default;

  /// Adds `other` in each dimension.
  Resources& operator+=(const Resources& other);
  /// Subtracts `other` in each dimension; a result may be negative.
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }

  /// @return whether every dimension is at most that of `capacity`.
  bool FitsIn(const Resources& capacity) const;
  /// @return whether no dimension is negative.
  bool IsValid() const;
  /// @return text such as "1500m cpu, 256 MiB, 0 accelerators".
  std::string ToString() const;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BASE_INTERNAL_RESOURCES_H_
