#ifndef GYPSUMFALL_ENTRY_INTERNAL_CALLER_API_H_
#define GYPSUMFALL_ENTRY_INTERNAL_CALLER_API_H_

#include <memory>
#include <string>

#include "gypsumfall/contract/contract.h"
#include "gypsumfall/entry/internal/context.h"
#include "gypsumfall/entry/internal/request_service.h"
#include "gypsumfall/entry/internal/task_service.h"

namespace gypsumfall {

/// Serves the customer API: requests and tasks.
class CallerApi {
 public:
  explicit CallerApi(const EntryContext& context) : context_(context) {}

  /// Authenticates the customer by its key and answers the call.
  void Handle(HttpRequest request, Responder respond);
  /// Answers a call that a peer has authenticated and forwarded. It is not
  /// forwarded a second time.
  void HandleForwarded(const ForwardedCall& call, Responder respond);

 private:
  /// An authenticated call with the state needed to answer it.
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
  /// The parsed body of a submitted request or task.
  struct Submission {
    std::string id;
    KindId kind;
    std::string payload;
    std::optional<Duration> deadline;
  };

  void Dispatch(const Call& call);
  void PostRequest(const Call& call);
  void RunAtMostOnce(const Call& call, const Submission& submission,
                     const KindSpec& rule, Time deadline);
  void GetRequest(const Call& call, const RequestId& id);
  /// Looks the request up at all reachable peers; if none knows it, looks for a
  /// task with its id, as non-idempotent requests are stored as tasks.
  void LookUpRequestAtPeers(const Call& call, const RequestId& id);
  void PostTask(const Call& call);
  void GetTask(const Call& call, const TaskId& id);
  void CancelTask(const Call& call, const TaskId& id);
  void ListTasks(const Call& call);

  /// Forwards or refuses the call if the customer's task partition is not owned
  /// here.
  /// @return the partition if it is owned here, else null.
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
