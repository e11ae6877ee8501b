#include "settings/SourceBuilder.h"

#include <utility>
#include <yaml-cpp/mark.h>

namespace peridotspool::settings {

namespace {

SourcePlace
PlaceOf(const YAML::Mark& aMark)
{
  return { static_cast<std::size_t>(aMark.line + 1),
           static_cast<std::size_t>(aMark.column + 1) };
}

/**
 * Anchors let a short text stand for a huge tree, and tags name types that we
 * do not have; both would also hide from a reader where a value comes from.
 */
void
RefuseAnchorAndTag(const YAML::Mark& aMark,
                   const std::string& aTag,
                   YAML::anchor_t aAnchor)
{
  if (aAnchor != YAML::NullAnchor) {
    throw SourceRefused{ PlaceOf(aMark), "an anchor; expected plain YAML" };
  }
  if (!aTag.empty() && aTag != "?" && aTag != "!") {
    throw SourceRefused{ PlaceOf(aMark),
                         "tag '" + aTag + "'; expected plain YAML" };
  }
}

SourceNode
NodeAt(SourceNode::Kind aKind, const YAML::Mark& aMark)
{
  SourceNode node;
  node.mKind = aKind;
  node.mPlace = PlaceOf(aMark);
  return node;
}

/** Returns an empty list or map. */
SourceNode
ContainerAt(SourceNode::Kind aKind,
            const YAML::Mark& aMark,
            YAML::EmitterStyle::value aStyle)
{
  SourceNode node = NodeAt(aKind, aMark);
  node.mFlow = aStyle == YAML::EmitterStyle::Flow;
  return node;
}

} // namespace

SourceBuilder::SourceBuilder(const std::string& aFile, SettingsErrors& aErrors)
  : mFile(aFile)
  , mErrors(aErrors)
{
}

void
SourceBuilder::OnDocumentStart(const YAML::Mark& aMark)
{
  mRoot.mPlace = PlaceOf(aMark);
}

void
SourceBuilder::OnDocumentEnd()
{
}

void
SourceBuilder::OnNull(const YAML::Mark& aMark, YAML::anchor_t aAnchor)
{
  RefuseAnchorAndTag(aMark, "", aAnchor);
  Add(NodeAt(SourceNode::Kind::kNull, aMark));
}

void
SourceBuilder::OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/)
{
  throw SourceRefused{ PlaceOf(aMark), "an alias; expected plain YAML" };
}

void
SourceBuilder::OnScalar(const YAML::Mark& aMark,
                        const std::string& aTag,
                        YAML::anchor_t aAnchor,
                        const std::string& aValue)
{
  RefuseAnchorAndTag(aMark, aTag, aAnchor);
  SourceNode scalar = NodeAt(SourceNode::Kind::kScalar, aMark);
  scalar.mText = aValue;
  scalar.mQuoted = aTag == "!";
  Add(std::move(scalar));
}

void
SourceBuilder::OnSequenceStart(const YAML::Mark& aMark,
                               const std::string& aTag,
                               YAML::anchor_t aAnchor,
                               YAML::EmitterStyle::value aStyle)
{
  RefuseAnchorAndTag(aMark, aTag, aAnchor);
  Open(ContainerAt(SourceNode::Kind::kList, aMark, aStyle));
}

void
SourceBuilder::OnSequenceEnd()
{
  Close();
}

void
SourceBuilder::OnMapStart(const YAML::Mark& aMark,
                          const std::string& aTag,
                          YAML::anchor_t aAnchor,
                          YAML::EmitterStyle::value aStyle)
{
  RefuseAnchorAndTag(aMark, aTag, aAnchor);
  Open(ContainerAt(SourceNode::Kind::kMap, aMark, aStyle));
}

void
SourceBuilder::OnMapEnd()
{
  Close();
}

void
SourceBuilder::Open(SourceNode aNode)
{
  // Without this bound a few kilobytes of '[[[[' would exhaust the stack of
  // the recursive parser; the process would die on an operator's typing error.
  if (mOpen.size() >= kMaxSettingsDepth) {
    throw SourceRefused{ aNode.mPlace,
                         "nested more than " +
                           std::to_string(kMaxSettingsDepth) + " levels deep" };
  }
  if (!mOpen.empty() && mOpen.back().mNode.mKind == SourceNode::Kind::kMap &&
      !mOpen.back().mHasKey) {
    throw SourceRefused{ aNode.mPlace, "expected a name as key" };
  }
  OpenNode open;
  open.mNode = std::move(aNode);
  mOpen.push_back(std::move(open));
}

void
SourceBuilder::Close()
{
  SourceNode node = std::move(mOpen.back().mNode);
  mOpen.pop_back();
  Add(std::move(node));
}

void
SourceBuilder::Add(SourceNode aNode)
{
  if (mOpen.empty()) {
    mRoot = std::move(aNode);
    return;
  }
  OpenNode& parent = mOpen.back();
  if (parent.mNode.mKind == SourceNode::Kind::kList) {
    parent.mNode.mItems.push_back(std::move(aNode));
  } else {
    AddToMap(parent, std::move(aNode));
  }
}

void
SourceBuilder::AddToMap(OpenNode& aMap, SourceNode aNode)
{
  if (!aMap.mHasKey) {
    if (aNode.mKind != SourceNode::Kind::kScalar) {
      throw SourceRefused{ aNode.mPlace, "expected a name as key" };
    }
    aMap.mHasKey = true;
    aMap.mKey = aNode.mText;
    aMap.mKeyPlace = aNode.mPlace;
    aMap.mDoubled = !aMap.mKeys.insert(aNode.mText).second;
    if (aMap.mDoubled) {
      AddError(mErrors,
               mFile,
               aNode.mPlace,
               "key '" + aNode.mText + "' is written twice in this branch");
    }
    return;
  }
  aMap.mHasKey = false;
  if (!aMap.mDoubled) {
    aMap.mNode.mEntries.push_back({ .mKey = aMap.mKey,
                                    .mPlace = aMap.mKeyPlace,
                                    .mValue = std::move(aNode) });
  }
}

} // namespace peridotspool::settings
