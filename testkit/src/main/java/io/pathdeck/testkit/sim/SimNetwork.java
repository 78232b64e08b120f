package io.pathdeck.testkit.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The network between processes: delays, silent cuts, and for one-way messages also loss,
 * duplication and reordering.
 */
final class SimNetwork {
  private record Route(String from, String to) {}

  private final Simulation simulation;
  private final Set<Route> cuts = new HashSet<>();
  private final Map<Route, Long> lastArrivalNs = new HashMap<>();
  private double lossRate;
  private double duplicationRate;
  private long extraDelayMs;
  private long deliveries;

  SimNetwork(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Sets the faults of one-way messages; delays also apply to streams, without reordering. */
  void setFaults(double loss, double duplication, long extraDelay) {
    lossRate = loss;
    duplicationRate = duplication;
    extraDelayMs = extraDelay;
  }

  /** Drops everything from one process to another, without any notice. */
  void cut(String from, String to) {
    cuts.add(new Route(from, to));
  }

  /** Cuts both directions between a process and all others. */
  void isolate(String name, Iterable<String> others) {
    for (String other : others) {
      if (!other.equals(name)) {
        cut(name, other);
        cut(other, name);
      }
    }
  }

  /** Drops what others send to a process, while its own messages arrive. */
  void cutInbound(String name, Iterable<String> others) {
    for (String other : others) {
      if (!other.equals(name)) {
        cut(other, name);
      }
    }
  }

  /** Ends all cuts and faults. */
  void heal() {
    cuts.clear();
    setFaults(0, 0, 0);
  }

  boolean isCut(String from, String to) {
    return cuts.contains(new Route(from, to));
  }

  long deliveries() {
    return deliveries;
  }

  private long delayNs() {
    long base = TimeUnit.MICROSECONDS.toNanos(simulation.between(300, 1_800));
    long extra = extraDelayMs == 0 ? 0 : simulation.between(0, extraDelayMs);
    return base + TimeUnit.MILLISECONDS.toNanos(extra);
  }

  /** Sends a message that may be lost, doubled or overtaken. */
  void sendOneWay(String from, SimProcess to, Runnable arrival) {
    if (isCut(from, to.name) || simulation.chance(lossRate)) {
      return;
    }
    int copies = simulation.chance(duplicationRate) ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      simulation.scheduleNs(delayNs(), () -> arrive(from, to, arrival));
    }
  }

  private void arrive(String from, SimProcess to, Runnable arrival) {
    if (!isCut(from, to.name)) {
      deliveries++;
      to.deliver(arrival);
    }
  }

  /** Sends a part of a connection's stream: kept in order, lost only by a cut. */
  void sendInOrder(String from, SimProcess to, int toLife, Runnable arrival) {
    Route route = new Route(from, to.name);
    long arrivalNs =
        Math.max(simulation.nowNs() + delayNs(), lastArrivalNs.getOrDefault(route, 0L));
    lastArrivalNs.put(route, arrivalNs);
    simulation.scheduleNs(
        arrivalNs - simulation.nowNs(),
        () -> {
          if (to.life() == toLife) {
            arrive(from, to, arrival);
          }
        });
  }
}
