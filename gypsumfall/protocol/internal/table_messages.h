#ifndef GYPSUMFALL_PROTOCOL_INTERNAL_TABLE_MESSAGES_H_
#define GYPSUMFALL_PROTOCOL_INTERNAL_TABLE_MESSAGES_H_

#include <string>
#include <vector>

#include "gypsumfall/base/base.h"

namespace gypsumfall {

/// A row of the table service.
struct Row {
  std::string key;
  /// Version 0 means that the row is absent.
  RowVersion version;
  std::string value;
};

/// Precondition on the version of a row; version 0 requires it to be absent.
struct RowCheck {
  std::string key;
  RowVersion version;
};

struct RowPut {
  std::string key;
  std::string value;
};

/// A conditional transaction: all puts and deletes are applied atomically if
/// all checks hold, otherwise none.
struct TransactCall {
  /// Chosen by the client to correlate logs; not interpreted by the service.
  std::string token;
  std::vector<RowCheck> checks;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};

struct TransactReply {
  bool committed = false;
  /// If committed: the new version of each put row, in the order of the call.
  std::vector<RowVersion> versions;
  /// If not committed: the current row of the first check that failed.
  Row conflict;
};

struct ReadCall {
  std::vector<std::string> keys;
};

/// Rows in the order of the requested keys for a read, in key order for a scan.
struct RowsReply {
  std::vector<Row> rows;
};

struct ScanCall {
  std::string prefix;
  /// Returns only keys greater than this one.
  std::string after;
  int limit = 1000;
};

/// A host in the platform's host list, which lags behind the actual state.
struct ListedHost {
  WorkerId id;
  /// "ip:port".
  std::string address;
  RackId rack;
  DataCentreId data_centre;
  bool live = true;
  bool leaving = false;
  Resources capacity;
};

struct HostListReply {
  std::vector<ListedHost> hosts;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_PROTOCOL_INTERNAL_TABLE_MESSAGES_H_
