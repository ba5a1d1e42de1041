#ifndef GYPSUMFALL_SCHEDULER_INTERNAL_FAKE_PORTS_H_
#define GYPSUMFALL_SCHEDULER_INTERNAL_FAKE_PORTS_H_

// Test support of this library: an in-memory table service, in-memory workers
// and a scheduling host that uses them.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "gypsumfall/scheduler/internal/caller_service.h"
#include "gypsumfall/scheduler/internal/layout_service.h"
#include "gypsumfall/scheduler/internal/peer_service.h"
#include "gypsumfall/scheduler/internal/shard_service.h"
#include "gypsumfall/scheduler/internal/topology_service.h"
#include "gypsumfall/scheduler/internal/transfer_service.h"
#include "gypsumfall/scheduler/internal/worker_list_service.h"

namespace gypsumfall::scheduler_internal {

/// An in-memory table service with fault injection for transactions.
class FakeStore {
 public:
  enum class Fault {
    kNone,
    /// The call is not carried out, and the response says so.
    kDown,
    /// The call is carried out, and its response is lost.
    kAnswerLost,
    /// The call is not carried out, and there is no response.
    kCallLost,
    /// The call is carried out by `ApplyLate`, and there is no response.
    kLate,
    /// The call is carried out, and the host never learns of any result, as if
    /// it had died.
    kHostLost,
  };

  explicit FakeStore(boost::asio::io_context& io) : io_(io) {}

  /// Injects a fault into the next `count` transactions that write to the
  /// table, or into all if it is empty.
  void InjectFault(Fault fault, int count, const std::string& table = {}) {
    fault_ = fault;
    remaining_faults_ = count;
    table_with_faults_ = table;
  }
  /// Injects a fault into the next `count` transactions with which the host
  /// writes to the table. They take precedence over those of `InjectFault`.
  void InjectHostFault(const std::string& host, Fault fault, int count,
                       const std::string& table) {
    host_faults_[host] = {fault, count, table};
  }
  /// @return the number of transactions with which the host has tried to write
  ///   to the table of its injected faults.
  int faulty_writes(const std::string& host) {
    return host_faults_[host].writes;
  }
  /// @return the number of injected faults that have not occurred yet.
  int remaining_faults() const { return remaining_faults_; }

  /// Carries out the calls that were late, if their conditions still hold.
  void ApplyLate() {
    for (const RowTransaction& transaction : std::exchange(late_, {}))
      Apply(transaction);
  }

  /// Called after each transaction that is carried out, before any host can
  /// read its rows.
  std::function<void(const RowTransaction&)> on_applied;

  void Put(const RowAddress& address, const std::string& value) {
    rows_[Key(address)] = {address, value, RowVersion(++version_)};
  }
  void Remove(const RowAddress& address) {
    Apply({.conditions = {}, .writes = {}, .removals = {address}});
  }
  /// Removes a row of which no read of changes tells.
  void RemoveWithoutHistory(const RowAddress& address) {
    rows_.erase(Key(address));
  }
  const StoredRow* Find(const RowAddress& address) const {
    const auto found = rows_.find(Key(address));
    return found == rows_.end() ? nullptr : &found->second;
  }

  /// Makes reads of the table's changes after an earlier version fail because
  /// the history is gone.
  void DropHistory(const std::string& table) {
    history_start_[table] = RowVersion(++version_);
  }

  /// Makes the next `count` reads of the partition fail.
  void FailReads(const std::string& partition, int count) {
    partition_with_failing_reads_ = partition;
    remaining_read_failures_ = count;
  }

  /// Table whose rows and changes cannot be read.
  std::string unreadable_table;

  /// Row that the store never takes, if its table is set.
  RowAddress rejected_row;

  /// Number of rows that reads have returned so far.
  std::size_t rows_returned = 0;

