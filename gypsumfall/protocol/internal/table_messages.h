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

/// Requires a row to be at a version; version 0 requires it to be absent.
struct RowCheck {
  std::string key;
  RowVersion version;
};

struct RowPut {
  std::string key;
  std::string value;
};

/// Applied as a whole if all checks hold.
struct TransactCall {
  /// Chosen by the client for its logs; the service does not interpret it.
  std::string token;
  std::vector<RowCheck> checks;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};

struct TransactReply {
  bool committed = false;
  /// The new version of each put row, in order, if committed.
  std::vector<RowVersion> versions;
  /// The first check that failed, with the row as it is, if not committed.
  Row conflict;
};

struct ReadCall {
  std::vector<std::string> keys;
};

/// Rows in the order of the keys of a read, or in key order for a scan.
struct RowsReply {
  std::vector<Row> rows;
};

struct ScanCall {
  std::string prefix;
  /// Only keys greater than this one.
  std::string after;
  int limit = 1000;
};

/// A host as the platform's lagging host list shows it.
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
