#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "gypsumfall/admission/admission.h"

namespace gypsumfall {

std::int64_t IntegerShare(std::int64_t ceiling, const CustomerId& customer,
                          const EntryHostId& host,
                          const std::vector<EntryHostId>& hosts) {
  const auto count = static_cast<std::int64_t>(hosts.size());
  if (ceiling <= 0 || count == 0) return 0;
  const auto rank_key = [&customer](const EntryHostId& id) {
    return std::pair(StableHash(customer.str() + "/" + id.str()), id);
  };
  const auto host_key = rank_key(host);
  std::int64_t rank = 0;
  bool is_listed = false;
  for (const EntryHostId& other : hosts) {
    if (other == host) {
      is_listed = true;
    } else if (rank_key(other) < host_key) {
      ++rank;
    }
  }
  if (!is_listed) return 0;
  return ceiling / count + (rank < ceiling % count ? 1 : 0);
}

}  // namespace gypsumfall
