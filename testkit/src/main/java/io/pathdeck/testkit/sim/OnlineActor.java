package io.pathdeck.testkit.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.testkit.engine.EmulatedText;
import java.util.Optional;

/**
 * The callers beside the nodes: a steady flow of online requests, some of which must not be
 * repeated. A caller whose node dies, or who gets no final answer, resends through another node.
 */
final class OnlineActor {
  private static final double NON_REPEATABLE_CHANCE = 0.4;
  private static final long PATIENCE_MS = 6_000;
  private static final int MAX_ARRIVALS = 4;

  private final SimFleet fleet;
  private final Simulation simulation;
  private final Oracle oracle;
  private final long intervalMs;
  private long nextId = 1;
  private boolean stopped;
  private int answered;

  /** What one caller wants, across its arrivals at nodes. */
  private record Want(ObjectNode body, Optional<String> claimKey) {}

  OnlineActor(SimFleet fleet, long intervalMs) {
    this.fleet = fleet;
    this.simulation = fleet.simulation();
    this.oracle = fleet.oracle();
    this.intervalMs = intervalMs;
  }

  void run() {
    if (stopped) {
      return;
    }
    newWant();
    simulation.scheduleMs(simulation.between(1, 2 * intervalMs), this::run);
  }

  void stop() {
    stopped = true;
  }

  int answered() {
    return answered;
  }

  /** Sends one request that may be repeated. */
  void sendOne() {
    Want want = new Want(SimPrompts.chat("last-" + nextId, 4), Optional.empty());
    arrive(want, 1);
  }

  private void newWant() {
    String identity = "want-" + nextId;
    ObjectNode body = SimPrompts.chat(identity, 3 + simulation.random().nextInt(12));
    boolean repeatable = !simulation.chance(NON_REPEATABLE_CHANCE);
    if (!repeatable) {
      oracle.registerUnrepeatable(EmulatedText.promptText(body));
    }
    Want want = new Want(body, repeatable ? Optional.empty() : Optional.of(identity));
    arrive(want, 1);
    if (!repeatable && simulation.chance(0.3)) {
      simulation.scheduleMs(simulation.between(0, 3_000), () -> arrive(want, MAX_ARRIVALS));
    }
  }

  private void arrive(Want want, int arrival) {
    SimNode node = fleet.nodes().get(simulation.random().nextInt(fleet.nodes().size()));
    long id = nextId++;
    SimRequest request =
        new SimRequest(
            id,
            want.body(),
            want.claimKey().orElse(null),
            oracle,
            end -> onEnd(want, arrival, end));
    if (!node.isAlive()) {
      again(want, arrival);
      return;
    }
    node.submit(request);
    watch(want, arrival, node, node.life(), request, simulation.nowMs());
  }

  private void onEnd(Want want, int arrival, SimRequest.End end) {
    if (end == SimRequest.End.ANSWERED) {
      answered++;
    } else {
      again(want, arrival);
    }
  }

  /** A caller notices the death of its node, and loses patience with a silent one. */
  private void watch(
      Want want, int arrival, SimNode node, int life, SimRequest request, long sinceMs) {
    simulation.scheduleMs(
        100,
        () -> {
          if (request.isEnded()) {
            return;
          }
          boolean gone = node.life() != life || !node.isAlive();
          if (gone || simulation.nowMs() - sinceMs > PATIENCE_MS) {
            again(want, arrival);
          } else {
            watch(want, arrival, node, life, request, sinceMs);
          }
        });
  }

  private void again(Want want, int arrival) {
    if (arrival < MAX_ARRIVALS) {
      simulation.scheduleMs(simulation.between(50, 500), () -> arrive(want, arrival + 1));
    }
  }
}
