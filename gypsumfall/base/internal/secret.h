#ifndef GYPSUMFALL_BASE_INTERNAL_SECRET_H_
#define GYPSUMFALL_BASE_INTERNAL_SECRET_H_

#include <string>
#include <utility>

namespace gypsumfall {

/// A key or password. It is readable only through Reveal() and has no stream
/// operator, which prevents accidental output to a log or a dump.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string value) : value_(std::move(value)) {}

  /// @return the plain text. Only for code that sends or compares it.
  const std::string& Reveal() const { return value_; }
  bool empty() const { return value_.empty(); }

 private:
  std::string value_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BASE_INTERNAL_SECRET_H_
