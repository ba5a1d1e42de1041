#ifndef TESTING_FAKE_TABLE_H_
#define TESTING_FAKE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall::testing {

/// In-memory table service and object store for simulations.
class FakeTable {
 public:
  /// Applies a transaction atomically if all its version checks pass.
  TransactReply Transact(const TransactCall& call);
  std::vector<Row> Read(const std::vector<std::string>& keys) const;
  std::vector<Row> Scan(std::string_view prefix) const;

  /// Objects by name.
  std::map<std::string, std::string> objects;

 private:
  Row Get(const std::string& key) const;

  std::map<std::string, Row> rows_;
  std::uint64_t last_version_ = 0;
};

}  // namespace gypsumfall::testing

#endif  // TESTING_FAKE_TABLE_H_
