#include <string>
#include <string_view>

#include "gypsumfall/protocol/internal/codec_impl.h"
#include "gypsumfall/protocol/protocol.h"

namespace gypsumfall {

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<Row> auto& row) {
  visit("key", row.key);
  visit("version", row.version);
  // The service omits the value of a row that failed a check.
  visit.WithDefault("value", row.value);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<RowCheck> auto& check) {
  visit("key", check.key);
  visit("version", check.version);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<RowPut> auto& put) {
  visit("key", put.key);
  visit("value", put.value);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<TransactCall> auto& call) {
  visit("token", call.token);
  visit("checks", call.checks);
  visit("puts", call.puts);
  visit("deletes", call.deletes);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<TransactReply> auto& reply) {
  visit("committed", reply.committed);
  if (reply.committed) {
    visit("versions", reply.versions);
  } else {
    Fields(visit, reply.conflict);
  }
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ReadCall> auto& call) {
  visit("keys", call.keys);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<RowsReply> auto& reply) {
  visit("rows", reply.rows);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ScanCall> auto& call) {
  visit("prefix", call.prefix);
  visit("after", call.after);
  visit("limit", call.limit);
}

template <typename Visitor>
void Fields(Visitor& visit, MaybeConst<ListedHost> auto& host) {
  visit("id", host.id);
  visit("address", host.address);
  visit("rack", host.rack);
  visit("data_centre", host.data_centre);
  visit("live", host.live);
  visit("leaving", host.leaving);
  visit("resources", host.capacity);
}

template std::string Encode(const Row&);
template std::string Encode(const RowCheck&);
template std::string Encode(const RowPut&);
template std::string Encode(const TransactCall&);
template std::string Encode(const TransactReply&);
template std::string Encode(const ReadCall&);
template std::string Encode(const RowsReply&);
template std::string Encode(const ScanCall&);
template std::string Encode(const ListedHost&);
template Result<Row> Decode(std::string_view);
template Result<RowCheck> Decode(std::string_view);
template Result<RowPut> Decode(std::string_view);
template Result<TransactCall> Decode(std::string_view);
template Result<TransactReply> Decode(std::string_view);
template Result<ReadCall> Decode(std::string_view);
template Result<RowsReply> Decode(std::string_view);
template Result<ScanCall> Decode(std::string_view);
template Result<ListedHost> Decode(std::string_view);

// The host list is sent as a JSON array, not as an object.
template std::string Encode(const std::vector<ListedHost>&);
template Result<std::vector<ListedHost>> Decode(std::string_view);

template <>
std::string Encode(const HostListReply& reply) {
  return Encode(reply.hosts);
}

template <>
Result<HostListReply> Decode(std::string_view text) {
  Result<std::vector<ListedHost>> hosts = Decode<std::vector<ListedHost>>(text);
  if (!hosts) return tl::unexpected<Error>(std::move(hosts).error());
  return HostListReply{*std::move(hosts)};
}

}  // namespace gypsumfall