  /// @param host name of the host that uses the port, see `InjectHostFault`.
  RowStore Port(const std::string& host = {}) {
    RowStore port;
    port.transact = [this, host](const RowTransaction& transaction, Duration,
                                 UniqueFunction<TransactionReply> done) {
      const Fault fault = NextFault(host, transaction);
      TransactionReply reply = Transact(transaction, fault);
      if (fault == Fault::kHostLost) {
        unanswered_.push_back(std::move(done));
        return;
      }
      if (reply.outcome != StoreOutcome::kUnknown) reply.store_time = Clock();
      Post([done = std::move(done), reply]() mutable { done(reply); });
    };
    port.read = [this](const RowRange& range, Duration,
                       UniqueFunction<RowPage> done) {
      RowPage page = Read(range);
      page.store_time = Clock();
      Post([done = std::move(done), page]() mutable { done(page); });
    };
    port.changes = [this](const std::string& table, RowVersion after, Duration,
                          Duration, UniqueFunction<RowPage> done) {
      RowPage page{.outcome = StoreOutcome::kDone,
                   .rows = {},
                   .version = RowVersion(version_)};
      if (table == unreadable_table) {
        Post([done = std::move(done)]() mutable {
          done({.outcome = StoreOutcome::kNotApplied, .rows = {}});
        });
        return;
      }
      const auto history = history_start_.find(table);
      if (history != history_start_.end() && after < history->second) {
        page.outcome = StoreOutcome::kHistoryGone;
        Post([done = std::move(done), page]() mutable { done(page); });
        return;
      }
      for (const StoredRow& row : removed_) {
        if (row.address.table == table && row.version > after) {
          page.rows.push_back(row);
        }
      }
      for (const auto& [key, row] : rows_) {
        if (row.address.table == table && row.version > after) {
          page.rows.push_back(row);
        }
      }
      Post([done = std::move(done), page]() mutable { done(page); });
    };
    return port;
  }

 private:
  using RowKey = std::tuple<std::string, std::string, std::string>;

  static RowKey Key(const RowAddress& address) {
    return {address.table, address.partition, address.key};
  }

  static StoreTime Clock() {
    return StoreTime(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }

  template <typename Work>
  void Post(Work work) {
    boost::asio::post(io_, std::move(work));
  }

  struct HostFault {
    Fault fault = Fault::kNone;
    int remaining = 0;
    std::string table;
    int writes = 0;
  };

  Fault NextFault(const std::string& host, const RowTransaction& transaction) {
    const auto found = host_faults_.find(host);
    if (found != host_faults_.end() &&
        WritesTo(found->second.table, transaction)) {
      ++found->second.writes;
      if (found->second.remaining-- > 0) return found->second.fault;
    }
    if (remaining_faults_ == 0 || !WritesTo(table_with_faults_, transaction))
      return Fault::kNone;
    --remaining_faults_;
    return fault_;
  }

  TransactionReply Transact(const RowTransaction& transaction, Fault fault) {
    if (fault == Fault::kDown) return {StoreOutcome::kNotApplied, {}, {}};
    if (fault == Fault::kLate) late_.push_back(transaction);
    if (fault == Fault::kCallLost || fault == Fault::kLate)
      return {StoreOutcome::kUnknown, {}, {}};
    TransactionReply reply = Apply(transaction);
    if (fault == Fault::kAnswerLost) return {StoreOutcome::kUnknown, {}, {}};
    return reply;
  }

  static bool WritesTo(const std::string& table,
                       const RowTransaction& transaction) {
    return table.empty() ||
           std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [&](const RowWrite& write) {
                         return write.address.table == table;
                       });
  }

  /// @return whether the transaction is within the limits of the table service.
  bool IsAllowed(const RowTransaction& transaction) const {
    constexpr std::size_t kMaxRowBytes = 65536;
    constexpr std::size_t kMaxRows = 100;
    return transaction.conditions.size() + transaction.writes.size() +
                   transaction.removals.size() <=
               kMaxRows &&
           std::all_of(transaction.writes.begin(), transaction.writes.end(),
                       [this](const RowWrite& write) {
                         return write.value.size() <= kMaxRowBytes &&
                                write.address != rejected_row;
                       });
  }

