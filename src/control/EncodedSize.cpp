#include "control/EncodedSize.h"

#include "peridotspool/wire/FieldCodec.h"

namespace peridotspool::control {

std::size_t
EncodedSize(const LogEntry& aEntry)
{
  return wire::FieldsSize(aEntry);
}

std::size_t
EncodedSize(const RelayReplyPayload& aPayload)
{
  return wire::FieldsSize(aPayload);
}

std::size_t
EncodedSize(const PersistEffect& aWrite)
{
  return wire::FieldsSize(aWrite);
}

} // namespace peridotspool::control
