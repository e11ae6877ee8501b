// ctest-labels: unit
#include "peridotspool/base/ContentId.h"

#include <catch2/catch.hpp>

#include <string>

namespace peridotspool {

namespace {

const RequestContent kContent{ .mCustomer = CustomerName("c"),
                               .mMethod = "POST",
                               .mHost = "h.example",
                               .mTarget = "/a/b?q=1",
                               .mBody = "text" };

} // namespace

TEST_CASE("CopiesOfARequestHaveOneContent")
{
  const std::string body = "text";
  RequestContent copy = kContent;
  copy.mBody = body;
  CHECK(ContentOf(copy) == ContentOf(kContent));
}

TEST_CASE("WhateverDiffersMakesAnotherContent")
{
  RequestContent other = kContent;
  SECTION("customer")
  {
    other.mCustomer = CustomerName("d");
  }
  SECTION("method")
  {
    other.mMethod = "GET";
  }
  SECTION("host")
  {
    other.mHost = "i.example";
  }
  SECTION("query")
  {
    other.mTarget = "/a/b?q=2";
  }
  SECTION("body")
  {
    other.mBody = "texts";
  }
  SECTION("where one part ends and the next begins")
  {
    other.mTarget = "/a/b?q=1t";
    other.mBody = "ext";
  }
  CHECK(ContentOf(other) != ContentOf(kContent));
}

TEST_CASE("ItsTextNamesAContent")
{
  const ContentId content = ContentOf(kContent);
  CHECK(ReadContentId(ToText(content)) == content);
  CHECK(ReadContentId("") == std::nullopt);
  CHECK(ReadContentId(ToText(content).substr(1)) == std::nullopt);
  CHECK(ReadContentId("x" + ToText(content).substr(1)) == std::nullopt);
}

} // namespace peridotspool
