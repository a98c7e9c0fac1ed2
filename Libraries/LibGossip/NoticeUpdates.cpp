#include "LibGossip/NoticeUpdates.h"

namespace primrose {

namespace {

void
ApplyLeavingNotice(gateway_state& aBoard,
                   const endpoint& aEndpoint,
                   const std::string& aRequest)
{
  endpoint_notice* const notice = FindNotice(aBoard.mEndpoints, aEndpoint);
  if (notice == nullptr || notice->mLeaving) {
    return;
  }
  notice->mLeaving = true;
  aBoard.mMetrics.Count("gateway_endpoint_leaving_notices_total");
  const auto listed = aBoard.mEndpoints.mEndpoints.find(aEndpoint.mId);
  const bool isListed = listed != aBoard.mEndpoints.mEndpoints.end();
  Log(log_level::Info,
      "endpoint_says_leaving",
      { { "endpoint", aEndpoint.mId },
        { "address", aEndpoint.mAddress.Text() },
        { "request", aRequest },
        { "listed", static_cast<int>(isListed) },
        { "listed_as_leaving",
          static_cast<int>(isListed && listed->second.mListed.mLeaving) } });
}

void
ApplyRequestedRest(gateway_state& aBoard,
                   const endpoint& aEndpoint,
                   const std::string& aRetryAfter,
                   const std::string& aRequest,
                   time_point aNow)
{
  const requested_rest rest = ReadRequestedRest(aRetryAfter);
  if (!rest.mIsValid) {
    Log(log_level::Warning,
        "retry_after_invalid",
        { { "endpoint", aEndpoint.mId },
          { "request", aRequest },
          { "value", aRetryAfter },
          { "applied_ms", Milliseconds(rest.mRest) } });
  }
  endpoint_notice* const notice = FindNotice(aBoard.mEndpoints, aEndpoint);
  if (notice == nullptr || rest.mRest <= duration::zero()) {
    return;
  }
  *notice = WithRest(*notice, rest.mRest, aNow);
  aBoard.mMetrics.Count("gateway_endpoint_rests_total");
  Log(log_level::Info,
      "endpoint_asks_rest",
      { { "endpoint", aEndpoint.mId },
        { "address", aEndpoint.mAddress.Text() },
        { "request", aRequest },
        { "for_ms", Milliseconds(rest.mRest) } });
}

} // namespace

void
ApplyNotice(gateway_state& aBoard,
            const endpoint& aEndpoint,
            const announced_notice& aNotice,
            const std::string& aRequest,
            time_point aNow)
{
  if (aNotice.mLeaving) {
    ApplyLeavingNotice(aBoard, aEndpoint, aRequest);
  }
  if (aNotice.mRetryAfter.has_value()) {
    ApplyRequestedRest(aBoard, aEndpoint, *aNotice.mRetryAfter, aRequest, aNow);
  }
}

} // namespace primrose
