#pragma once

#include "peridotspool/ledger/Operation.h"
#include "peridotspool/ledger/Origin.h"

#include <functional>

namespace peridotspool::ledger {

/** Takes the answer to an operation of this entry's own. */
using AnswerSink = std::function<void(CallId, const OperationAnswer&)>;

} // namespace peridotspool::ledger