  TransactionReply Apply(const RowTransaction& transaction) {
    if (!IsAllowed(transaction)) return {StoreOutcome::kRejected, {}, {}};
    TransactionReply reply{StoreOutcome::kDone, {}, {}};
    for (const RowCondition& condition : transaction.conditions) {
      const StoredRow* row = Find(condition.address);
      const RowVersion version = row == nullptr ? RowVersion(0) : row->version;
      if (row != nullptr) reply.current.push_back(*row);
      if (version != condition.version) reply.outcome = StoreOutcome::kConflict;
    }
    if (reply.outcome == StoreOutcome::kConflict) return reply;
    reply.version = RowVersion(++version_);
    for (const RowWrite& write : transaction.writes) {
      rows_[Key(write.address)] = {write.address, write.value, reply.version};
    }
    for (const RowAddress& address : transaction.removals) {
      if (rows_.erase(Key(address)) == 0) continue;
      removed_.push_back({address, "", reply.version, true});
    }
    if (on_applied) on_applied(transaction);
    return reply;
  }

  RowPage Read(const RowRange& range) {
    if (remaining_read_failures_ > 0 &&
        range.partition == partition_with_failing_reads_) {
      --remaining_read_failures_;
      return {.outcome = StoreOutcome::kNotApplied, .rows = {}};
    }
    if (range.table == unreadable_table)
      return {.outcome = StoreOutcome::kNotApplied, .rows = {}};
    constexpr std::size_t kMaxKeyBytes = 200;
    constexpr int kMaxPageRows = 500;
    if (range.from.size() > kMaxKeyBytes)
      return {.outcome = StoreOutcome::kRejected, .rows = {}};
    const int limit = range.limit > 0 ? range.limit : kMaxPageRows;
    RowPage page{.outcome = StoreOutcome::kDone,
                 .rows = {},
                 .version = RowVersion(version_)};
    for (const auto& [key, row] : rows_) {
      if (row.address.table == range.table &&
          row.address.partition == range.partition &&
          row.address.key >= range.from) {
        if (page.rows.size() >= static_cast<std::size_t>(limit)) {
          page.has_more = true;
          break;
        }
        page.rows.push_back(row);
      }
    }
    rows_returned += page.rows.size();
    return page;
  }

  boost::asio::io_context& io_;
  std::map<RowKey, StoredRow> rows_;
  std::vector<StoredRow> removed_;
  std::uint64_t version_ = 0;
  /// First versions of which the changes of a table can be read.
  std::map<std::string, RowVersion> history_start_;
  Fault fault_ = Fault::kNone;
  int remaining_faults_ = 0;
  std::string table_with_faults_;
  std::map<std::string, HostFault> host_faults_;
  /// Keeps calls of lost hosts open, so that they are not answered as failed.
  std::vector<UniqueFunction<TransactionReply>> unanswered_;
  std::vector<RowTransaction> late_;
  int remaining_read_failures_ = 0;
  std::string partition_with_failing_reads_;
};

inline RowAddress ConfigAddress() { return {"op", "", "config"}; }

/// @return the address of the row that closes a data centre.
inline RowAddress EvacuationAddress(const std::string& data_centre) {
  return {"op", "", "evacuate/" + data_centre};
}

/// @return a task of a job with one step.
inline TaskName TaskOf(const JobId& id, int index) { return {id, 0, 0, index}; }

/// @return whether the job runs until it is cancelled.
inline bool IsLongRunning(const JobId& job) {
  return job.str().starts_with("long");
}

/// Workers that complete each run immediately and report its completion. Runs
/// of long-running jobs continue until they are stopped.
class InstantWorkers {
 public:
  explicit InstantWorkers(boost::asio::io_context& io) : io_(io) {}

