#include "peridotspool/membership/UpstreamDirectory.h"

#include <algorithm>

namespace peridotspool::membership {

namespace {

constexpr Duration kForgetAfter = std::chrono::seconds(60);

} // namespace

std::vector<UpstreamName>
UpstreamDirectory::Take(const Address& aFrom,
                        const RegistryPush& aPush,
                        TimePoint aNow)
{
  Origin& origin = mOrigins[aFrom];
  if (origin.mLife != aPush.mLife) {
    if (aPush.mFrom != 0) {
      return {};
    }
    // A registry that restarted knows nothing yet: what its earlier life knew
    // stays known here until the upstreams have spoken to somebody.
    origin = Origin{ .mLife = aPush.mLife, .mVersion = 0, .mHears = {} };
  }
  if (aPush.mFrom > origin.mVersion || aPush.mTo <= origin.mVersion) {
    return {};
  }
  origin.mVersion = aPush.mTo;
  std::vector<UpstreamName> changed;
  for (const RegistryRow& row : aPush.mRows) {
    const UpstreamName& name = row.mReport.mName;
    NoteGoodbye(row, aNow);
    bool merged = false;
    if (TakeIncarnation(row.mReport)) {
      origin.mHears[name] = !row.mSilent;
      merged = Merge(row, aNow);
    }
    const bool ended = EndByGoodbye(name);
    if (MergeSilence(name, aNow) || merged || ended) {
      changed.push_back(name);
    }
  }
  return changed;
}

// Registries hear of a new incarnation one after the other. What those that
// still speak of an earlier one say is over; returns true iff the report
// counts.
bool
UpstreamDirectory::TakeIncarnation(const UpstreamReport& aNews)
{
  const auto found = mKnown.find(aNews.mName);
  if (found == mKnown.end()) {
    return true;
  }
  const Incarnation known = found->second.mReport.mIncarnation;
  if (aNews.mIncarnation <= known) {
    return aNews.mIncarnation == known;
  }
  mKnown.erase(found);
  mQuietSince.erase(aNews.mName);
  for (auto& [address, origin] : mOrigins) {
    origin.mHears.erase(aNews.mName);
  }
  return true;
}

void
UpstreamDirectory::NoteGoodbye(const RegistryRow& aRow, TimePoint aNow)
{
  if (aRow.mGoodbyeAgeMs) {
    const TimePoint saidAt =
      aNow - std::chrono::milliseconds(*aRow.mGoodbyeAgeMs);
    TimePoint& last = mGoodbyes[aRow.mReport.mName];
    last = std::max(last, saidAt);
  }
}

// The registry that took the goodbye may never have heard of the incarnation
// that said it, and may say the same again, to a subscriber that starts, after
// the next incarnation has begun. Only the order of the two moments tells.
bool
UpstreamDirectory::EndByGoodbye(const UpstreamName& aName)
{
  const auto goodbye = mGoodbyes.find(aName);
  if (goodbye == mGoodbyes.end()) {
    return false;
  }
  KnownUpstream& known = mKnown.at(aName);
  if (known.mReport.mStage == UpstreamStage::kGone ||
      known.mSince >= goodbye->second + kLateReportFor) {
    return false;
  }
  known.mReport.mStage = UpstreamStage::kGone;
  return true;
}

bool
UpstreamDirectory::Merge(const RegistryRow& aRow, TimePoint aNow)
{
  const UpstreamReport& news = aRow.mReport;
  const TimePoint since = aNow - std::chrono::milliseconds(aRow.mKnownForMs);
  const auto [place, added] = mKnown.try_emplace(news.mName);
  UpstreamReport& known = place->second.mReport;
  if (added) {
    known = news;
    place->second.mSince = since;
    return true;
  }
  place->second.mSince = std::min(place->second.mSince, since);
  const UpstreamReport before = known;
  // A goodbye that carries only the name must not erase the rest.
  if (news.mSequence >= known.mSequence && !news.mAddress.mHost.empty()) {
    known = news;
  }
  known.mStage = std::max(before.mStage, news.mStage);
  return known != before;
}

bool
UpstreamDirectory::MergeSilence(const UpstreamName& aName, TimePoint aNow)
{
  const bool heard =
    std::any_of(mOrigins.begin(), mOrigins.end(), [&](const auto& aPair) {
      const auto row = aPair.second.mHears.find(aName);
      return row != aPair.second.mHears.end() && row->second;
    });
  KnownUpstream& known = mKnown.at(aName);
  const bool changed = known.mSilent == heard;
  known.mSilent = !heard;
  if (known.mSilent || known.mReport.mStage == UpstreamStage::kGone) {
    mQuietSince.try_emplace(aName, aNow);
  } else {
    mQuietSince.erase(aName);
  }
  return changed;
}

RegistryPull
UpstreamDirectory::PullFor(const Address& aRegistry) const
{
  const auto origin = mOrigins.find(aRegistry);
  if (origin == mOrigins.end()) {
    return RegistryPull{};
  }
  return RegistryPull{ .mLife = origin->second.mLife,
                       .mVersion = origin->second.mVersion };
}

std::vector<UpstreamName>
UpstreamDirectory::Forget(TimePoint aNow)
{
  std::vector<UpstreamName> forgotten;
  for (const auto& [name, since] : mQuietSince) {
    if (aNow - since > kForgetAfter) {
      forgotten.push_back(name);
    }
  }
  std::erase_if(mGoodbyes, [&](const auto& aPair) {
    return aNow - aPair.second > kForgetAfter;
  });
  for (const UpstreamName& name : forgotten) {
    mQuietSince.erase(name);
    mKnown.erase(name);
    mGoodbyes.erase(name);
    for (auto& [address, origin] : mOrigins) {
      origin.mHears.erase(name);
    }
  }
  return forgotten;
}

const KnownUpstream*
UpstreamDirectory::Find(const UpstreamName& aName) const
{
  const auto found = mKnown.find(aName);
  return found == mKnown.end() ? nullptr : &found->second;
}

} // namespace peridotspool::membership
