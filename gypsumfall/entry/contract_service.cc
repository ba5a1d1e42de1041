#include "gypsumfall/entry/internal/contract_service.h"

#include <algorithm>
#include <utility>

#include "gypsumfall/entry/internal/store_service.h"

namespace gypsumfall {
namespace {

constexpr Duration kTick = milliseconds(50);
constexpr Duration kShortestPoll = milliseconds(500);
// Reads of the revision row per second by all entry hosts together.
constexpr int kFleetReadsPerSecond = 30;

Duration PollInterval(const EntrySettings& settings) {
  const auto hosts = static_cast<std::int64_t>(settings.peers.size()) + 1;
  return std::max(kShortestPoll,
                  Duration(hosts * 1'000'000 / kFleetReadsPerSecond));
}

}  // namespace

ContractService::ContractService(const EntryContext& context)
    : context_(context),
      log_("contracts"),
      follower_(PollInterval(context.settings)) {}

Result<void> ContractService::Start() {
  context_.runtime.Every(kTick, [this] { Tick(); });
  Tick();
  return {};
}

void ContractService::Tick() { Perform(follower_.Tick(context_.Now())); }

void ContractService::OnPeerRevision(ContractRevision revision) {
  follower_.OnPeerRevision(revision);
}

void ContractService::Perform(std::vector<FollowAction> actions) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  const auto on_rows = [this](PlatformResult<RowsReply> answer) {
    const Result<RowsReply> reply = ToResult(std::move(answer));
    if (reply) {
      Perform(follower_.OnRows(*reply, context_.Now()));
    } else {
      follower_.OnReadFailed(context_.Now());
    }
  };
  for (FollowAction& action : actions) {
    if (auto* read = std::get_if<ReadRows>(&action)) {
      store->table().Read(read->call, on_rows);
    } else if (auto* scan = std::get_if<ScanRows>(&action)) {
      store->table().Scan(scan->call, on_rows);
    } else {
      Apply(std::get<ApplyContracts>(action));
    }
  }
}

void ContractService::Apply(const ApplyContracts& apply) {
  for (const StoredContract& stored : apply.contracts) {
    Parsed<Contract> contract = ParseContract(stored.text);
    if (!contract) {
      log_.Error("a stored contract is not valid; the version before it stays",
                 {{"customer", stored.customer}, {"version", stored.version}});
      continue;
    }
    contract->version = stored.version;
    if (!book_.Apply(*contract)) continue;
    texts_[stored.customer] = stored.text;
    context_.Explain("contract/" + stored.customer.str(), "in force",
                     "version " + std::to_string(stored.version.value()) +
                         " by " + stored.author + " was read");
    if (on_applied) on_applied(*contract);
  }
  book_.AdvanceRevision(apply.revision);
}

std::string ContractService::TextOf(const CustomerId& customer) const {
  const auto found = texts_.find(customer);
  return found == texts_.end() ? std::string() : found->second;
}

void ContractService::Put(PutOrder order,
                          std::function<void(PutOutcome)> done) {
  auto running = std::make_shared<RunningPut>(
      RunningPut{ContractPut(std::move(order)), std::move(done)});
  Perform(running, running->put.Start());
}

void ContractService::Perform(const std::shared_ptr<RunningPut>& running,
                              std::vector<ContractAction> actions) {
  for (ContractAction& action : actions) {
    if (auto* read = std::get_if<ReadRows>(&action)) {
      SendPutRead(running, read->call);
    } else if (auto* send = std::get_if<SendTransaction>(&action)) {
      SendPutTransact(running, send->call);
    } else if (auto* done = std::get_if<PutDone>(&action)) {
      follower_.OnPeerRevision(done->revision);
      Tick();
      running->done(*done);
    } else if (auto* rejected = std::get_if<PutRejected>(&action)) {
      running->done(*rejected);
    } else {
      running->done(PutUnknown{});
    }
  }
}

void ContractService::SendPutRead(const std::shared_ptr<RunningPut>& running,
                                  const ReadCall& call) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Read(call, [this, running](PlatformResult<RowsReply> answer) {
    const auto reply = ToResult(std::move(answer));
    Perform(running,
            reply ? running->put.OnRows(*reply) : running->put.OnReadFailed());
  });
}

void ContractService::SendPutTransact(
    const std::shared_ptr<RunningPut>& running, const TransactCall& call) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Transact(
      call, [this, running](PlatformResult<TransactReply> answer) {
        if (answer.reply) {
          Perform(running, running->put.OnTransactReply(*answer.reply));
        } else if (answer.certainly_not_applied) {
          Perform(running, running->put.OnTransactNotApplied());
        } else {
          Perform(running, running->put.OnTransactUnknown());
        }
      });
}

void ContractService::History(
    const CustomerId& customer, int limit,
    std::function<void(Result<std::vector<StoredContract>>)> done) {
  ReadCall call;
  std::uint64_t version = book_.VersionOf(customer).value();
  for (int count = 0; count < limit && version > 0; ++count, --version) {
    call.keys.push_back(ContractHistoryKey(customer, ContractVersion(version)));
  }
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Read(
      call, [done = std::move(done)](PlatformResult<RowsReply> answer) {
        const auto reply = ToResult(std::move(answer));
        if (!reply) return done(tl::unexpected(reply.error()));
        std::vector<StoredContract> versions;
        for (const Row& row : reply->rows) {
          auto stored = DecodeStoredContract(row.value);
          if (stored) versions.push_back(std::move(*stored));
        }
        done(std::move(versions));
      });
}

std::string ContractService::Dump() const {
  std::string text =
      "contracts " + std::to_string(book_.size()) + ", revision " +
      std::to_string(revision().value()) +
      (loaded() ? ", all read\n" : ", first read is not complete\n");
  for (const ContractPtr& contract : book_.All()) {
    text += "contract " + contract->customer.str() + " version " +
            std::to_string(contract->version.value()) + ", kinds " +
            std::to_string(contract->kinds.size()) + "\n";
  }
  return text;
}

}  // namespace gypsumfall
