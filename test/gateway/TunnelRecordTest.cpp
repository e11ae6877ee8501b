// ctest-labels: unit
#include "peridotspool/gateway/TunnelRecord.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

namespace peridotspool::gateway {

TEST_CASE("TunnelRecordsCarryBytesUnchangedForAnySplit")
{
  rc::prop("splits", [] {
    std::string records;
    std::string expected;
    const int count = *rc::gen::inRange(1, 10);
    for (int i = 0; i < count; ++i) {
      const auto data = *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
      expected += data;
      records += WriteTunnelRecord(TunnelRecordType::kData, data);
      records += WriteTunnelRecord(TunnelRecordType::kKeepAlive);
    }
    records += WriteTunnelRecord(TunnelRecordType::kClosed);
    TunnelRecordReader reader;
    std::string data;
    for (std::size_t place = 0; place < records.size();) {
      RC_ASSERT(!reader.End());
      const auto length = *rc::gen::inRange<std::size_t>(1, 40);
      RC_ASSERT(reader.Read(records.substr(place, length), data));
      place += length;
    }
    RC_ASSERT(data == expected);
    RC_ASSERT(reader.End() == TunnelRecordType::kClosed);
  });
}

TEST_CASE("ARetiredTunnelCarriesBytesUntilItsEnd")
{
  TunnelRecordReader reader;
  std::string data;
  CHECK(reader.Read(WriteTunnelRecord(TunnelRecordType::kData, "an"), data));
  CHECK_FALSE(reader.IsRetired());
  CHECK(reader.Read(WriteTunnelRecord(TunnelRecordType::kRetired), data));
  CHECK(reader.IsRetired());
  CHECK(reader.Read(WriteTunnelRecord(TunnelRecordType::kData, "swer"), data));
  CHECK(data == "answer");
  CHECK_FALSE(reader.End());
}

// Guards against a tunnel that ends with its connection and looks like one
// whose upstream has closed.
TEST_CASE("ATunnelHasNoEndBeforeTheWholeLastRecord")
{
  const std::string records =
    WriteTunnelRecord(TunnelRecordType::kData, "answer") +
    WriteTunnelRecord(TunnelRecordType::kReset);
  for (std::size_t bytes = 0; bytes < records.size(); ++bytes) {
    TunnelRecordReader reader;
    std::string data;
    CHECK(reader.Read(records.substr(0, bytes), data));
    CHECK_FALSE(reader.End());
  }
}

TEST_CASE("BytesThatAreNoRecordsAreRejected")
{
  const std::string closed = WriteTunnelRecord(TunnelRecordType::kClosed);
  for (const std::string& bytes : { std::string("HTTP/1.1 200 OK\r\n"),
                                    std::string("\x01\xff\xff", 3),
                                    std::string("\x01\x00\x00", 3),
                                    std::string("\x02\x00\x01x", 4),
                                    std::string("\x00\x00\x00", 3),
                                    closed + "x" }) {
    TunnelRecordReader reader;
    std::string data;
    INFO("expected a rejection of " << bytes.size() << " bytes");
    CHECK_FALSE(reader.Read(bytes, data));
  }
}

} // namespace peridotspool::gateway
