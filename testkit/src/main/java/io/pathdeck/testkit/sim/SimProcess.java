package io.pathdeck.testkit.sim;

import io.pathdeck.common.duty.Duty;
import io.pathdeck.protocol.client.RetryTimer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A simulated process: its duties, its clock and whether it lives, is frozen or is dead. */
abstract class SimProcess {
  private static final int MAX_STEPS_PER_EVENT = 64;

  final String name;
  final Simulation simulation;
  private final long clockOffsetNs;
  private final double clockRate;
  private final ArrayDeque<Runnable> heldWhileFrozen = new ArrayDeque<>();
  private List<Duty> duties = new ArrayList<>();
  private boolean alive;
  private boolean frozen;
  private int life;

  SimProcess(String name, Simulation simulation) {
    this.name = name;
    this.simulation = simulation;
    this.clockOffsetNs = simulation.random().nextLong(1_000_000_000_000L);
    this.clockRate = 0.995 + 0.01 * simulation.random().nextDouble();
  }

  /** Builds the duties of a new life; called with an empty memory. */
  abstract List<Duty> boot();

  /** Work between the steps of the duties, such as the storage. */
  void afterStep() {}

  /** The process has died; what it held in memory is lost. */
  void onDeath() {}

  /** The monotonic clock of this process, which drifts. */
  final long clockNs() {
    return clockOffsetNs + (long) (simulation.nowNs() * clockRate);
  }

  final boolean isAlive() {
    return alive;
  }

  final boolean isFrozen() {
    return frozen;
  }

  /** Identifies the current life; connections do not outlive it. */
  final int life() {
    return life;
  }

  final void start() {
    if (alive) {
      return;
    }
    alive = true;
    frozen = false;
    life++;
    simulation.trace(name + " start");
    duties = boot();
    step();
  }

  final void kill() {
    if (!alive) {
      return;
    }
    alive = false;
    frozen = false;
    heldWhileFrozen.clear();
    simulation.trace(name + " kill");
    onDeath();
  }

  final void freeze() {
    frozen = alive;
  }

  final void thaw() {
    if (!frozen) {
      return;
    }
    frozen = false;
    while (!heldWhileFrozen.isEmpty() && alive) {
      heldWhileFrozen.poll().run();
    }
    step();
  }

  /** Runs an action in this process's current life, later if the process is frozen. */
  final void deliver(Runnable action) {
    if (!alive) {
      return;
    }
    if (frozen) {
      heldWhileFrozen.add(action);
      return;
    }
    action.run();
    step();
  }

  /** Runs an action after a delay, unless the process has died in between. */
  final void later(long delayMs, Runnable action) {
    int scheduledIn = life;
    simulation.scheduleMs(
        delayMs,
        () -> {
          if (life == scheduledIn) {
            deliver(action);
          }
        });
  }

  /** Lets the duties work until nothing is left to do. */
  final void step() {
    for (int i = 0; i < MAX_STEPS_PER_EVENT && alive && !frozen; i++) {
      int work = 0;
      for (Duty duty : duties) {
        work += duty.doWork(clockNs());
      }
      afterStep();
      if (work == 0) {
        return;
      }
    }
  }

  /** The timer of clients in this process. */
  final RetryTimer timer() {
    return new RetryTimer() {
      @Override
      public long nowNs() {
        return clockNs();
      }

      @Override
      public void schedule(Runnable action, long delayMs) {
        later(delayMs, action);
      }
    };
  }
}
