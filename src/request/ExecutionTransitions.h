#pragma once

// Slow to compile: include from one source file only.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30

#include "request/ExecutionState.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace peridotspool::request {

/** The events of a request at its executor. */
namespace transition_event {

/** An upstream is chosen, and the request is sent now. */
struct Dispatch
{};
/** An upstream is chosen; the intent to send must be committed before the
 * request is sent. */
struct Intend
{};
struct Piece
{};
struct Complete
{};
/** The attempt failed and is retried. */
struct Retry
{};
/** The attempt did not run; voiding its intent must be committed before a
 * retry. */
struct MustVoid
{};
/** The request ends with the outcome that the owner has set. */
struct GiveUp
{};
struct FinishCommitted
{};
/** Another executor has taken over. */
struct TurnLost
{};

} // namespace transition_event

/**
 * The legal transitions of an execution. An event without a row for the current
 * state is rejected and changes nothing.
 */
class ExecutionTransitions
  : public boost::msm::front::state_machine_def<ExecutionTransitions>
{
public:
  template<ExecutionState kState>
  struct In : boost::msm::front::state<>
  {
    template<typename Event, typename Machine>
    void on_entry(const Event& /*aEvent*/, Machine& aMachine)
    {
      aMachine.mState = kState;
    }
  };
  using Queued = In<ExecutionState::kQueued>;
  using Intending = In<ExecutionState::kIntending>;
  using Dispatched = In<ExecutionState::kDispatched>;
  using Streaming = In<ExecutionState::kStreaming>;
  using Voiding = In<ExecutionState::kVoiding>;
  using Finishing = In<ExecutionState::kFinishing>;
  using Ended = In<ExecutionState::kEnded>;

  // Boost.MSM requires these two names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  using initial_state = Queued;

  template<typename From, typename Event, typename To>
  using Row = boost::msm::front::Row<From, Event, To>;

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
    : boost::mpl::vector<
        Row<Queued, transition_event::Dispatch, Dispatched>,
        Row<Queued, transition_event::Intend, Intending>,
        Row<Queued, transition_event::GiveUp, Finishing>,
        Row<Intending, transition_event::Dispatch, Dispatched>,
        Row<Intending, transition_event::Retry, Queued>,
        Row<Intending, transition_event::MustVoid, Voiding>,
        Row<Intending, transition_event::GiveUp, Finishing>,
        Row<Dispatched, transition_event::Piece, Streaming>,
        Row<Dispatched, transition_event::Complete, Finishing>,
        Row<Dispatched, transition_event::Retry, Queued>,
        Row<Dispatched, transition_event::MustVoid, Voiding>,
        Row<Dispatched, transition_event::GiveUp, Finishing>,
        Row<Streaming, transition_event::Piece, Streaming>,
        Row<Streaming, transition_event::Complete, Finishing>,
        Row<Streaming, transition_event::Retry, Queued>,
        Row<Streaming, transition_event::GiveUp, Finishing>,
        Row<Voiding, transition_event::Retry, Queued>,
        Row<Voiding, transition_event::GiveUp, Finishing>,
        Row<Finishing, transition_event::FinishCommitted, Ended>,
        Row<Queued, transition_event::TurnLost, Ended>,
        Row<Intending, transition_event::TurnLost, Ended>,
        Row<Dispatched, transition_event::TurnLost, Ended>,
        Row<Streaming, transition_event::TurnLost, Ended>,
        Row<Voiding, transition_event::TurnLost, Ended>,
        Row<Finishing, transition_event::TurnLost, Ended>>
  {};

  template<typename Machine, typename Event>
  void no_transition(const Event& /*aEvent*/, Machine& aMachine, int /*aState*/)
  {
    aMachine.mRejected = true;
  }

  ExecutionState mState = ExecutionState::kQueued;
  bool mRejected = false;
};

using ExecutionMachine = boost::msm::back::state_machine<ExecutionTransitions>;

} // namespace peridotspool::request
