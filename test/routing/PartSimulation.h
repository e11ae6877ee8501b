#pragma once

namespace peridotspool::routing {

struct PartSimulationOptions
{
  unsigned mSeed = 1;
  int mEntries = 9;
  int mUpstreams = 20;
  int mSimulatedMs = 60000;
  /** Mean time between sound requests, over all entries. */
  int mRequestIntervalMs = 20;
  /** Mean time between requests with a crashing part; 0: never. */
  int mDeadlyIntervalMs = 0;
  /** How many of these requests come at the same moment. */
  int mDeadlyAtOnce = 1;
  /** How many parts crash upstreams. */
  int mDeadlyParts = 1;
  /** Customers whose requests have a crashing part. */
  int mDeadlyCustomers = 1;
  /** Place of the crashing part in the prompt. */
  int mDeadlyPlace = 2;
  /** Further parts that only requests with a crashing part have. */
  int mCompanions = 0;
  /** Interval at which half of the upstreams crash within 100 ms; 0: never. */
  int mMassCrashIntervalMs = 0;
  /** Mean time until a single upstream crashes for other reasons; 0: never. */
  int mMeanCrashIntervalMs = 0;
  /** Mean time between restarts of single entries; 0: never. */
  int mEntryKillIntervalMs = 0;
  /** Mean time between changes of the leader; 0: never. */
  int mLeaderChangeIntervalMs = 0;
  /** Interval at which all processes are restarted; 0: never. */
  int mKillAllIntervalMs = 0;
};

struct PartSimulationResult
{
  int mCrashes = 0;
  /** Crashes by requests with the first of the crashing parts. */
  int mDeadlyCrashes = 0;
  /** Requests with it that reached upstreams, refused there or not, later than
   * 3 s after the fifth of these crashes, through entries in touch. */
  int mLateArrivals = 0;
  int mSound = 0;
  /** Sound requests refused, or without a permit in time. */
  int mSoundRefused = 0;
  int mSoundTimedOut = 0;
  /** The same, of those with the first part of deadly requests, sent later than
   * 6 s after the fifth crash, or the last if there are fewer. */
  int mShared = 0;
  int mSharedHeldBack = 0;
};

/**
 * Simulates entries, control leaders and upstreams that crash under requests
 * with certain parts of prompts, without a network. The same options give the
 * same result.
 */
PartSimulationResult
SimulateParts(const PartSimulationOptions& aOptions);

} // namespace peridotspool::routing
