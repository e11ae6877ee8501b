#pragma once

#include "settings/SourceNode.h"

#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/eventhandler.h>

namespace peridotspool::settings {

/** Thrown inside ReadSource only, to leave yaml-cpp's parser at once. */
struct SourceRefused
{
  SourcePlace mPlace;
  std::string mMessage;
};

/** Builds SourceNodes from yaml-cpp's events. */
class SourceBuilder : public YAML::EventHandler
{
public:
  SourceBuilder(const std::string& aFile, SettingsErrors& aErrors);

  SourceNode TakeRoot() { return std::move(mRoot); }

  void OnDocumentStart(const YAML::Mark& aMark) override;
  void OnDocumentEnd() override;
  void OnNull(const YAML::Mark& aMark, YAML::anchor_t aAnchor) override;
  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t aAnchor) override;
  void OnScalar(const YAML::Mark& aMark,
                const std::string& aTag,
                YAML::anchor_t aAnchor,
                const std::string& aValue) override;
  void OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& aTag,
                       YAML::anchor_t aAnchor,
                       YAML::EmitterStyle::value aStyle) override;
  void OnSequenceEnd() override;
  void OnMapStart(const YAML::Mark& aMark,
                  const std::string& aTag,
                  YAML::anchor_t aAnchor,
                  YAML::EmitterStyle::value aStyle) override;
  void OnMapEnd() override;

private:
  /** A map or list that is still open. */
  struct OpenNode
  {
    SourceNode mNode;
    std::set<std::string> mKeys;
    bool mHasKey = false;
    bool mDoubled = false;
    std::string mKey;
    SourcePlace mKeyPlace;
  };

  void Add(SourceNode aNode);
  void AddToMap(OpenNode& aMap, SourceNode aNode);
  void Open(SourceNode aNode);
  void Close();

  const std::string& mFile;
  SettingsErrors& mErrors;
  std::vector<OpenNode> mOpen;
  SourceNode mRoot;
};

} // namespace peridotspool::settings
