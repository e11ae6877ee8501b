#pragma once

#include "peridotspool/ledger/Operation.h"
#include "peridotspool/ledger/Origin.h"

#include <functional>

namespace peridotspool::ledger {

/** Receives the answer to an operation that this entry proposed. */
using AnswerSink = std::function<void(CallId, const OperationAnswer&)>;

} // namespace peridotspool::ledger
