#include "testing/fake_table.h"

#include <string>
#include <string_view>
#include <vector>

namespace gypsumfall::testing {

Row FakeTable::Get(const std::string& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? Row{key, RowVersion(), ""} : row->second;
}

TransactReply FakeTable::Transact(const TransactCall& call) {
  TransactReply reply;
  for (const RowCheck& check : call.checks) {
    const Row row = Get(check.key);
    if (row.version != check.version) {
      reply.conflict = row;
      return reply;
    }
  }
  for (const RowPut& put : call.puts) {
    const RowVersion version(++last_version_);
    rows_[put.key] = {put.key, version, put.value};
    reply.versions.push_back(version);
  }
  for (const std::string& key : call.deletes) rows_.erase(key);
  reply.committed = true;
  return reply;
}

std::vector<Row> FakeTable::Read(const std::vector<std::string>& keys) const {
  std::vector<Row> rows;
  rows.reserve(keys.size());
  for (const std::string& key : keys) rows.push_back(Get(key));
  return rows;
}

std::vector<Row> FakeTable::Scan(std::string_view prefix) const {
  std::vector<Row> rows;
  for (auto it = rows_.lower_bound(std::string(prefix));
       it != rows_.end() && it->first.starts_with(prefix); ++it) {
    rows.push_back(it->second);
  }
  return rows;
}

}  // namespace gypsumfall::testing
