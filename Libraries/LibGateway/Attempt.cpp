#include "LibGateway/Attempt.h"

namespace primrose {

namespace {

/// For an endpoint that names no timeout for idle connections.
constexpr duration kUsualIdleTimeout = std::chrono::seconds(4);

/// A body of this size comes with its head, in one reading of the endpoint's.
constexpr std::size_t kReadAtOnce = std::size_t{ 16 } * 1024;
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
attempt::Send(std::string aHead, const std::string& aBody, bool aFresh)
{
  mSentAt = mLoop.Now();
  mBodyBytes = aBody.size();
  mChannel = aFresh ? nullptr : mConnections.TakeIdle(mEndpoint.mId);
  mReusedConnection = mChannel != nullptr;
  if (!mReusedConnection) {
    mChannel = mConnections.Connect(mEndpoint.mAddress);
    mTimer = mLoop.After(kConnectTimeout, [this]() {
      mTimer = 0;
      End(attempt_end::NotConnected, "no_connection_in_time");
    });
  }
  mSent = mReusedConnection;
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
  mFacts = mAdapter.mReadAnswer(mReader.Head());
  if (mFacts.mRequestId != mRequestId && !mFacts.mWrongEndpoint) {
    // The answer to somebody else's request, which came late.
    End(attempt_end::Broken, "foreign_answer");
    return false;
  }
  if (mFacts.mWrongEndpoint || mFacts.mNotRun) {
    End(attempt_end::NotRun, mFacts.mWrongEndpoint ? "elsewhere" : "refused");
    return false;
  }
  if (!mFacts.mProven || mFacts.mContentEncoded) {
    End(attempt_end::Broken, mFacts.mContentEncoded ? "encoded" : "unproven");
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
    End(attempt_end::Broken, "malformed_answer");
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
  // An endpoint that refuses a long request may say so before it has read it
  // and read on later, or never: the next request would wait behind the rest.
  // How much it has read is not to be seen, since the system buffers megabytes.
  const bool refused = mReader.Head().mStatus >= kFirstRedirect;
  return mChannel->Pending() > 0 || (refused && mBodyBytes > kReadAtOnce);
}

void
attempt::Complete()
{
  // Bytes behind the answer belong to no request: such a connection is not
  // used again, or the next request would be given them.
  if (mChannel->Open() && mReader.Head().mKeepAlive &&
      mChannel->Input().empty() && !AnsweredEarly() &&
      !mReader.IsCloseDelimited()) {
    mConnections.Keep(mEndpoint.mId,
                      std::move(mChannel),
                      mFacts.mIdleTimeout.value_or(kUsualIdleTimeout));
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
      mReader.IsCloseDelimited() && mReader.Finish() == read_state::Complete) {
    Complete();
    return;
  }
  const bool nothingCame = !mReader.Started();
  End(mReusedConnection && nothingCame ? attempt_end::Stale
                                       : attempt_end::ConnectionLost,
      aEnd == channel_end::Reset ? "reset" : "closed");
}

} // namespace primrose
