// gypsumfall-load: generates HTTP load against entry hosts or workers on
// loopback addresses. Prints the results as one line of JSON.
//
//   gypsumfall-load --targets 127.0.0.1:8080 --customer desk --kind check
//     --key-file desk.key --loop open --rate 2000 --seconds 30

#include <iostream>
#include <string>
#include <vector>

#include "bench/load_generator.h"
#include "bench/load_options.h"

namespace {

constexpr int kExitMismatch = 1;
constexpr int kExitUsage = 2;
constexpr int kExitRunFailed = 3;

}  // namespace

int main(int argc, char** argv) {
  using gypsumfall::load::LoadGenerator;
  const std::vector<std::string> args(argv + 1, argv + argc);
  const auto options = gypsumfall::load::ParseLoadOptions(args);
  if (!options) {
    std::cerr << options.error().detail << '\n';
    return kExitUsage;
  }
  LoadGenerator generator(*options);
  const auto result = generator.Run();
  if (!result) {
    std::cerr << result.error().detail << '\n';
    return kExitRunFailed;
  }
  std::cout << (*result)->ToJson() << '\n';
  return (*result)->AllAnswersValid() ? 0 : kExitMismatch;
}