  WorkerPort Port() {
    WorkerPort port;
    port.start = [this](const StartOrder& order, Epoch, const std::string&,
                        Duration, UniqueFunction<OrderReply> done) {
      ++starts[order.task];
      last_worker[order.task] = order.worker;
      WorkerRuns& runs = runs_by_worker_[order.worker];
      if (IsLongRunning(order.task.job)) {
        runs.running.push_back({order.task, order.run});
      } else {
        runs.ReportCompletion(order.task, order.run, RunOutcome::kDone);
      }
      Accept(std::move(done));
    };
    port.stop = [this](const StopOrder& order, Epoch, Duration,
                       UniqueFunction<OrderReply> done) {
      WorkerRuns& runs = runs_by_worker_[order.worker];
      const auto stopped =
          std::erase_if(runs.running, [&](const RunReport& run) {
            return run.task == order.task && run.run == order.run;
          });
      if (stopped > 0)
        runs.ReportCompletion(order.task, order.run, RunOutcome::kStopped);
      Accept(std::move(done));
    };
    port.lease = [this](const LeaseOrder& order, Epoch, Duration,
                        UniqueFunction<LeaseReply> done) {
      WorkerRuns& runs = runs_by_worker_[order.worker];
      std::erase_if(runs.ended, [&](const CompletionReport& report) {
        return report.number <= order.acknowledged;
      });
      LeaseReply reply{.verdict = OrderVerdict::kAccepted,
                       .worker_clock = WorkerTime(seconds(5)),
                       .incarnation = WallTime(1),
                       .running = runs.running,
                       .ended = runs.ended};
      boost::asio::post(
          io_, [done = std::move(done), reply]() mutable { done(reply); });
    };
    return port;
  }

  /// Adds the end of a run that this scheduler has not started.
  void ReportEnd(const WorkerId& worker, const TaskName& task, RunNumber run) {
    runs_by_worker_[worker].ReportCompletion(task, run, RunOutcome::kDone);
  }
  std::size_t unacknowledged_ends(const WorkerId& worker) {
    return runs_by_worker_[worker].ended.size();
  }

  /// @return whether a scheduler has sent a start, a stop or a lease to the
  ///   worker.
  bool HasReceivedOrders(const WorkerId& worker) const {
    return runs_by_worker_.contains(worker);
  }

  /// @return the number of runs that have not ended.
  std::size_t running() const {
    std::size_t count = 0;
    for (const auto& [worker, runs] : runs_by_worker_) {
      count += runs.running.size();
    }
    return count;
  }

  std::map<TaskName, int> starts;
  /// Worker of the latest start of each task.
  std::map<TaskName, WorkerId> last_worker;

 private:
  struct WorkerRuns {
    std::vector<RunReport> running;
    std::vector<CompletionReport> ended;
    std::uint64_t last_completion_number = 0;

    void ReportCompletion(const TaskName& task, RunNumber run,
                          RunOutcome run_outcome) {
      ended.push_back({CompletionNumber(++last_completion_number), task, run,
                       run_outcome, Checkpoint()});
    }
  };

  void Accept(UniqueFunction<OrderReply> done) {
    boost::asio::post(io_, [done = std::move(done)]() mutable {
      done({OrderVerdict::kAccepted, WorkerTime(seconds(5))});
    });
  }

