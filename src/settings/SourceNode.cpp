#include "settings/SourceNode.h"

#include "settings/SourceBuilder.h"

#include <sstream>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace peridotspool::settings {

void
AddError(SettingsErrors& aErrors,
         const std::string& aFile,
         const SourcePlace& aPlace,
         std::string aMessage)
{
  if (aErrors.size() < kMaxSettingsErrors) {
    aErrors.push_back({ .mFile = aFile,
                        .mLine = aPlace.mLine,
                        .mColumn = aPlace.mColumn,
                        .mMessage = std::move(aMessage) });
  }
}

namespace {

std::optional<SourceNode>
ReadDocument(std::string_view aText,
             const std::string& aFile,
             SettingsErrors& aErrors)
{
  std::istringstream stream{ std::string(aText) };
  YAML::Parser parser(stream);
  SourceBuilder builder(aFile, aErrors);
  if (!parser.HandleNextDocument(builder)) {
    SourceNode empty;
    empty.mKind = SourceNode::Kind::kMap;
    return empty;
  }
  SourceNode root = builder.TakeRoot();
  SourceBuilder second(aFile, aErrors);
  if (parser.HandleNextDocument(second)) {
    AddError(aErrors,
             aFile,
             second.TakeRoot().mPlace,
             "a second document; expected one document in the file");
    return std::nullopt;
  }
  return root;
}

} // namespace

std::optional<SourceNode>
ReadSource(std::string_view aText,
           const std::string& aFile,
           SettingsErrors& aErrors)
{
  if (aText.size() > kMaxSettingsBytes) {
    AddError(aErrors,
             aFile,
             {},
             "text of " + std::to_string(aText.size()) +
               " bytes; expected at most " + std::to_string(kMaxSettingsBytes));
    return std::nullopt;
  }
  try {
    return ReadDocument(aText, aFile, aErrors);
  } catch (const SourceRefused& refused) {
    AddError(aErrors, aFile, refused.mPlace, refused.mMessage);
  } catch (const YAML::Exception& fault) {
    AddError(aErrors,
             aFile,
             { static_cast<std::size_t>(fault.mark.line + 1),
               static_cast<std::size_t>(fault.mark.column + 1) },
             "not YAML: " + fault.msg);
  }
  return std::nullopt;
}

} // namespace peridotspool::settings
