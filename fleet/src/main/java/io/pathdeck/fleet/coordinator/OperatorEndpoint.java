package io.pathdeck.fleet.coordinator;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.adapter.OperatorProtocol;
import io.pathdeck.fleet.adapter.OperatorRequest;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.fleet.member.GroupClient;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.PutRouteTable;
import io.pathdeck.protocol.command.RouteTableHeld;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.query.ReadRouteTable;
import io.pathdeck.protocol.query.RouteTableResult;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Serves operators on any coordinator, and forwards their commands to the leader. */
final class OperatorEndpoint {
  private static final EventLog EVENTS = EventLog.of(OperatorEndpoint.class);
  static final long CALL_TIMEOUT_MS = 1_500;
  static final long ATTEMPT_TIMEOUT_MS = 700;
  private static final String JSON = "application/json";

  private final OperatorProtocol protocol;
  private final GroupClient coordinators;
  private final Supplier<FleetView> view;
  private final int minGroupSize;
  private final EvacuationEndpoint evacuations;
  private final Topology topology;

  OperatorEndpoint(
      OperatorProtocol protocol,
      GroupClient coordinators,
      Supplier<FleetView> view,
      int minGroupSize,
      Topology topology) {
    this.topology = topology;
    this.protocol = protocol;
    this.coordinators = coordinators;
    this.view = view;
    this.minGroupSize = minGroupSize;
    this.evacuations = new EvacuationEndpoint(protocol, coordinators, view, topology);
  }

  void handle(HttpExchange exchange) {
    OperatorRequest request = protocol.read(exchange);
    if (request instanceof OperatorRequest.PutRoutes putRequest) {
      putRoutes(exchange, putRequest.table());
    } else if (request instanceof OperatorRequest.ReadRoutes) {
      readRoutes(exchange);
    } else if (request instanceof OperatorRequest.RetireStore retireRequest) {
      retireStore(exchange, retireRequest.name());
    } else if (request instanceof OperatorRequest.ReadRetirement readRequest) {
      readRetirement(exchange, readRequest.name());
    } else if (request instanceof OperatorRequest.SetEvacuated setRequest) {
      evacuations.set(exchange, setRequest);
    } else if (request instanceof OperatorRequest.ReadEvacuations) {
      evacuations.read(exchange);
    } else if (request instanceof OperatorRequest.Invalid invalid) {
      rejectInvalid(exchange, invalid.reason());
    } else {
      exchange.sendError(ApiError.notFound("not_found", "no such call"));
    }
  }

  private static void rejectInvalid(HttpExchange exchange, String reason) {
    EVENTS.log(EventCode.ROUTES_REFUSED, "reason", reason);
    exchange.sendError(ApiError.invalid("invalid", reason));
  }

  private void putRoutes(HttpExchange exchange, RouteTable table) {
    Optional<String> problem = RouteTableValidator.findProblem(table, topology);
    if (problem.isPresent()) {
      rejectInvalid(exchange, problem.get());
      return;
    }
    propose(
        new PutRouteTable(table),
        result -> {
          boolean accepted =
              result.isOk() && ((ProposeReply) result.value()).result() instanceof RouteTableHeld;
          if (accepted) {
            EVENTS.log(EventCode.ROUTES_ACCEPTED, "version", table.version());
            exchange.sendJson(200, new byte[] {'{', '}'});
          } else {
            sendUnavailable(exchange, result);
          }
        });
  }

  private void readRoutes(HttpExchange exchange) {
    coordinators
        .call(
            new QueryRequest(CoordinatorProcess.FLEET_GROUP, new ReadRouteTable()),
            CALL_TIMEOUT_MS,
            ATTEMPT_TIMEOUT_MS)
        .thenAccept(
            result -> {
              if (result.isOk()
                  && result.value() instanceof QueryReply reply
                  && reply.result() instanceof RouteTableResult routesResult) {
                sendRoutes(exchange, routesResult.table());
              } else {
                sendUnavailable(exchange, result);
              }
            });
  }

  private static void sendRoutes(HttpExchange exchange, RouteTable table) {
    if (table == null) {
      exchange.sendError(ApiError.unavailable("no_configuration", "none was sent yet", 1_000));
    } else {
      exchange.send(200, JSON, table.document());
    }
  }

  private void retireStore(HttpExchange exchange, String name) {
    FleetView currentView = view.get();
    Optional<FleetProcess> store = currentView.findStore(name);
    if (store.isEmpty()) {
      sendStoreMissing(exchange, currentView, name);
      return;
    }
    int memberId = store.get().memberId();
    long remaining = countRemaining(store.get(), currentView);
    boolean hasNoGroup = store.get().jobsGroup() == FleetProcess.NO_GROUP;
    boolean skipsSizeCheck = hasNoGroup || currentView.leavingMembers().contains(memberId);
    if (!skipsSizeCheck && remaining < minGroupSize) {
      exchange.sendError(
          ApiError.conflict(
              "too_few_stores", remaining + " stores would remain of " + minGroupSize, true));
      return;
    }
    propose(
        new SetStoreLeaving(name, memberId),
        result -> {
          if (result.isOk()) {
            EVENTS.log(EventCode.STORE_LEAVING, "store", name, "remaining", remaining);
            exchange.sendJson(200, protocol.writeRetirement(false));
          } else {
            sendUnavailable(exchange, result);
          }
        });
  }

  /** Counts the other stores that the group has or could get, except retiring ones. */
  private static long countRemaining(FleetProcess store, FleetView currentView) {
    return currentView.withRole(FleetRole.STORE).stream()
        .filter(other -> other.memberId() != store.memberId())
        .filter(
            other ->
                other.jobsGroup() == store.jobsGroup()
                    || other.jobsGroup() == FleetProcess.NO_GROUP)
        .filter(other -> !currentView.leavingMembers().contains(other.memberId()))
        .count();
  }

  /** Sends 404, or 503 while no process is known, since the store may still report. */
  private static void sendStoreMissing(HttpExchange exchange, FleetView currentView, String name) {
    if (currentView.processes().isEmpty()) {
      exchange.sendError(ApiError.failed(503, "starting", "no process is known yet", true));
    } else {
      exchange.sendError(ApiError.notFound("no_such_store", "no store " + name));
    }
  }

  private void readRetirement(HttpExchange exchange, String name) {
    FleetView currentView = view.get();
    Optional<FleetProcess> store = currentView.findStore(name);
    if (store.isEmpty()) {
      sendStoreMissing(exchange, currentView, name);
      return;
    }
    int memberId = store.get().memberId();
    boolean retired =
        currentView.leavingMembers().contains(memberId)
            && currentView.jobsGroups().size() == currentView.jobsFounders().size()
            && currentView.jobsGroups().stream()
                .allMatch(report -> report.configuration().find(memberId).isEmpty());
    exchange.sendJson(200, protocol.writeRetirement(retired));
  }

  private void propose(Command command, Consumer<Result<Message, GroupCallError>> handler) {
    coordinators
        .call(
            new ProposeRequest(CoordinatorProcess.FLEET_GROUP, "", 0, command),
            CALL_TIMEOUT_MS,
            ATTEMPT_TIMEOUT_MS)
        .thenAccept(handler);
  }

  static void sendUnavailable(HttpExchange exchange, Result<Message, GroupCallError> result) {
    String reason = result.isOk() ? "unexpected answer" : result.error().reason();
    exchange.sendError(ApiError.failed(503, "no_leader", reason, true));
  }
}
