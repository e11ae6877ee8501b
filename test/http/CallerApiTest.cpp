// ctest-labels: unit promise-config
#include "peridotspool/http/CallerApi.h"
#include "peridotspool/settings/KeyHash.h"

#include <catch2/catch.hpp>

#include <memory>

namespace peridotspool::http {

namespace {

std::shared_ptr<const settings::SettingsTree>
Tree()
{
  settings::SettingsErrors errors;
  auto tree = settings::SettingsTree::Parse(
    "services: { pay: { kind: plain } }\ncustomers:\n  c:\n    key_hashes: [" +
      settings::KeyHash("known") + "]\n",
    "test",
    errors);
  INFO(settings::ToText(errors));
  REQUIRE(tree != nullptr);
  return tree;
}

/** Returns the status of the refusal of a request; 0 if it is accepted. */
std::uint32_t
RefusalOf(const std::string& aKey, const std::string& aService, bool aFresh)
{
  const auto tree = Tree();
  const CallerApiContext context{ .mSettings = tree.get(),
                                  .mSettingsFresh = aFresh,
                                  .mFreshKey = "fresh" };
  const HttpRequest request{ .mMethod = "POST",
                             .mPath = "/v1/services/" + aService + "/requests",
                             .mQuery = {},
                             .mHeaders = { { "authorization",
                                             "Bearer " + aKey } },
                             .mBody = "{}" };
  const CallerCommand command = ReadCallerRequest(request, context);
  const auto* refused = std::get_if<RefusedCommand>(&command);
  return refused == nullptr ? 0 : refused->mResponse.mStatus;
}

} // namespace

TEST_CASE("FreshSettingsRefuseUnknownKeysAndServices")
{
  CHECK(RefusalOf("known", "pay", true) == 0);
  CHECK(RefusalOf("other", "pay", true) == 401);
  CHECK(RefusalOf("known", "other", true) == 404);
}

// Guards against final refusals of what an acknowledged change has added.
TEST_CASE("SettingsThatAreNotConfirmedRefuseNothingForGood")
{
  CHECK(RefusalOf("known", "pay", false) == 0);
  CHECK(RefusalOf("other", "pay", false) == 503);
  CHECK(RefusalOf("known", "other", false) == 503);
}

} // namespace peridotspool::http
