#ifndef GYPSUMFALL_ENTRY_INTERNAL_CALLER_API_H_
#define GYPSUMFALL_ENTRY_INTERNAL_CALLER_API_H_

#include <memory>
#include <string>

#include "gypsumfall/contract/contract.h"
#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/entry/internal/request_service.h"
#include "gypsumfall/entry/internal/task_service.h"

namespace gypsumfall {

/// Answers the calls of customers: requests and tasks.
class CallerApi {
 public:
  explicit CallerApi(const EntryContext& context) : context_(context) {}

  /// Answers a call of a customer; checks its key.
  void Handle(HttpRequest request, Responder respond);
  /// Answers a call that a peer has authenticated and forwards; it is not
  /// forwarded again.
  void HandleForwarded(const ForwardedCall& call, Responder respond);

 private:
  /// One call and what is needed to answer it.
  struct Call {
    HttpMethod method = HttpMethod::kOther;
    std::string path;
    std::string query;
    std::string body;
    CustomerId customer;
    ContractPtr contract;
    bool from_peer = false;
    std::shared_ptr<Responder> respond;
  };
  /// What a submission says.
  struct Submission {
    std::string id;
    KindId kind;
    std::string payload;
    std::optional<Duration> deadline;
  };

  void Dispatch(const Call& call);
  void PostRequest(const Call& call);
  void RunAtMostOnce(const Call& call, const Submission& submission,
                     const KindRule& rule, Time deadline);
  void GetRequest(const Call& call, const RequestId& id);
  void AskPeersForRequest(const Call& call, const RequestId& id);
  void PostTask(const Call& call);
  void GetTask(const Call& call, const TaskId& id);
  void CancelTask(const Call& call, const TaskId& id);
  void ListTasks(const Call& call);

  /// @return the partition if it is owned here; otherwise forwards the call,
  ///     or refuses it, and returns null.
  TaskPartition* PartitionOrForward(const Call& call);
  void Forward(const Call& call, const EntryHostId& owner);
  Result<Submission> ParseSubmission(const std::string& body) const;
  void AnswerTask(const Call& call, int status,
                  const Result<TaskStatus>& task) const;
  void AnswerRequest(const Call& call, const std::string& id,
                     const CallerAnswer& answer) const;
  static void Fail(const Call& call, ErrorKind kind, std::string_view detail);

  EntryContext context_;
};

}  // namespace gypsumfall

#endif  // GYPSUMFALL_ENTRY_INTERNAL_CALLER_API_H_
