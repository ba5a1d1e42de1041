#include <string>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

Resources& Resources::operator+=(const Resources& other) {
  cpu = MilliCores(cpu.value() + other.cpu.value());
  memory = MebiBytes(memory.value() + other.memory.value());
  accelerators =
      Accelerators(accelerators.value() + other.accelerators.value());
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu = MilliCores(cpu.value() - other.cpu.value());
  memory = MebiBytes(memory.value() - other.memory.value());
  accelerators =
      Accelerators(accelerators.value() - other.accelerators.value());
  return *this;
}

bool Resources::FitsIn(const Resources& capacity) const {
  return cpu <= capacity.cpu && memory <= capacity.memory &&
         accelerators <= capacity.accelerators;
}

bool Resources::IsValid() const {
  return cpu.value() >= 0 && memory.value() >= 0 && accelerators.value() >= 0;
}

std::string Resources::ToString() const {
  return std::to_string(cpu.value()) + "m cpu, " +
         std::to_string(memory.value()) + " MiB, " +
         std::to_string(accelerators.value()) + " accelerators";
}

}  // namespace gypsumfall
