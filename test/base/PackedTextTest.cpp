// ctest-labels: unit
#include "peridotspool/base/PackedText.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace peridotspool {

TEST_CASE("WhatIsPackedComesBack")
{
  rc::prop("any text", [](const std::string& aText) {
    RC_ASSERT(UnpackText(PackText(aText)) == aText);
  });
  std::string routes;
  for (int i = 0; i < 2000; ++i) {
    routes += R"({"name":"r-)" + std::to_string(i) +
              R"(","host":"h.example","kind":"streaming","timeout_ms":12000},)";
  }
  CHECK(PackText(routes).size() * 5 < routes.size());
}

TEST_CASE("ATextThatIsNotPackedIsLeftAsItIs")
{
  CHECK(UnpackText("services: {}\n") == "services: {}\n");
  CHECK(UnpackText("") == "");
}

TEST_CASE("ADamagedPackIsNoText")
{
  const std::string packed = PackText(std::string(5000, 'x') + "end");
  CHECK_FALSE(UnpackText(packed.substr(0, packed.size() - 3)));
  CHECK_FALSE(UnpackText(packed.substr(0, 6)));
  std::string huge = packed;
  huge[7] = '\x7f';
  CHECK_FALSE(UnpackText(huge));
}

} // namespace peridotspool