  boost::asio::io_context& io_;
  std::map<WorkerId, WorkerRuns> runs_by_worker_;
};

/// @return the rack to whose workers a job is limited by a label: what follows
///   "-on-" in its id; empty if there is none.
inline std::string RackOf(const JobId& job) {
  const std::size_t found = job.str().find("-on-");
  return found == std::string::npos ? "" : job.str().substr(found + 4);
}

/// @return whether the tasks of the job are a gang.
inline bool IsGang(const JobId& job) {
  return job.str().find("-gang") != std::string::npos;
}

/// @return whether the job is best-effort and declares its run time.
inline bool IsBestEffort(const JobId& job) {
  return job.str().starts_with("spare");
}

/// Decodes the requests of tests: "POST /ID" submits a job, "GET /ID" queries
/// its state, "DELETE /ID" cancels it and "GET /" queries the queue length.
inline CallerPort FakeCallers() {
  CallerPort port;
  port.decode =
      [](const HttpRequest& request,
         const Topology&) -> tl::expected<CallerRequest, CallerAnswer> {
    using Kind = CallerRequest::Kind;
    CallerRequest call{.queue = QueueId("q"),
                       .job = JobId(request.path.substr(1)),
                       .spec = {},
                       .caller_timeout = milliseconds(600)};
    call.spec.steps.push_back({.task_count = 2});
    if (IsLongRunning(call.job)) {
      call.spec.steps[0].long_running = true;
      call.spec.steps[0].need.cpu = MilliCores(4000);
    }
    call.spec.steps[0].required_label = WorkerLabel(RackOf(call.job));
    call.spec.steps[0].gang = IsGang(call.job);
    if (IsBestEffort(call.job)) {
      call.spec.steps[0].best_effort = true;
      call.spec.steps[0].declared_run_time = seconds(1);
      call.spec.steps[0].need.cpu = MilliCores(1000);
    }
    if (call.job.empty()) {
      call.kind = Kind::kQueueLength;
    } else if (request.method == HttpMethod::kPost) {
      call.kind = Kind::kSubmit;
    } else if (request.method == HttpMethod::kDelete) {
      call.kind = Kind::kCancel;
    }
    return call;
  };
  port.encode = [](const CallerAnswer& answer) {
    using Kind = CallerAnswer::Kind;
    switch (answer.kind) {
      case Kind::kTryLater:
        return HttpResponse{.status = 503, .retry_after = answer.retry_after};
      case Kind::kOutcomeUnknown:
        return HttpResponse{.status = 504};
      case Kind::kUnknownJob:
        return HttpResponse{.status = 410};
      default:
        return HttpResponse{.body =
                                std::to_string(static_cast<int>(answer.state))};
    }
  };
  return port;
}

/// @return the response body of `FakeCallers` for a state.
inline std::string StateText(JobState state) {
  return std::to_string(static_cast<int>(state));
}

/// A free port of the loopback interface. Its socket stays bound and never
/// listens: a server can listen on the port, and the system gives the port to
/// no other process.
class FreePort {
 public:
  explicit FreePort(boost::asio::io_context& io) : socket_(io) {
    using Tcp = boost::asio::ip::tcp;
    socket_.open(Tcp::v4());
    socket_.set_option(Tcp::acceptor::reuse_address(true));
    socket_.bind({boost::asio::ip::address_v4::loopback(), 0});
  }

  std::uint16_t number() const { return socket_.local_endpoint().port(); }

 private:
  boost::asio::ip::tcp::acceptor socket_;
};

/// A scheduling host on free ports of the loopback interface, without the
/// health and metrics services.
class TestHost {
 public:
  TestHost(boost::asio::io_context& io, FakeStore& store,
           InstantWorkers& workers, const std::string& name,
           std::int64_t workers_per_processor = 500,
           double processor_share = 1.0,
           ByteCount max_job_memory = ByteCount(64 << 20),
           const OverloadSettings& overload = {})
      : io_(io),
        caller_port_(io),
        peer_port_(io),
        runtime_(io),
        peers_(io, {}),
        ports_{store.Port(name), workers.Port(), FakeCallers(),
               FakeDirectory()} {
    settings_.scheduling.workers_per_processor = workers_per_processor;
    settings_.scheduling.max_job_memory = max_job_memory;
    settings_.timings.worker_heartbeat = milliseconds(100);
    settings_.timings.evacuation_bound = seconds(5);
    settings_.timings.evacuation_return = milliseconds(200);
    settings_.overload = overload;
    settings_.host.id = EntryHostId(name);
    settings_.host.processor_share = processor_share;
    settings_.host.listen_callers = {"127.0.0.1", caller_port_.number()};
    settings_.host.listen_peers = {"127.0.0.1", peer_port_.number()};
    context_ = std::make_unique<Context>(Context{settings_, "process-" + name,
                                                 runtime_, kernel_, peers_,
                                                 metrics_, ports_});
    Register<TopologyService>(kTopologyService);
    Register<LayoutService>(kLayoutService);
    Register<WorkerListService>(kWorkerListService);
    Register<ShardService>(kShardService);
    Register<PeerService>(kPeerService);
    Register<CallerService>(kCallerService);
    Register<TransferService>(kTransferService);
    REQUIRE(kernel_.Start());
  }

