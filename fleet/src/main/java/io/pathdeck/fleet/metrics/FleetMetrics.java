package io.pathdeck.fleet.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.control.ControllerStatus;
import io.pathdeck.control.ControllerStatus.GroupView;
import io.pathdeck.fleet.member.FleetFollower;
import io.pathdeck.fleet.member.PeerPool;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** The metrics that several roles of a fleet have. */
public final class FleetMetrics {
  private FleetMetrics() {}

  /** Publishes what a process knows of the fleet and how old that is. */
  public static void bindView(MeterRegistry registry, FleetFollower follower) {
    Gauge.builder("pathdeck.routes.version", follower, FleetMetrics::routesVersion)
        .register(registry);
    Gauge.builder("pathdeck.routes.confirmed", follower, held -> held.isConfirmed() ? 1 : 0)
        .register(registry);
    Gauge.builder("pathdeck.engines.known", follower, FleetMetrics::enginesKnown)
        .register(registry);
    Gauge.builder("pathdeck.processes.known", follower, held -> held.view().processes().size())
        .register(registry);
    Gauge.builder(
            "pathdeck.requests.quarantined",
            follower,
            held -> held.view().quarantine().requests().size())
        .register(registry);
  }

  private static double routesVersion(FleetFollower follower) {
    return follower.view().routes() == null ? Double.NaN : follower.view().routes().version();
  }

  private static double enginesKnown(FleetFollower follower) {
    return follower.view().engines() == null ? 0 : follower.view().engines().size();
  }

  /** Publishes the state of a process's replicated group. */
  public static void bindGroup(MeterRegistry registry, Supplier<ControllerStatus> status) {
    registerGroupGauge(
        registry,
        status,
        "pathdeck.group.leads",
        view -> view.role() == ReplicaRole.LEADER ? 1 : 0);
    registerGroupGauge(registry, status, "pathdeck.group.term", GroupView::term);
    registerGroupGauge(registry, status, "pathdeck.group.commit.index", GroupView::commitIndex);
    registerGroupGauge(registry, status, "pathdeck.group.applied.index", GroupView::appliedIndex);
    registerGroupGauge(registry, status, "pathdeck.group.members", view -> view.members().size());
    registerGroupGauge(
        registry,
        status,
        "pathdeck.group.entries.sent.bytes",
        view -> view.replication().entryBytesSent());
    registerGroupGauge(
        registry,
        status,
        "pathdeck.group.entries.sent.again.bytes",
        view -> view.replication().entryBytesResent());
  }

  /** Publishes how many messages to other processes were dropped. */
  public static void bindPeers(MeterRegistry registry, PeerPool pool) {
    FunctionCounter.builder("pathdeck.peer.messages.dropped", pool, PeerPool::droppedMessages)
        .register(registry);
  }

  private static void registerGroupGauge(
      MeterRegistry registry,
      Supplier<ControllerStatus> status,
      String name,
      ToDoubleFunction<GroupView> value) {
    Gauge.builder(name, status, held -> held.get().groups().stream().mapToDouble(value).sum())
        .register(registry);
  }
}
