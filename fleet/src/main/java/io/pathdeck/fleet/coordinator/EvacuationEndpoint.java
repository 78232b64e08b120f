package io.pathdeck.fleet.coordinator;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.adapter.EvacuationStatus;
import io.pathdeck.fleet.adapter.EvacuationStatus.ServiceEngines;
import io.pathdeck.fleet.adapter.OperatorProtocol;
import io.pathdeck.fleet.adapter.OperatorRequest.SetEvacuated;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.fleet.member.GroupClient;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.command.EvacuatedZonesHeld;
import io.pathdeck.protocol.command.SetZoneEvacuated;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Serves operators who evacuate zones; any coordinator passes the orders to the leader. */
final class EvacuationEndpoint {
  private static final EventLog EVENTS = EventLog.of(EvacuationEndpoint.class);

  private final OperatorProtocol protocol;
  private final GroupClient coordinators;
  private final Supplier<FleetView> view;
  private final Topology topology;

  EvacuationEndpoint(
      OperatorProtocol protocol,
      GroupClient coordinators,
      Supplier<FleetView> view,
      Topology topology) {
    this.protocol = protocol;
    this.coordinators = coordinators;
    this.view = view;
    this.topology = topology;
  }

  /** Evacuates a zone, or takes its evacuation back; acknowledged once it is committed. */
  void set(HttpExchange exchange, SetEvacuated request) {
    FleetView currentView = view.get();
    if (!isKnown(request.zone(), topology, currentView)) {
      refuseUnknownZone(exchange, request.zone(), currentView);
      return;
    }
    long deadlineNs =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OperatorEndpoint.CALL_TIMEOUT_MS);
    propose(exchange, request, currentView.evacuatedZones().version(), deadlineNs);
  }

  /**
   * Whether a zone can be evacuated. A fleet whose settings name no zones has those of its engines,
   * and those that are evacuated already, whose engines may have left.
   */
  static boolean isKnown(String zone, Topology topology, FleetView view) {
    if (topology.hasZone(zone) || view.evacuatedZones().contains(zone)) {
      return true;
    }
    return topology.zones().isEmpty()
        && view.engines() != null
        && view.engines().values().stream().anyMatch(engine -> engine.zone().equals(zone));
  }

  /** Sends 404, or 503 while a fleet without named zones has no list of engines. */
  private void refuseUnknownZone(HttpExchange exchange, String zone, FleetView currentView) {
    boolean zonesUnknown = topology.zones().isEmpty() && currentView.engines() == null;
    if (zonesUnknown) {
      exchange.sendError(ApiError.failed(503, "starting", "no engine is known yet", true));
      return;
    }
    EVENTS.log(EventCode.EVACUATION_REFUSED, "zone", zone, "reason", "unknown zone");
    exchange.sendError(ApiError.notFound("no_such_zone", "no zone " + zone));
  }

  private void propose(
      HttpExchange exchange, SetEvacuated request, long basedOnVersion, long deadlineNs) {
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
    SetZoneEvacuated command =
        new SetZoneEvacuated(request.zone(), request.evacuated(), basedOnVersion);
    coordinators
        .call(
            new ProposeRequest(CoordinatorProcess.FLEET_GROUP, "", 0, command),
            Math.max(0, remainingMs),
            OperatorEndpoint.ATTEMPT_TIMEOUT_MS)
        .thenAccept(result -> onResult(exchange, request, result, deadlineNs));
  }

  private void onResult(
      HttpExchange exchange,
      SetEvacuated request,
      Result<Message, GroupCallError> result,
      long deadlineNs) {
    boolean isHeld =
        result.isOk()
            && result.value() instanceof ProposeReply reply
            && reply.result() instanceof EvacuatedZonesHeld;
    if (!isHeld) {
      OperatorEndpoint.sendUnavailable(exchange, result);
      return;
    }
    EvacuatedZones held =
        ((EvacuatedZonesHeld) ((ProposeReply) result.value()).result()).evacuatedZones();
    if (held.contains(request.zone()) == request.evacuated()) {
      logAccepted(request, held);
      exchange.sendJson(200, new byte[] {'{', '}'});
    } else if (!exchange.isEnded()) {
      // An operator who has left may have given another order since, elsewhere.
      propose(exchange, request, held.version(), deadlineNs);
    }
  }

  private static void logAccepted(SetEvacuated request, EvacuatedZones held) {
    EVENTS.log(
        EventCode.EVACUATION_ACCEPTED,
        "zone",
        request.zone(),
        "evacuated",
        request.evacuated(),
        "version",
        held.version());
  }

  /** Tells which zones are evacuated, as this coordinator knows them. */
  void read(HttpExchange exchange) {
    exchange.sendJson(200, protocol.writeEvacuations(status(view.get())));
  }

  static EvacuationStatus status(FleetView view) {
    EvacuatedZones zones = view.evacuatedZones();
    Map<String, ServiceEngines> services = new TreeMap<>();
    if (view.engines() != null) {
      for (EngineInstance engine : view.engines().values()) {
        boolean isEvacuated = zones.contains(engine.zone());
        int left = isEvacuated || engine.draining() ? 0 : 1;
        services.merge(
            engine.service(),
            new ServiceEngines(left, isEvacuated ? 1 : 0),
            (known, added) ->
                new ServiceEngines(
                    known.left() + added.left(), known.evacuated() + added.evacuated()));
      }
    }
    return new EvacuationStatus(zones.version(), zones.zones(), services);
  }
}
