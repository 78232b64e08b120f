package io.pathdeck.testkit;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.control.ControllerProcess;
import io.pathdeck.control.ControllerSettings;
import io.pathdeck.dispatch.DispatcherProcess;
import io.pathdeck.dispatch.DispatcherSettings;
import io.pathdeck.protocol.client.ControllerConnections;
import io.pathdeck.protocol.command.ApplyDelta;
import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.DeclarationDelta;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.protocol.transport.TransportTls;
import io.pathdeck.serving.NodeProcess;
import io.pathdeck.serving.NodeSettings;
import io.pathdeck.testkit.engine.EmulatedEngine;
import io.pathdeck.testkit.engine.EngineProfile;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import javax.net.ssl.SSLException;

/** A small fleet in one process, on free ports: 3 controllers, 2 nodes, 1 dispatcher, 3 engines. */
final class InProcessFleet {
  static final String KEY = "stall-key";
  static final String MODEL = "souq-lm";

  private static final String KEY_HASH =
      "15afe9e8ed3f306a99521cf6736d12abbb26d5833ed6a802f26d8c7206384c56";
  private static final int CONTROLLERS = 3;
  private static final int NODES = 2;
  private static final int ENGINES = 3;
  private static final long READY_TIMEOUT_MS = 60_000;

  private final List<AutoCloseable> processes = new ArrayList<>();
  private final List<HostPort> nodes = new ArrayList<>();
  private final List<HostPort> nodeAdmins = new ArrayList<>();
  private final HttpClient http = HttpClient.newHttpClient();

  InProcessFleet(Path folder) throws Exception {
    List<HostPort> controllers = LoopbackPorts.take(CONTROLLERS);
    String addresses =
        controllers.stream().map(HostPort::toString).collect(Collectors.joining(", ", "[", "]"));
    for (int id = 1; id <= CONTROLLERS; id++) {
      startController(id, addresses, folder.resolve("controller-" + id));
    }
    EventLoopGroup eventLoops = EventLoops.create(2);
    processes.add(eventLoops::shutdownGracefully);
    List<EngineSpec> engines = new ArrayList<>();
    EngineProfile fast = new EngineProfile(2_000, 50, 10, 5, 512, 16, 64, 256, 50, 100, 5);
    for (HostPort address : LoopbackPorts.take(ENGINES)) {
      String name = "engine-" + (engines.size() + 1);
      processes.add(new EmulatedEngine(name, address, fast, true, null, eventLoops));
      engines.add(new EngineSpec(name, address.toString(), "tanta-hall", MODEL, 8, false));
    }
    for (int i = 1; i <= NODES; i++) {
      startNode(i, addresses);
    }
    startDispatcher(addresses);
    declare(controllers, eventLoops, engines);
    awaitReady();
  }

  private static SettingsReader settings(String yaml) {
    return SettingsReader.parse("test", yaml, Map.of()).value();
  }

  private void startController(int id, String controllers, Path folder) {
    List<HostPort> own = LoopbackPorts.take(2);
    String yaml =
        String.format(
            "{id: %d, zone: tanta-hall, peers: %s, operator_listen: %s, admin_listen: %s,"
                + " data_folder: '%s', partitions: 2}",
            id, controllers, own.get(0), own.get(1), folder);
    ControllerSettings settings = ControllerSettings.read(settings(yaml)).value();
    processes.add(ControllerProcess.start(settings, TransportTls.NONE).value());
  }

  private void startNode(int number, String controllers) throws SSLException {
    List<HostPort> own = LoopbackPorts.take(2);
    String yaml =
        String.format(
            "{id: node-%d, zone: tanta-hall, listen: %s, admin_listen: %s, controllers: %s,"
                + " max_body_bytes: 65536}",
            number, own.get(0), own.get(1), controllers);
    processes.add(NodeProcess.start(NodeSettings.read(settings(yaml)).value(), TransportTls.NONE));
    nodes.add(own.get(0));
    nodeAdmins.add(own.get(1));
  }

  private void startDispatcher(String controllers) throws SSLException {
    String yaml =
        String.format(
            "{id: dispatcher-1, zone: tanta-hall, admin_listen: %s, controllers: %s}",
            LoopbackPorts.take(1).get(0), controllers);
    processes.add(
        DispatcherProcess.start(
            DispatcherSettings.read(settings(yaml)).value(), TransportTls.NONE));
  }

  private static void declare(
      List<HostPort> controllers, EventLoopGroup eventLoops, List<EngineSpec> engines) {
    Declaration declaration =
        new Declaration(
            List.of(new TenantSpec("stalls", 1, List.of(KEY_HASH), 0, 0)),
            List.of(new ServiceSpec(MODEL, MODEL, 1)),
            engines);
    DeclarationDelta delta =
        new DeclarationDelta(declaration, new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    try (ControllerConnections connections =
        new ControllerConnections(controllers, eventLoops, TransportTls.NONE, "test")) {
      connections
          .client()
          .propose(ControllerProcess.META_GROUP, new ApplyDelta(0, delta), READY_TIMEOUT_MS)
          .join();
    }
  }

  private void awaitReady() throws Exception {
    long deadline = System.currentTimeMillis() + READY_TIMEOUT_MS;
    for (HostPort admin : nodeAdmins) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + admin + "/readyz")).build();
      while (http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() != 200) {
        if (System.currentTimeMillis() > deadline) {
          throw new IllegalStateException("the nodes did not become ready");
        }
        Thread.sleep(50);
      }
    }
    awaitModel(deadline);
  }

  private void awaitModel(long deadline) throws Exception {
    for (int node = 0; node < NODES; node++) {
      while (get(node, "/v1/models/" + MODEL).statusCode() != 200) {
        if (System.currentTimeMillis() > deadline) {
          throw new IllegalStateException("the declaration did not arrive");
        }
        Thread.sleep(50);
      }
    }
  }

  HostPort node(int index) {
    return nodes.get(index);
  }

  HttpRequest.Builder request(int node, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + nodes.get(node) + path))
        .header("Authorization", "Bearer " + KEY);
  }

  HttpResponse<String> get(int node, String path) throws Exception {
    return send(request(node, path).GET());
  }

  HttpResponse<String> postJson(int node, String path, String body) throws Exception {
    return send(
        request(node, path)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  void close() throws Exception {
    for (int i = processes.size() - 1; i >= 0; i--) {
      processes.get(i).close();
    }
  }
}
