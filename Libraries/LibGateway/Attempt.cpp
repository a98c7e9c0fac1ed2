#include "LibGateway/Attempt.h"

namespace primrose {

namespace {

/// Idle timeout of an endpoint that does not declare one.
constexpr duration kDefaultIdleTimeout = std::chrono::seconds(4);

/// A body up to this size reaches the endpoint in the same read as its head.
constexpr std::size_t kMaxSingleReadBody = std::size_t{ 16 } * 1024;
constexpr unsigned kFirstRedirect = 300;

} // namespace

attempt::attempt(event_loop& aLoop,
                 endpoint_connection_pool& aConnections,
                 const gateway_adapter& aAdapter,
                 attempt_owner& aOwner,
                 endpoint aEndpoint,
                 std::string aRequestId)
  : mLoop(aLoop)
  , mConnections(aConnections)
  , mAdapter(aAdapter)
  , mOwner(&aOwner)
  , mEndpoint(std::move(aEndpoint))
  , mRequestId(std::move(aRequestId))
  , mReader(http_role::Answer, http_limits{})
{
}

attempt::~attempt()
{
  Cancel();
}

void
attempt::Send(std::string aHead, const std::string& aBody, bool aNewConnection)
{
  mSentAt = mLoop.Now();
  mBodyBytes = aBody.size();
  mChannel = aNewConnection ? nullptr : mConnections.TakeIdle(mEndpoint.mId);
  mReusedConnection = mChannel != nullptr;
  if (!mReusedConnection) {
    mChannel = mConnections.Connect(mEndpoint.mAddress);
    mTimer = mLoop.After(kConnectTimeout, [this]() {
      mTimer = 0;
      End(attempt_end::NotConnected, "no_connection_in_time");
    });
  }
  mSent = mReusedConnection;
  if (mReusedConnection) {
    mConnectTime = duration::zero();
  }
  mChannel->SetOwner(this);
  aHead.append(aBody);
  mChannel->Write(aHead);
}

void
attempt::Cancel()
{
  mOwner = nullptr;
  mLoop.Cancel(mTimer);
  DropChannel();
}

void
attempt::DropChannel()
{
  if (mChannel != nullptr) {
    mChannel->Close();
    mLoop.DeleteLater(std::move(mChannel));
    mChannel = nullptr;
  }
}

void
attempt::PauseReading(bool aPaused)
{
  if (mChannel != nullptr && mChannel->Open()) {
    mChannel->PauseReading(aPaused);
  }
}

void
attempt::OnConnected(tcp_channel&)
{
  mSent = true;
  mConnectTime = mLoop.Now() - mSentAt;
  mLoop.Cancel(mTimer);
}

void
attempt::End(attempt_end aEnd, const std::string& aWhy)
{
  attempt_owner* const owner = mOwner;
  Cancel();
  if (owner != nullptr) {
    owner->OnAttemptEnd(*this, aEnd, aWhy);
  }
}

bool
attempt::AcceptHead()
{
  mHeadAccepted = true;
  mAnswerInfo = mAdapter.mReadAnswer(mReader.Head());
  if (mAnswerInfo.mRequestId != mRequestId && !mAnswerInfo.mWrongEndpoint) {
    // The late answer to another request.
    End(attempt_end::InvalidAnswer, "foreign_answer");
    return false;
  }
  if (mAnswerInfo.mWrongEndpoint || mAnswerInfo.mNotRun) {
    End(attempt_end::NotExecuted,
        mAnswerInfo.mWrongEndpoint ? "elsewhere" : "refused");
    return false;
  }
  if (!mAnswerInfo.mProven || mAnswerInfo.mContentEncoded) {
    End(attempt_end::InvalidAnswer,
        mAnswerInfo.mContentEncoded ? "encoded" : "unproven");
    return false;
  }
  mOwner->OnAnswerHead(*this);
  return mOwner != nullptr;
}

void
attempt::OnInput(tcp_channel& aChannel)
{
  const read_state state = mReader.Read(aChannel.Input());
  if (state == read_state::Head) {
    return;
  }
  if (state != read_state::Body && state != read_state::Complete) {
    End(attempt_end::InvalidAnswer, "malformed_answer");
    return;
  }
  if (!mHeadAccepted && !AcceptHead()) {
    return;
  }
  if (state == read_state::Complete) {
    Complete();
    return;
  }
  if (!mReader.Body().empty()) {
    mOwner->OnAnswerBody(*this);
  }
}

bool
attempt::AnsweredEarly() const
{
  // An endpoint that refuses a long request may answer before it has read the
  // whole body and read the rest later, or never. A request sent on the same
  // connection would wait behind the rest. How much the endpoint has read
  // cannot be observed, because the system buffers megabytes.
  const bool refused = mReader.Head().mStatus >= kFirstRedirect;
  return mChannel->Pending() > 0 ||
         (refused && mBodyBytes > kMaxSingleReadBody);
}

void
attempt::Complete()
{
  if (!mReader.Body().empty()) {
    mOwner->OnAnswerBody(*this);
  }
  if (mOwner == nullptr) {
    return;
  }
  if (!mOwner->IsBodyComplete(*this)) {
    End(attempt_end::Truncated, "truncated");
    return;
  }
  // Bytes after the answer belong to no request. A connection that has such
  // bytes is not reused, because the next request would receive them as its
  // answer.
  if (mChannel->Open() && mReader.Head().mKeepAlive &&
      mChannel->Input().empty() && !AnsweredEarly() &&
      mReader.Framing() != body_framing::Close) {
    mConnections.PutIdle(
      mEndpoint.mId,
      std::move(mChannel),
      mAnswerInfo.mIdleTimeout.value_or(kDefaultIdleTimeout));
    mChannel = nullptr;
  } else {
    DropChannel();
  }
  attempt_owner* const owner = mOwner;
  mOwner = nullptr;
  owner->OnAnswerEnd(*this);
}

void
attempt::OnEnd(tcp_channel&, channel_end aEnd)
{
  if (!mSent) {
    mConnectionRefused = true;
    End(attempt_end::NotConnected, "connection_refused");
    return;
  }
  if (aEnd == channel_end::Finished && mHeadAccepted &&
      mReader.Finish() == read_state::Complete) {
    Complete();
    return;
  }
  const bool noBytesReceived = !mReader.Started();
  End(mReusedConnection && noBytesReceived ? attempt_end::StaleConnection
                                           : attempt_end::ConnectionLost,
      aEnd == channel_end::Reset ? "reset" : "closed");
}

} // namespace primrose
