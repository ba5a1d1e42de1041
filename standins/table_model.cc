#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/models.h"

namespace gypsumfall::standins {
namespace {

constexpr std::size_t kRowsPerScanRead = 100;

std::vector<std::string_view> KeysOf(const TransactCall& call) {
  std::vector<std::string_view> keys;
  for (const RowPut& put : call.puts) keys.push_back(put.key);
  for (const std::string& key : call.deletes) keys.push_back(key);
  for (const RowCheck& check : call.checks) keys.push_back(check.key);
  return keys;
}

}  // namespace

bool RateBudget::TryConsume(double amount, Time now) {
  const double refilled =
      std::chrono::duration<double>(now - updated_).count() * per_second_;
  if (now > updated_) available_ = std::min(per_second_, available_ + refilled);
  updated_ = std::max(updated_, now);
  if (available_ <= 0) return false;
  available_ -= amount;
  return true;
}

TableModel::TableModel(const TableOptions& options, FaultRules faults)
    : options_(options),
      faults_(std::move(faults)),
      writes_(options.rows_written_per_second),
      reads_(options.reads_per_second) {}

Answer<TransactReply> TableModel::Transact(const TransactCall& call, Time now) {
  const FaultEffect effect = faults_.Match("transact", KeysOf(call));
  Answer<TransactReply> answer{.down = effect.down, .delay = effect.delay};
  if (!effect.applied) return answer;
  const bool too_large =
      std::any_of(call.puts.begin(), call.puts.end(), [&](const RowPut& put) {
        return put.value.size() > options_.max_value_bytes;
      });
  if (too_large) {
    answer.refused = ErrorKind::kTooLarge;
    return answer;
  }
  const std::size_t rows = call.puts.size() + call.deletes.size();
  if (!writes_.TryConsume(static_cast<double>(rows), now)) {
    ++rate_limited_;
    answer.refused = ErrorKind::kOverLimit;
    return answer;
  }
  TransactReply reply = Apply(call);
  answer.applied = reply.committed;
  if (effect.answered) answer.reply = std::move(reply);
  return answer;
}

TransactReply TableModel::Apply(const TransactCall& call) {
  for (const RowCheck& check : call.checks) {
    Row row = Find(check.key);
    if (row.version == check.version) continue;
    return {.committed = false, .versions = {}, .conflict = std::move(row)};
  }
  TransactReply reply{.committed = true, .versions = {}, .conflict = {}};
  for (const std::string& key : call.deletes) rows_.erase(key);
  for (const RowPut& put : call.puts) {
    const RowVersion version(++version_);
    rows_[put.key] = {put.key, version, put.value};
    reply.versions.push_back(version);
  }
  rows_written_ += call.puts.size() + call.deletes.size();
  return reply;
}

Row TableModel::Find(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? Row{key, RowVersion(0), ""} : found->second;
}

Answer<RowsReply> TableModel::Read(const ReadCall& call, Time now) {
  const std::vector<std::string_view> keys(call.keys.begin(), call.keys.end());
  const FaultEffect effect = faults_.Match("read", keys);
  Answer<RowsReply> answer{.down = effect.down, .delay = effect.delay};
  if (!effect.answered) return answer;
  if (!reads_.TryConsume(static_cast<double>(keys.size()), now)) {
    ++rate_limited_;
    answer.refused = ErrorKind::kOverLimit;
    return answer;
  }
  keys_read_ += keys.size();
  answer.applied = true;
  answer.reply.emplace();
  for (const std::string& key : call.keys) {
    answer.reply->rows.push_back(Find(key));
  }
  return answer;
}

Answer<RowsReply> TableModel::Scan(const ScanCall& call, Time now) {
  const FaultEffect effect = faults_.Match("scan", {call.prefix});
  Answer<RowsReply> answer{.down = effect.down, .delay = effect.delay};
  if (!effect.answered) return answer;
  RowsReply reply = FindAll(call);
  const std::size_t reads = 1 + reply.rows.size() / kRowsPerScanRead;
  if (!reads_.TryConsume(static_cast<double>(reads), now)) {
    ++rate_limited_;
    answer.refused = ErrorKind::kOverLimit;
    return answer;
  }
  keys_read_ += reads;
  answer.applied = true;
  answer.reply = std::move(reply);
  return answer;
}

RowsReply TableModel::FindAll(const ScanCall& call) const {
  RowsReply reply;
  auto next = call.after < call.prefix ? rows_.lower_bound(call.prefix)
                                       : rows_.upper_bound(call.after);
  const auto limit = static_cast<std::size_t>(std::max(0, call.limit));
  for (; next != rows_.end() && reply.rows.size() < limit; ++next) {
    if (!next->first.starts_with(call.prefix)) break;
    reply.rows.push_back(next->second);
  }
  return reply;
}

}  // namespace gypsumfall::standins
