package io.pathdeck.fleet.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Uses real exchanges on loopback that share one event loop. */
class TestLoadExchange {
  private static final long TIMEOUT_S = 10;

  private final EventLoopGroup group = EventLoops.create(1);
  private final EventLoop eventLoop = group.next();
  private final List<Node> nodes = new ArrayList<>();

  /** A gateway that takes part in the exchange. */
  private final class Node {
    final String name;
    final HostPort listen = new HostPort("127.0.0.1", freePort());
    final EngineTable engines = new EngineTable(250);
    final LoadMetrics metrics = new LoadMetrics();
    final LoadExchange exchange;

    Node(String name, boolean alwaysEnabled) {
      this.name = name;
      engines.update(Map.of("e", new EngineInstance("e", "s", "h:1", "z", 8, false, 5)));
      LoadExchange.Self self = new LoadExchange.Self(name, 1, "z", listen);
      exchange = new LoadExchange(eventLoop, self, engines, metrics, alwaysEnabled);
      nodes.add(this);
    }

    EngineState engine() {
      return engines.find("e");
    }

    FleetProcess describe(boolean ready) {
      String address = exchange.address();
      return new FleetProcess(
          name, FleetRole.GATEWAY, "z", 0, 1, address, "", ready, FleetProcess.NO_GROUP);
    }

    double load() {
      return callOnEventLoop(() -> engine().estimatedLoad(0));
    }
  }

  private static int freePort() {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private <T> T callOnEventLoop(Callable<T> step) {
    return eventLoop.submit(step).syncUninterruptibly().getNow();
  }

  private void runOnEventLoop(Runnable step) {
    eventLoop.submit(step).syncUninterruptibly();
  }

  private static void await(BooleanSupplier condition) {
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean() && System.nanoTime() < endNs) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  private void openAll() {
    nodes.forEach(node -> runOnEventLoop(node.exchange::openIfNeeded));
    nodes.forEach(node -> await(() -> !node.exchange.address().isEmpty()));
    Map<String, FleetProcess> processes = new HashMap<>();
    nodes.forEach(node -> processes.put(node.name, node.describe(true)));
    FleetView unknown = FleetView.EMPTY;
    FleetView view =
        new FleetView(
            unknown.routes(),
            unknown.engines(),
            processes,
            unknown.jobsFounders(),
            unknown.jobsGroups(),
            unknown.assignedGroup(),
            unknown.leavingMembers(),
            unknown.quarantine(),
            unknown.evacuatedZones());
    nodes.forEach(node -> runOnEventLoop(() -> node.exchange.onChange(view)));
  }

  @AfterEach
  void close() {
    nodes.forEach(node -> node.exchange.close());
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void countsOfPeersAreAddedAndExpire() {
    Node a = new Node("a", true);
    Node b = new Node("b", true);
    Node c = new Node("c", true);
    openAll();
    runOnEventLoop(() -> a.engine().onStart(0));
    runOnEventLoop(() -> b.engine().onStart(0));
    runOnEventLoop(() -> b.engine().onStart(0));
    await(() -> a.load() == 3 && b.load() == 3 && c.load() == 3);
    b.exchange.close();
    await(() -> a.load() == 1 && c.load() == 1);
    assertThat(b.load()).isGreaterThanOrEqualTo(2);
    runOnEventLoop(() -> a.engine().onEnd());
    await(() -> c.load() == 0);
  }

  @Test
  void malformedDatagramsAreDroppedAndCounted() throws IOException {
    Node a = new Node("a", true);
    openAll();
    try (DatagramSocket socket = new DatagramSocket()) {
      byte[] bytes = {1, 2, 3};
      socket.send(new DatagramPacket(bytes, bytes.length, a.listen.toSocketAddress()));
    }
    await(() -> a.metrics.dropped() == 1);
    assertThat(a.metrics.received()).isZero();
  }

  @Test
  void socketOpensWhenEngineReportsPace() {
    Node a = new Node("a", false);
    runOnEventLoop(a.exchange::openIfNeeded);
    runOnEventLoop(() -> a.engine().onLoadReport(new EngineLoadReport(1, 0, 8), 0));
    runOnEventLoop(a.exchange::openIfNeeded);
    runOnEventLoop(() -> {});
    assertThat(a.exchange.address()).isEmpty();
    runOnEventLoop(() -> a.engine().onLoadReport(new EngineLoadReport(1, 0, 8, 5, 100), 0));
    runOnEventLoop(a.exchange::openIfNeeded);
    await(() -> a.exchange.address().equals(a.listen.toString()));
  }

  @Test
  void portInUseDisablesExchange() throws IOException {
    Node a = new Node("a", true);
    try (DatagramSocket other = new DatagramSocket(a.listen.toSocketAddress())) {
      runOnEventLoop(a.exchange::openIfNeeded);
      runOnEventLoop(() -> {});
      assertThat(other.isBound()).isTrue();
      assertThat(a.exchange.address()).isEmpty();
    }
  }
}
