#pragma once

#include "process/ChildProcess.h"
#include "soak/SoakNames.h"

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::soak {

/**
 * One machine with its processes, started and ended from outside. Used by one
 * thread.
 */
class SoakMachine
{
public:
  SoakMachine(const Places& aPlaces,
              int aNumber,
              std::filesystem::path aFolder);

  /** Adds lines to the settings files of both processes; before they are
   * written. */
  void AddSettings(const std::string& aLines) { mMoreSettings = aLines; }
  /** Writes the settings files anew; aFirstStart: the system is founded. */
  void WriteSettings(bool aFirstStart) const;
  void StartEntry();
  void StartControl();
  void StartAll();
  void KillEntry();
  void KillControl();
  void Signal(int aSignal) const;
  /**
   * Tells both that their settings have changed. Not right after a start:
   * before its main a program can do nothing about a signal, and this one ends
   * it.
   */
  void Reload() const;
  /** Asks both processes to stop; they may take their grace. */
  void AskToStop();
  /** Files may not grow while it is set. */
  void FillDisk(bool aFull) const;
  void LoseDisk() const;
  /** Leaves half a record at the end of the journal, as a loss of power does.
   */
  void TearTail() const;

  bool HasControl() const { return mNumber <= kControls; }
  int EntryLife() const { return mEntryLife; }
  /** Of processes that have been started. */
  pid_t EntryPid() const { return mEntry->Pid(); }
  pid_t ControlPid() const { return mControl->Pid(); }
  /** Processes that ended though nobody told them to; each is told once. */
  std::vector<std::string> OwnEnds();

private:
  std::string File(const std::string& aName) const;
  std::unique_ptr<test::ChildProcess> Start(const std::string& aRole);

  const Places mPlaces;
  const int mNumber;
  const std::filesystem::path mFolder;
  std::unique_ptr<test::ChildProcess> mEntry;
  std::unique_ptr<test::ChildProcess> mControl;
  std::string mMoreSettings;
  int mEntryLife = 0;
  Time mStartedAt;
  /** They were asked to stop, and so may end. */
  bool mEntryStops = false;
  bool mControlStops = false;
};

} // namespace peridotspool::soak
