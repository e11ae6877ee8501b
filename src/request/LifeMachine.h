#pragma once

// Heavy: include from one source only.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30

#include "request/LifeState.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace peridotspool::request {

/** What can happen to a request at its executor. */
namespace life {

/** An upstream is chosen and the request may be sent now. */
struct Dispatch
{};
/** An upstream is chosen; the right to send once has to be committed first. */
struct Intend
{};
struct Piece
{};
struct Complete
{};
/** The attempt failed and another one will be made. */
struct Retry
{};
/** The attempt surely did not run; that has to be committed first. */
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

} // namespace life

/**
 * The legal steps of a request's life. An event that a state has no row for
 * changes nothing: it is late, and the owner counts it.
 */
class LifeDefinition
  : public boost::msm::front::state_machine_def<LifeDefinition>
{
public:
  template<LifeState kState>
  struct In : boost::msm::front::state<>
  {
    template<typename Event, typename Machine>
    void on_entry(const Event& /*aEvent*/, Machine& aMachine)
    {
      aMachine.mState = kState;
    }
  };
  using Queued = In<LifeState::kQueued>;
  using Intending = In<LifeState::kIntending>;
  using Dispatched = In<LifeState::kDispatched>;
  using Streaming = In<LifeState::kStreaming>;
  using Voiding = In<LifeState::kVoiding>;
  using Finishing = In<LifeState::kFinishing>;
  using Ended = In<LifeState::kEnded>;

  // The library asks for these two names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  using initial_state = Queued;

  template<typename From, typename Event, typename To>
  using Row = boost::msm::front::Row<From, Event, To>;

  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
    : boost::mpl::vector<Row<Queued, life::Dispatch, Dispatched>,
                         Row<Queued, life::Intend, Intending>,
                         Row<Queued, life::GiveUp, Finishing>,
                         Row<Intending, life::Dispatch, Dispatched>,
                         Row<Intending, life::Retry, Queued>,
                         Row<Intending, life::MustVoid, Voiding>,
                         Row<Intending, life::GiveUp, Finishing>,
                         Row<Dispatched, life::Piece, Streaming>,
                         Row<Dispatched, life::Complete, Finishing>,
                         Row<Dispatched, life::Retry, Queued>,
                         Row<Dispatched, life::MustVoid, Voiding>,
                         Row<Dispatched, life::GiveUp, Finishing>,
                         Row<Streaming, life::Piece, Streaming>,
                         Row<Streaming, life::Complete, Finishing>,
                         Row<Streaming, life::Retry, Queued>,
                         Row<Streaming, life::GiveUp, Finishing>,
                         Row<Voiding, life::Retry, Queued>,
                         Row<Voiding, life::GiveUp, Finishing>,
                         Row<Finishing, life::FinishCommitted, Ended>,
                         Row<Queued, life::TurnLost, Ended>,
                         Row<Intending, life::TurnLost, Ended>,
                         Row<Dispatched, life::TurnLost, Ended>,
                         Row<Streaming, life::TurnLost, Ended>,
                         Row<Voiding, life::TurnLost, Ended>,
                         Row<Finishing, life::TurnLost, Ended>>
  {};

  template<typename Machine, typename Event>
  void no_transition(const Event& /*aEvent*/, Machine& aMachine, int /*aState*/)
  {
    aMachine.mRefused = true;
  }

  LifeState mState = LifeState::kQueued;
  bool mRefused = false;
};

using LifeMachine = boost::msm::back::state_machine<LifeDefinition>;

} // namespace peridotspool::request
