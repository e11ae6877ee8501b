// ctest-labels: unit promise-config
#include "peridotspool/settings/ProcessSettings.h"
#include "peridotspool/settings/SettingsTree.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::settings {

namespace {

std::string
ErrorsOf(const std::string& aText)
{
  SettingsErrors errors;
  const auto tree = SettingsTree::Parse(aText, "t.yaml", errors);
  CHECK((tree == nullptr) == !errors.empty());
  return ToText(errors);
}

const std::string kHash = "[" + std::string(64, 'a') + "]";

} // namespace

// Symptom: a mistyped setting is taken for an absent one, and its default is in
// force although the operator wrote something else.
// Sequence: an operator edits the tree with a typing error; the edit is taken.
// Cause: a reader that only looks up the keys that it knows.
TEST_CASE("WrongTreesAreRefusedWithPlaceAndExpectation")
{
  const auto [text, expected] = GENERATE(table<std::string, std::string>({
    { "limits: { rte: 5/s }",
      "t.yaml:1:11: limits: unknown key 'rte'; did you mean 'rate'?" },
    { "limits:\n  rate: 5\n", "t.yaml:2:9: limits.rate: expected a rate" },
    { "deadline: { default: 5 }",
      "t.yaml:1:22: deadline.default: expected a duration with a unit" },
    { "deadline: { default: 5 s }", "expected a duration with a unit" },
    { "limits: { concurrency: many }", "expected a whole number" },
    { "limits: { concurrency: 2.5 }", "expected a whole number" },
    { "limits: { concurrency: 0 }", "expected 1 to 1000000 (out of range)" },
    { "limits: { rate: nan/s }", "expected a rate" },
    { "weights: { cost: inf }", "expected a number" },
    { "deadline: { default: 99h }", "expected 10ms to 1h (out of range)" },
    { "limits: 5", "t.yaml:1:9: limits: expected a branch" },
    { "retention:", "retention: expected one value, found nothing" },
    { "retention: [1s]", "expected one value, found a list" },
    { "retention: 1s\nretention: 2s",
      "t.yaml:2:1: key 'retention' is written twice" },
    { "services:\n  a:\n    kind: modle\n",
      "t.yaml:3:11: services.a.kind: expected model or plain, found 'modle'; "
      "did you mean 'model'?" },
    { "services:\n  a: {}\n", "services.a: 'kind' is missing" },
    { "services:\n  A: { kind: plain }\n", "expected a name" },
    { "services:\n  a: { kind: plain, idempotent: 1 }",
      "expected true or false" },
    { "priority: nromal", "unknown priority 'nromal'; did you mean 'normal'?" },
    { "priorities: { high: 1 }", "priority: expected at the root" },
    { "deadline: { default: 5s, max: 1s }\nservices: { a: { kind: plain } }",
      "expected deadline.default at most deadline.max" },
    { "customers:\n  c:\n    key_hashes: [x]\n", "expected a SHA-256" },
    { "customers:\n  c:\n    key_hashes: " + kHash +
        "\n  d:\n    key_hashes: " + kHash,
      "t.yaml:5:17: customers.d.key_hashes: a hash that customer 'c' has" },
    { "services: { pay: { kind: plain } }\ncustomers:\n  c:\n    key_hashes: " +
        kHash + "\n    services: { pya: {} }",
      "unknown service 'pya'; did you mean 'pay'?" },
    { "a: &x 1", "an anchor; expected plain YAML" },
    { "a: !!binary aa", "expected plain YAML" },
    { "? [a]\n: 1", "expected a name as key" },
    { "weight: 1\n---\nweight: 2", "a second document" },
    { "weight: 'unclosed", "not YAML" },
    { "[1, 2]", "t.yaml:1:1: expected a branch" },
  }));
  INFO(text);
  CHECK_THAT(ErrorsOf(text), Catch::Contains(expected));
}

TEST_CASE("TreeThatIsTooLargeOrTooDeepIsRefused")
{
  CHECK_THAT(ErrorsOf(std::string((1 << 20) + 1, ' ')),
             Catch::Contains("expected at most 1048576"));
  std::string deep;
  for (int level = 0; level < 5000; ++level) {
    deep += "{ a: ";
  }
  deep += "1" + std::string(5000, '}');
  CHECK_THAT(ErrorsOf(deep),
             Catch::Contains("nested more than 10 levels deep"));
  CHECK_FALSE(ErrorsOf("a: " + std::string(100000, '[')).empty());
}

TEST_CASE("AtMostTwentyErrorsAreReported")
{
  std::string text;
  for (int at = 0; at < 50; ++at) {
    text += "wrong" + std::to_string(at) + ": 1\n";
  }
  SettingsErrors errors;
  CHECK(SettingsTree::Parse(text, "t.yaml", errors) == nullptr);
  CHECK(errors.size() == kMaxSettingsErrors);
}

TEST_CASE("EmptyTreeHoldsTheDefaults")
{
  CHECK(ErrorsOf("") == "");
  CHECK(ErrorsOf("# nothing\n") == "");
}

TEST_CASE("ProcessFilesAreCheckedToo")
{
  constexpr const char* kEntry = R"(name: e1
region: attica
failure_domain: marousi
listen: { peer: 127.0.0.1:7001, http: '[::1]:8001' }
control_replicas:
  1: { peer: 127.0.0.1:7101, http: 127.0.0.1:7201 }
peer_key_file: k
operators_file: o
)";
  const auto parse = [](const std::string& aText, ProcessRole aRole) {
    SettingsErrors errors;
    const auto settings = ParseProcessSettings(aText, "e.yaml", aRole, errors);
    CHECK(settings.has_value() == errors.empty());
    return ToText(errors);
  };
  CHECK(parse(kEntry, ProcessRole::kEntry) == "");
  CHECK_THAT(parse(kEntry, ProcessRole::kControl),
             Catch::Contains("'data_folder' is missing") &&
               Catch::Contains("'replica' is missing"));
  const auto with = [&](const std::string& aFrom, const std::string& aTo) {
    std::string text = kEntry;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return parse(text, ProcessRole::kEntry);
  };
  CHECK_THAT(with("127.0.0.1:7001", "localhost:7001"),
             Catch::Contains("e.yaml:4:17: listen.peer: expected an IP number "
                             "and port"));
  CHECK_THAT(with(":7001", ":70010"), Catch::Contains("IP number and port"));
  CHECK_THAT(with("\n  1: {", "\n  0: {"),
             Catch::Contains("expected a replica's number from 1"));
  CHECK_THAT(with("name: e1", "nmae: e1"),
             Catch::Contains("unknown key 'nmae'; did you mean 'name'?") &&
               Catch::Contains("'name' is missing"));
}

TEST_CASE("NoTextBreaksTheReader")
{
  rc::prop(
    "any bytes, and any damage to a good tree, give a tree or errors", [] {
      std::string text = "limits: { rate: 50/s }\nservices:\n  a:\n    "
                         "kind: model\n    placement: { avoid: [b] }\n";
      const auto noise = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab:{}[],&*!|>'\"%@`# \n\t-?\x01\xff")));
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text.insert(at, noise);
      SettingsErrors errors;
      const auto tree = SettingsTree::Parse(text, "t.yaml", errors);
      RC_ASSERT((tree == nullptr) == !errors.empty());
    });
}

} // namespace peridotspool::settings