  /// Sends a request to the host and waits for the answer.
  CallOutcome SendRequest(HttpMethod method, const std::string& path) {
    CallOutcome answer;
    bool done = false;
    peers_.Call(settings_.host.listen_callers.ToString(),
                {.method = method, .path = path, .body = "{}"}, seconds(20),
                [&](CallOutcome outcome) {
                  answer = std::move(outcome);
                  done = true;
                });
    RunUntil([&] { return done; });
    return answer;
  }

  /// Runs the event loop until the condition holds. Fails the test if no event
  /// occurs for 30 s.
  void RunUntil(const std::function<bool()>& stop_condition) {
    while (!stop_condition()) {
      io_.restart();
      if (io_.run_one_for(std::chrono::seconds(30)) == 0) FAIL("hangs");
    }
  }

  Metrics& metrics() { return metrics_; }
  TopologyService& topology() {
    return *kernel_.Find<TopologyService>(kTopologyService);
  }
  LayoutService& layout() {
    return *kernel_.Find<LayoutService>(kLayoutService);
  }
  ShardService& shards() { return *kernel_.Find<ShardService>(kShardService); }
  /// @return the elector of the first shard; waits until the shards are known.
  LeaderElector& elector() { return FirstShard().elector; }
  DispatchService& dispatch() { return FirstShard().dispatch; }

 private:
  Shard& FirstShard() {
    RunUntil([this] { return shards().is_ready(); });
    return *shards().shards().front();
  }

  static DirectoryPort FakeDirectory() {
    return {
        .topology_row = ConfigAddress(),
        .evacuation_rows = EvacuationAddress(""),
        .worker_table = "workers",
        .decode_topology = [](const std::string& value) -> Result<Topology> {
          if (value.empty()) return Fail(ErrorKind::kBadRequest, "empty");
          Topology topology{.version = TopologyVersion(std::stoull(value))};
          topology.queues.push_back({.id = QueueId("q"),
                                     .path_prefix = "/",
                                     .service = ServiceId("desk"),
                                     .max_attempts = 2});
          return topology;
        },
        .decode_worker = [](const StoredRow& row) -> Result<WorkerEntry> {
          // The prefix of the worker's id before the dash, if any. The worker
          // has it as a label, too.
          const std::size_t dash = row.address.key.find('-');
          const std::string rack =
              dash == std::string::npos ? "" : row.address.key.substr(0, dash);
          // The data centre follows an "@".
          const std::size_t at = row.address.key.find('@');
          return WorkerEntry{
              .id = WorkerId(row.address.key),
              .endpoint = "worker:1",
              .service = ServiceId("desk"),
              .data_centre = DataCentreId(at == std::string::npos
                                              ? "dc"
                                              : row.address.key.substr(at + 1)),
              .capacity = {MilliCores(8000), MebiBytes(8000), {}},
              .labels = {WorkerLabel(rack)},
              .rack = RackId(rack)};
        },
        .decode_evacuation =
            [](const RowAddress& address) -> std::optional<DataCentreId> {
          const RowAddress prefix = EvacuationAddress("");
          if (address.table != prefix.table ||
              !address.key.starts_with(prefix.key)) {
            return std::nullopt;
          }
          return DataCentreId(address.key.substr(prefix.key.size()));
        }};
  }

  template <typename T>
  void Register(const char* name) {
    kernel_.Register(name, std::make_unique<T>(*context_));
  }

  boost::asio::io_context& io_;
  FreePort caller_port_;
  FreePort peer_port_;
  SchedulerSettings settings_;
  Runtime runtime_;
  ClientPool peers_;
  Metrics metrics_;
  SchedulerPorts ports_;
  std::unique_ptr<Context> context_;
  Kernel kernel_;
};

}  // namespace gypsumfall::scheduler_internal

#endif  // GYPSUMFALL_SCHEDULER_INTERNAL_FAKE_PORTS_H_
