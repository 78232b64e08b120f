package io.pathdeck.fleet.load;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.Prompt;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/** Simulates gateways that choose engines in load peaks, in time steps and without a network. */
final class LoadSimulation {
  private static final int ENGINES = 20;
  private static final int SLOTS = 8;
  private static final long REPORT_HALF_LIFE_MS = 250;
  private static final long DURATION_MS = 24_000;
  private static final long CRASH_MS = 10_400;
  private static final long PEAK_PERIOD_MS = 3_000;
  private static final long PEAK_DURATION_MS = 1_500;
  private static final double PEAK_REQUESTS_PER_MS = 0.205;
  private static final double OFF_PEAK_REQUESTS_PER_MS = 0.06;
  private static final long MIN_SERVICE_TIME_MS = 300;
  private static final long MAX_SERVICE_TIME_MS = 1_100;
  private static final long NETWORK_MS = 1;

  /**
   * Parameters of a simulation.
   *
   * @param gateways the number of gateways
   * @param shareLoad whether gateways exchange in-flight call counts
   * @param lossRate the share of datagrams that are lost
   * @param oneCrashes whether a gateway crashes during a peak
   * @param seed the seed of the random numbers
   */
  record Conditions(
      int gateways, boolean shareLoad, double lossRate, boolean oneCrashes, long seed) {}

  /**
   * Results: the requests in peaks, how many of them found all slots of their engine taken, and the
   * datagrams received per gateway and second.
   */
  record Outcome(int requests, int foundFull, double receivedPerS) {
    double foundFullShare() {
      return (double) foundFull / requests;
    }
  }

  private record Event(long atMs, Runnable action) {}

  private static final class Engine {
    final EngineInstance instance;
    final Deque<Runnable> waiting = new ArrayDeque<>();
    int running;

    Engine(int number) {
      instance = new EngineInstance("e" + number, "s", "h:" + number, "z", SLOTS, false);
    }

    void arrive(Runnable begin) {
      if (running < SLOTS) {
        running++;
        begin.run();
      } else {
        waiting.add(begin);
      }
    }

    void leave() {
      if (waiting.isEmpty()) {
        running--;
      } else {
        waiting.remove().run();
      }
    }

    EngineLoadReport report() {
      return new EngineLoadReport(running, waiting.size(), SLOTS);
    }
  }

  private final class Gateway {
    final long id;
    final EngineTable table = new EngineTable(REPORT_HALF_LIFE_MS);
    final EngineLoadBalancer loadBalancer;
    final PeerLoads peerLoads = new PeerLoads();
    final SendSchedule schedule = new SendSchedule();
    long sequence;
    boolean crashed;

    Gateway(int number) {
      id = number;
      loadBalancer = new EngineLoadBalancer("z", random.nextLong());
      Map<String, EngineInstance> listed = new HashMap<>();
      engines.values().forEach(engine -> listed.put(engine.instance.id(), engine.instance));
      table.update(listed);
    }

    void request(boolean duringPeak) {
      List<EngineState> usable = table.usable("s", RequestConstraints.NONE, nowMs);
      EngineState chosen =
          loadBalancer.choose(usable, Prompt.UNKNOWN, nowMs).orElseThrow().engine();
      chosen.onStart(nowMs);
      if (conditions.shareLoad()) {
        Map<Long, Integer> calls = InFlightCalls.of(table);
        broadcast(schedule.onCallStart(calls, peerLoads.activePeers(nowMs).size(), nowMs), calls);
      }
      long sentMs = nowMs;
      Engine engine = engines.get(chosen.instance().id());
      schedule(NETWORK_MS, () -> arrive(engine, chosen, sentMs, duringPeak));
    }

    private void arrive(Engine engine, EngineState chosen, long sentMs, boolean duringPeak) {
      requests += duringPeak ? 1 : 0;
      foundFull += duringPeak && engine.running == SLOTS ? 1 : 0;
      engine.arrive(() -> begin(engine, chosen, sentMs));
    }

