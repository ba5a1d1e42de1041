#include "gypsumfall/entry/internal/contract_service.h"

#include <algorithm>
#include <utility>

#include "gypsumfall/entry/internal/store_service.h"

namespace gypsumfall {
namespace {

constexpr Duration kTick = milliseconds(50);
constexpr Duration kMinPollInterval = milliseconds(500);
// Reads of the revision row per second by all entry hosts together. Each host
// lengthens its poll interval with the number of hosts to stay within it.
constexpr int kTotalReadsPerSecond = 30;

Duration PollInterval(const EntrySettings& settings) {
  const auto hosts = static_cast<std::int64_t>(settings.peers.size()) + 1;
  return std::max(kMinPollInterval,
                  Duration(hosts * 1'000'000 / kTotalReadsPerSecond));
}

}  // namespace

ContractService::ContractService(const EntryContext& context)
    : context_(context),
      log_("contracts"),
      follower_(PollInterval(context.settings)) {}

Result<void> ContractService::Start() {
  context_.runtime.RunEvery(kTick, [this] { Tick(); });
  Tick();
  return {};
}

void ContractService::Tick() { Perform(follower_.Tick(context_.Now())); }

void ContractService::OnPeerRevision(ContractRevision revision) {
  follower_.OnPeerRevision(revision);
}

void ContractService::Perform(std::vector<ContractFollowerAction> actions) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  const auto on_rows = [this](PlatformResult<RowsReply> answer) {
    const Result<RowsReply> reply = ToResult(std::move(answer));
    if (reply) {
      Perform(follower_.OnRows(*reply, context_.Now()));
    } else {
      follower_.OnReadFailed(context_.Now());
    }
  };
  for (ContractFollowerAction& action : actions) {
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
      log_.Error("stored contract is invalid; keeping the previous version",
                 {{"customer", stored.customer}, {"version", stored.version}});
      continue;
    }
    contract->version = stored.version;
    if (!book_.Apply(*contract)) continue;
    contract_texts_[stored.customer] = stored.text;
    context_.Explain("contract/" + stored.customer.str(), "in force",
                     "version " + std::to_string(stored.version.value()) +
                         " by " + stored.author + " was read");
    if (on_applied) on_applied(*contract);
  }
  book_.AdvanceRevision(apply.revision);
}

std::string ContractService::ContractText(const CustomerId& customer) const {
  const auto found = contract_texts_.find(customer);
  return found == contract_texts_.end() ? std::string() : found->second;
}

void ContractService::Put(ContractPutRequest order,
                          std::function<void(PutOutcome)> done) {
  auto pending_put = std::make_shared<PendingPut>(
      PendingPut{ContractPut(std::move(order)), std::move(done)});
  Perform(pending_put, pending_put->put.Start());
}

void ContractService::Perform(const std::shared_ptr<PendingPut>& pending_put,
                              std::vector<ContractAction> actions) {
  for (ContractAction& action : actions) {
    if (auto* read = std::get_if<ReadRows>(&action)) {
      SendPutRead(pending_put, read->call);
    } else if (auto* send = std::get_if<SendTransaction>(&action)) {
      SendPutTransact(pending_put, send->call);
    } else if (auto* done = std::get_if<PutDone>(&action)) {
      follower_.OnPeerRevision(done->revision);
      Tick();
      pending_put->done(*done);
    } else if (auto* rejected = std::get_if<PutRejected>(&action)) {
      pending_put->done(*rejected);
    } else {
      pending_put->done(PutOutcomeUnknown{});
    }
  }
}

void ContractService::SendPutRead(
    const std::shared_ptr<PendingPut>& pending_put, const ReadCall& call) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Read(
      call, [this, pending_put](PlatformResult<RowsReply> answer) {
        const auto reply = ToResult(std::move(answer));
        Perform(pending_put, reply ? pending_put->put.OnRows(*reply)
                                   : pending_put->put.OnReadFailed());
      });
}

void ContractService::SendPutTransact(
    const std::shared_ptr<PendingPut>& pending_put, const TransactCall& call) {
  auto* store = context_.kernel.Find<StoreService>(kStoreService);
  store->table().Transact(
      call, [this, pending_put](PlatformResult<TransactReply> answer) {
        if (answer.reply) {
          Perform(pending_put, pending_put->put.OnTransactReply(*answer.reply));
        } else if (answer.certainly_not_applied) {
          Perform(pending_put, pending_put->put.OnTransactNotApplied());
        } else {
          Perform(pending_put, pending_put->put.OnTransactUnknown());
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
