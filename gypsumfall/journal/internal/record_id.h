#ifndef GYPSUMFALL_JOURNAL_INTERNAL_RECORD_ID_H_
#define GYPSUMFALL_JOURNAL_INTERNAL_RECORD_ID_H_

#include <cstdint>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// Identifies an appended record; chosen by the appender, unique per journal.
using JournalRecordId = StrongNumber<struct JournalTicketTag, std::uint64_t>;

}  // namespace gypsumfall

#endif  // GYPSUMFALL_JOURNAL_INTERNAL_RECORD_ID_H_
