#ifndef GYPSUMFALL_BASE_INTERNAL_LOG_LEVEL_H_
#define GYPSUMFALL_BASE_INTERNAL_LOG_LEVEL_H_

#include <string_view>

namespace gypsumfall {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// @return "debug", "info", "warning" or "error".
std::string_view LogLevelName(LogLevel level);

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BASE_INTERNAL_LOG_LEVEL_H_
