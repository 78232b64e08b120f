package io.pathdeck.testkit.sim;

/** The kinds of faults that the simulation injects. */
enum Fault {
  KILL,
  KILL_ALL,
  DISK_LOSS,
  TWO_DISKS_LOST,
  LOSS_AFTER_REPAIR,
  CUT_LEADER,
  CUT_NODE,
  FREEZE,
  LOSSY_NETWORK,
  SLOW_DISK,
  DISK_ERROR,
  CLOCK_JUMP,
  ENGINE_FAULT,
  DRAIN_ENGINE,
  PLANNED_STOP
}
