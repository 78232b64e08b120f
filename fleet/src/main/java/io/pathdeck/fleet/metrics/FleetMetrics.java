package io.pathdeck.fleet.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.control.ControllerStatus;
import io.pathdeck.control.ControllerStatus.GroupView;
import io.pathdeck.fleet.member.FleetFollower;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.topology.Topology;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** Metrics that several roles of a fleet share. */
public final class FleetMetrics {
  private FleetMetrics() {}

  /** Registers gauges of a process's view of the fleet. */
  public static void bindView(MeterRegistry registry, FleetFollower follower) {
    Gauge.builder("pathdeck.routes.version", follower, FleetMetrics::routesVersion)
        .register(registry);
    Gauge.builder("pathdeck.routes.confirmed", follower, source -> source.isConfirmed() ? 1 : 0)
        .register(registry);
    Gauge.builder("pathdeck.engines.known", follower, FleetMetrics::countKnownEngines)
        .register(registry);
    Gauge.builder("pathdeck.processes.known", follower, source -> source.view().processes().size())
        .register(registry);
    Gauge.builder(
            "pathdeck.requests.quarantined", follower, source -> countQuarantined(source, false))
        .register(registry);
    Gauge.builder(
            "pathdeck.prompt.parts.quarantined", follower, source -> countQuarantined(source, true))
        .register(registry);
  }

  private static double countQuarantined(FleetFollower follower, boolean promptParts) {
    return follower.view().quarantine().requests().stream()
        .filter(fingerprint -> fingerprint.isPromptPart() == promptParts)
        .count();
  }

  /** Registers gauges of the evacuated zones that a process acts on. */
  public static void bindEvacuations(
      MeterRegistry registry, Topology topology, FleetFollower follower) {
    for (String zone : topology.zones()) {
      Gauge.builder("pathdeck.zone.evacuated", follower, source -> isEvacuated(source, zone))
          .tag("zone", zone)
          .register(registry);
    }
    Gauge.builder("pathdeck.engines.evacuated", follower, FleetMetrics::countEvacuatedEngines)
        .register(registry);
  }

  private static double isEvacuated(FleetFollower follower, String zone) {
    return follower.view().evacuatedZones().contains(zone) ? 1 : 0;
  }

  private static double countEvacuatedEngines(FleetFollower follower) {
    FleetView view = follower.view();
    return view.engines() == null
        ? 0
        : view.engines().values().stream()
            .filter(engine -> view.evacuatedZones().contains(engine.zone()))
            .count();
  }

  private static double routesVersion(FleetFollower follower) {
    return follower.view().routes() == null ? Double.NaN : follower.view().routes().version();
  }

  private static double countKnownEngines(FleetFollower follower) {
    return follower.view().engines() == null ? 0 : follower.view().engines().size();
  }

  /** Registers gauges of a process's replicated groups. */
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
    registerGroupGauge(registry, status, "pathdeck.group.voters", FleetMetrics::countVoters);
    registerGroupGauge(registry, status, "pathdeck.group.voters.needed", GroupView::neededVoters);
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

  private static double countVoters(GroupView view) {
    return view.members().stream().filter(member -> member.member().voter()).count();
  }

  /** Registers a counter of dropped messages to other processes. */
  public static void bindPeers(MeterRegistry registry, PeerPool pool) {
    FunctionCounter.builder("pathdeck.peer.messages.dropped", pool, PeerPool::droppedMessages)
        .register(registry);
  }

  private static void registerGroupGauge(
      MeterRegistry registry,
      Supplier<ControllerStatus> status,
      String name,
      ToDoubleFunction<GroupView> value) {
    Gauge.builder(name, status, source -> source.get().groups().stream().mapToDouble(value).sum())
        .register(registry);
  }
}
