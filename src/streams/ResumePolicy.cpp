#include "peridotspool/streams/ResumePolicy.h"

namespace peridotspool::streams {

ResumeVerdict
JudgeResume(const ResumeFacts& aFacts)
{
  if (!aFacts.mIsResumable) {
    return ResumeVerdict::kNotResumable;
  }
  if (!aFacts.mIsNamed && aFacts.mKnowledge == OriginKnowledge::kUnknown) {
    return ResumeVerdict::kNotNamed;
  }
  switch (aFacts.mKnowledge) {
    case OriginKnowledge::kUnknown:
      return ResumeVerdict::kUnknown;
    case OriginKnowledge::kAmbiguous:
      return ResumeVerdict::kAmbiguous;
    case OriginKnowledge::kUndetermined:
      return ResumeVerdict::kUndetermined;
    case OriginKnowledge::kKnown:
      break;
  }
  if (!aFacts.mRouteHasService) {
    return ResumeVerdict::kRouteMoved;
  }
  return aFacts.mIsUpgraded ? ResumeVerdict::kUpstreamUpgraded
                            : ResumeVerdict::kResume;
}

const char*
ReasonOf(ResumeVerdict aVerdict)
{
  switch (aVerdict) {
    case ResumeVerdict::kResume:
      return "the stream is resumed";
    case ResumeVerdict::kNotResumable:
      return "streams of this route can't be resumed";
    case ResumeVerdict::kNotNamed:
      return "the request doesn't name the stream to resume";
    case ResumeVerdict::kUnknown:
      return "no such stream is known";
    case ResumeVerdict::kAmbiguous:
      return "several streams have this name";
    case ResumeVerdict::kUndetermined:
      return "the stream's version can't be determined now";
    case ResumeVerdict::kRouteMoved:
      return "the route no longer leads to the stream's service";
    case ResumeVerdict::kUpstreamUpgraded:
      return "the stream's version is uncertain";
  }
  return "";
}

bool
MayRetryResume(ResumeVerdict aVerdict)
{
  return aVerdict == ResumeVerdict::kUndetermined;
}

} // namespace peridotspool::streams
