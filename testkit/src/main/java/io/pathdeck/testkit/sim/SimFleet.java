package io.pathdeck.testkit.sim;

import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.client.ControllerClient;
import io.pathdeck.serving.api.ResponseWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** All processes of a simulated deployment and what connects them. */
final class SimFleet {
  static final int CONTROLLERS = 5;
  static final int PARTITIONS = 2;
  static final long CONFIGURATION_LEASE_MS = 2_500;
  static final String TENANT = "tenant-a";
  static final String SERVICE = "service-a";
  static final String MODEL = "model-a";

  private static final long CONTROLLER_TICK_MS = 10;
  private static final long TICK_MS = 20;
  private static final int REQUEST_ID_SHIFT = 20;

  private final Simulation simulation;
  private final SimNetwork network;
  private final Oracle oracle;
  private final Defect defect;
  private final FleetShape shape;
  private final Sabotage sabotage;
  private final List<SimController> controllers = new ArrayList<>();
  private final Map<String, SimEngine> engines = new TreeMap<>();
  private final List<SimNode> nodes = new ArrayList<>();
  private final List<SimDispatcher> dispatchers = new ArrayList<>();
  private final SimProcess callers;
  private final Map<String, ResponseWriter> writers = new HashMap<>();
  private int clientLives;

  SimFleet(Simulation simulation, Oracle oracle, Defect defect, FleetShape shape) {
    this.shape = shape;
    this.simulation = simulation;
    this.oracle = oracle;
    this.defect = defect;
    this.sabotage = new Sabotage(defect);
    this.network = new SimNetwork(simulation);
    this.callers = new SimCallers(simulation);
    for (int id = 1; id <= CONTROLLERS; id++) {
      controllers.add(new SimController(id, this));
    }
    for (int i = 1; i <= shape.engines(); i++) {
      engines.put("engine-" + i, new SimEngine("engine-" + i, this));
    }
    for (int i = 1; i <= shape.zones(); i++) {
      nodes.add(new SimNode("node-" + i, "zone-" + i, this));
    }
    for (int i = 1; i <= shape.dispatchers(); i++) {
      dispatchers.add(new SimDispatcher("dispatcher-" + i, this));
    }
  }

  /** Starts every process and its timer. */
  void start() {
    for (SimProcess process : processes()) {
      process.start();
      long tickMs = process instanceof SimController ? CONTROLLER_TICK_MS : TICK_MS;
      if (!(process instanceof SimEngine)) {
        simulation.every(tickMs, process::step);
      }
    }
  }

  List<SimProcess> processes() {
    List<SimProcess> all = new ArrayList<>(controllers);
    all.addAll(engines.values());
    all.addAll(nodes);
    all.addAll(dispatchers);
    all.add(callers);
    return all;
  }

  List<String> names() {
    return processes().stream().map(process -> process.name).toList();
  }

  FleetShape shape() {
    return shape;
  }

  Simulation simulation() {
    return simulation;
  }

  SimNetwork network() {
    return network;
  }

  Oracle oracle() {
    return oracle;
  }

  Sabotage sabotage() {
    return sabotage;
  }

  boolean hasDefect(Defect other) {
    return defect == other;
  }

  List<SimController> controllers() {
    return controllers;
  }

  SimController controller(int id) {
    return controllers.get(id - 1);
  }

  List<SimEngine> engines() {
    return List.copyOf(engines.values());
  }

  SimEngine engine(String name) {
    return engines.get(name);
  }

  List<SimNode> nodes() {
    return nodes;
  }

  List<SimDispatcher> dispatchers() {
    return dispatchers;
  }

  /** The process in which operators and batch callers run; it never fails. */
  SimProcess callers() {
    return callers;
  }

  /** The controller that leads a group, as far as it knows. */
  Optional<SimController> leaderOf(int group) {
    return controllers.stream().filter(controller -> controller.leads(group)).findFirst();
  }

  /** The production client of the controllers, in a process's current life. */
  ControllerClient controllerClient(SimProcess process) {
    List<SimEndpoint> endpoints = new ArrayList<>();
    for (SimController controller : controllers) {
      endpoints.add(new SimEndpoint(process, controller, network));
    }
    clientLives++;
    long firstRequestId = (simulation.nowMs() + clientLives) << REQUEST_ID_SHIFT;
    return new ControllerClient(endpoints, process.timer(), process.name, firstRequestId);
  }

  /** Where a node gets its configuration from. */
  ControlPlane configurationSource(SimNode node, ControllerClient client) {
    return defect == Defect.CONFIGURATION_FROM_STALE_REPLICA
        ? new StaleConfigurationSource(client)
        : client;
  }

  void registerWriter(String responseId, ResponseWriter writer) {
    writers.put(responseId, writer);
  }

  Optional<ResponseWriter> writerOf(String responseId) {
    return Optional.ofNullable(writers.get(responseId));
  }
}