    private void begin(Engine engine, EngineState chosen, long sentMs) {
      EngineLoadReport report = engine.report();
      schedule(
          NETWORK_MS,
          () -> {
            chosen.onFirstBytes(nowMs - sentMs, nowMs);
            chosen.onLoadReport(report, nowMs);
          });
      long serviceTimeMs = random.nextLong(MIN_SERVICE_TIME_MS, MAX_SERVICE_TIME_MS);
      schedule(serviceTimeMs, engine::leave);
      schedule(serviceTimeMs + NETWORK_MS, chosen::onEnd);
    }

    void tick() {
      if (crashed) {
        return;
      }
      peerLoads.expire(nowMs);
      InFlightCalls.applyPeerCalls(table, peerLoads);
      int active = peerLoads.activePeers(nowMs).size();
      Map<Long, Integer> calls = InFlightCalls.of(table);
      broadcast(schedule.onInterval(calls, active, nowMs), calls);
      schedule(SendSchedule.intervalMs(active), this::tick);
    }

    private void broadcast(SendSchedule.Recipients recipients, Map<Long, Integer> calls) {
      if (recipients == SendSchedule.Recipients.NONE) {
        return;
      }
      int ttlMs = SendSchedule.ttlMs(peerLoads.activePeers(nowMs).size());
      byte[] bytes = new LoadDatagram(id, 1, ++sequence, ttlMs, calls).encode();
      for (Gateway peer : gateways) {
        if (peer != this && random.nextDouble() >= conditions.lossRate()) {
          datagrams++;
          schedule(NETWORK_MS, () -> peer.receive(bytes));
        }
      }
    }

    private void receive(byte[] bytes) {
      LoadDatagram.decode(ByteBuffer.wrap(bytes))
          .ifPresent(datagram -> peerLoads.accept(datagram, nowMs));
      InFlightCalls.applyPeerCalls(table, peerLoads);
    }
  }

  private final Conditions conditions;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
  private final Map<String, Engine> engines = new HashMap<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private long nowMs;
  private int requests;
  private int foundFull;
  private int datagrams;

  private LoadSimulation(Conditions conditions) {
    this.conditions = conditions;
    this.random = new SplittableRandom(conditions.seed());
    for (int i = 0; i < ENGINES; i++) {
      Engine engine = new Engine(i);
      engines.put(engine.instance.id(), engine);
    }
    Set<Long> ids = new HashSet<>();
    for (int i = 0; i < conditions.gateways(); i++) {
      gateways.add(new Gateway(i));
      ids.add((long) i);
    }
    gateways.forEach(gateway -> gateway.peerLoads.setKnownPeers(ids));
  }

  static Outcome run(Conditions conditions) {
    return new LoadSimulation(conditions).run();
  }

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, action));
  }

  private Outcome run() {
    if (conditions.shareLoad()) {
      gateways.forEach(gateway -> schedule(random.nextLong(50), gateway::tick));
    }
    for (nowMs = 0; nowMs < DURATION_MS; nowMs++) {
      while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
        events.remove().action().run();
      }
      if (conditions.oneCrashes() && nowMs == CRASH_MS) {
        gateways.get(0).crashed = true;
      }
      boolean peak = nowMs % PEAK_PERIOD_MS < PEAK_DURATION_MS;
      if (random.nextDouble() < (peak ? PEAK_REQUESTS_PER_MS : OFF_PEAK_REQUESTS_PER_MS)) {
        randomGateway().request(peak);
      }
    }
    double seconds = DURATION_MS / 1_000.0;
    double receivedPerS = datagrams / seconds / gateways.size();
    return new Outcome(requests, foundFull, receivedPerS);
  }

  private Gateway randomGateway() {
    List<Gateway> alive = gateways.stream().filter(gateway -> !gateway.crashed).toList();
    return alive.get(random.nextInt(alive.size()));
  }
}
