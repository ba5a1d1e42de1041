#ifndef GYPSUMFALL_HTTP_INTERNAL_UNIQUE_FUNCTION_H_
#define GYPSUMFALL_HTTP_INTERNAL_UNIQUE_FUNCTION_H_

#include <concepts>
#include <memory>
#include <type_traits>
#include <utility>

namespace gypsumfall {

/// A move-only std::function, which can hold callables that capture move-only
/// values such as a `Responder`.
/// @tparam Args argument types of the call, which returns void.
template <typename... Args>
class UniqueFunction {
 public:
  UniqueFunction() = default;

  // clang-format off
  /// Implicit as in std::function. The constraint keeps this constructor from
  /// replacing the copy and move constructors.
  /// @param target any callable with these arguments.
  template <typename Target>
    requires(!std::same_as<std::remove_cvref_t<Target>, UniqueFunction> &&
             std::invocable<std::decay_t<Target>&, Args...>)
  // NOLINTNEXTLINE(google-explicit-constructor,bugprone-forwarding-reference-overload)
  UniqueFunction(Target&& target)
      : callable_(std::make_unique<Holder<std::decay_t<Target>>>(
            std::forward<Target>(target))) {}
  // clang-format on

  /// @return whether a target is set.
  explicit operator bool() const { return callable_ != nullptr; }

  /// Calls the target, which must be set.
  void operator()(Args... args) {
    callable_->Call(std::forward<Args>(args)...);
  }

 private:
  struct Callable {
    virtual ~Callable() = default;
    virtual void Call(Args... args) = 0;
  };

  template <typename Target>
  struct Holder final : Callable {
    explicit Holder(Target from) : target(std::move(from)) {}
    void Call(Args... args) override { target(std::forward<Args>(args)...); }
    Target target;
  };

  std::unique_ptr<Callable> callable_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_HTTP_INTERNAL_UNIQUE_FUNCTION_H_
