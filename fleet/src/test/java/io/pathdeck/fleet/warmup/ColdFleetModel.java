package io.pathdeck.fleet.warmup;

import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.ServiceLimits;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Gateways that send requests to engines of which some return cold, a leading coordinator that
 * tells them of both in answers to heartbeats, and faults. Steps of one millisecond.
 */
final class ColdFleetModel {
  static final int COLD_PER_SECOND = 27;
  static final long COLD_MS = 3_000;
  private static final double REQUESTS_PER_ENGINE = 6.9;
  private static final long HEARTBEAT_MS = 300;
  private static final long PROCESS_TIMEOUT_MS = 1_500;
  private static final long CONFIRMED_MS = 1_500;
  private static final long COLLECTION_MS = 1_000;
  private static final long LIST_INTERVAL_MS = 800;
  private static final long SERVICE_MS = 300;
  private static final long REPORT_MS = 250;
  private static final long WINDOW_MS = 1_000;
  private static final int SAMPLE = 34;
  private static final long FLOOD_INTERVAL_MS = 5;
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Decides, for each gateway, whether an engine that it knows to be cold may get a request. */
  interface Strategy {
    boolean allows(int gateway, int engine, long nowMs);

    void onStart(int gateway, int engine, long nowMs);

    /** A gateway got the answer to a heartbeat; {@code view} is null without news. */
    default void onAnswer(int gateway, FleetView view, long nowMs) {}

    default void onStep(long nowMs) {}

    /** A gateway started again. */
    default void onRestart(int gateway, long nowMs) {}
  }

  /** What happened to engines while they were cold, and to callers while any engine was up. */
  record Outcome(int worstSecond, int requests, int refused, int sentCold) {
    double refusedPercent() {
      return 100.0 * refused / Math.max(1, requests);
    }
  }

  private static final class Engine {
    long coldUntilMs = NEVER;
    boolean isUp = true;
    int life;
    int inFlight;
    int reported;
    final Deque<Long> ends = new ArrayDeque<>();
    final Deque<Long> coldSends = new ArrayDeque<>();
  }

  private static final class Node {
    long nextHeartbeatMs;
    long confirmedMs = NEVER;
    long lastSeenMs = NEVER;
    FleetView view;
    boolean isUp = true;
    boolean isFrozen;
    boolean isCut;
  }

  final int gateways;
  final int engineCount;
  private final SplittableRandom random;
  private final Engine[] engines;
  private final Node[] nodes;
  private final Map<Long, List<Runnable>> events = new HashMap<>();
  private final RouteTable routes;
  private Map<String, EngineInstance> listedEngines = Map.of();
  private Map<String, FleetProcess> listedGateways = Map.of();
  private long leaderGoneFromMs = Long.MAX_VALUE;
  private long leaderGoneUntilMs = Long.MAX_VALUE;
  private double lossShare;
  private boolean isFlood;
  private long coldCountedFromMs;
  private Strategy strategy;
  private long nowMs;
  private boolean anyEngineIsUp;
  private int worstSecond;
  private int requests;
  private int refused;
  private int sentCold;

  ColdFleetModel(int gateways, int engineCount, long seed) {
    this.gateways = gateways;
    this.engineCount = engineCount;
    this.random = new SplittableRandom(seed);
    this.engines = new Engine[engineCount];
    this.nodes = new Node[gateways];
    ServiceLimits limits = new ServiceLimits("s", 0, 8, 0, COLD_MS, COLD_PER_SECOND);
    this.routes =
        new RouteTable(
            1, List.of(), List.of(limits), CallerLimits.NONE, List.of(), new byte[0], new byte[0]);
    for (int i = 0; i < engineCount; i++) {
      engines[i] = new Engine();
    }
    for (int i = 0; i < gateways; i++) {
      nodes[i] = new Node();
      nodes[i].nextHeartbeatMs = random.nextLong(HEARTBEAT_MS);
    }
  }

  ColdFleetModel withLoss(double share) {
    lossShare = share;
    return this;
  }

  /** Gateways send each engine all that they may. */
  ColdFleetModel withFlood() {
    isFlood = true;
    return this;
  }

  ColdFleetModel withLeaderGone(long fromMs, long forMs) {
    leaderGoneFromMs = fromMs;
    leaderGoneUntilMs = fromMs + forMs;
    return this;
  }

  ColdFleetModel at(long timeMs, Runnable event) {
    events.computeIfAbsent(timeMs, time -> new ArrayList<>()).add(event);
    return this;
  }

  /** The first {@code count} engines are down for a time and return together, cold. */
  ColdFleetModel enginesReturn(int count, long downFromMs, long returnMs) {
    for (int i = 0; i < count; i++) {
      Engine engine = engines[i];
      at(downFromMs, () -> engine.isUp = false);
      at(
          returnMs,
          () -> {
            engine.isUp = true;
            engine.life++;
            engine.coldUntilMs = returnMs + COLD_MS;
          });
    }
    return this;
  }

  /** All engines turn cold in mid-life; counted are sends once all gateways know. */
  ColdFleetModel enginesTurnCold(long fromMs, long untilMs, long knownMs) {
    coldCountedFromMs = knownMs;
    for (Engine engine : engines) {
      at(fromMs, () -> engine.coldUntilMs = untilMs);
    }
    return this;
  }

  /** A gateway loses its process and starts again. */
  ColdFleetModel restart(int gateway, long fromMs, long untilMs) {
    at(fromMs, () -> nodes[gateway].isUp = false);
    return at(
        untilMs,
        () -> {
          Node next = new Node();
          next.nextHeartbeatMs = untilMs;
          next.lastSeenMs = nodes[gateway].lastSeenMs;
          nodes[gateway] = next;
          strategy.onRestart(gateway, untilMs);
        });
  }

  /** A gateway neither sends nor hears anything. */
  ColdFleetModel freeze(int gateway, long fromMs, long untilMs) {
    at(fromMs, () -> nodes[gateway].isFrozen = true);
    return at(untilMs, () -> nodes[gateway].isFrozen = false);
  }

  /** A gateway cannot reach the coordinators, but engines and callers. */
  ColdFleetModel cut(int gateway, long fromMs, long untilMs) {
    at(fromMs, () -> nodes[gateway].isCut = true);
    return at(untilMs, () -> nodes[gateway].isCut = false);
  }

  /** Whether the leader has confirmed the gateway's view recently. */
  boolean isConfirmed(int gateway) {
    return nowMs - nodes[gateway].confirmedMs < CONFIRMED_MS;
  }

  EngineInstance instance(int engine) {
    return instance(engine, 0);
  }

  private EngineInstance instance(int engine, long coldLeftMs) {
    String id = "e" + engine;
    long born = 1L + engines[engine].life;
    return new EngineInstance(id, "s", "h:1", "z" + engine % 3, 8, false, born, coldLeftMs);
  }

  /** Whether a gateway knows from the list that the engine is cold. */
  boolean isKnownCold(int gateway, int engine) {
    EngineInstance listed = nodes[gateway].view.engines().get("e" + engine);
    return listed != null && listed.coldLeftMs() > 0;
  }

  Outcome run(Strategy chosen, long durationMs) {
    strategy = chosen;
    for (nowMs = 0; nowMs < durationMs; nowMs++) {
      events.getOrDefault(nowMs, List.of()).forEach(Runnable::run);
      readLists();
      strategy.onStep(nowMs);
      boolean reportsDue = nowMs % REPORT_MS == 0;
      anyEngineIsUp = false;
      for (Engine engine : engines) {
        anyEngineIsUp |= engine.isUp;
        while (!engine.ends.isEmpty() && engine.ends.peekFirst() <= nowMs) {
          engine.ends.pollFirst();
          engine.inFlight--;
        }
        engine.reported = reportsDue ? engine.inFlight : engine.reported;
      }
      for (int i = 0; i < gateways; i++) {
        heartbeat(i);
        sendRequests(i);
      }
    }
    return new Outcome(worstSecond, requests, refused, sentCold);
  }

  private boolean leaderIsGone() {
    return nowMs >= leaderGoneFromMs && nowMs < leaderGoneUntilMs;
  }

  private void readLists() {
    if (nowMs % LIST_INTERVAL_MS == 0 && !leaderIsGone()) {
      Map<String, EngineInstance> list = new HashMap<>();
      for (int i = 0; i < engineCount; i++) {
        if (engines[i].isUp) {
          list.put("e" + i, instance(i, Math.max(0, engines[i].coldUntilMs - nowMs)));
        }
      }
      listedEngines = list.equals(listedEngines) ? listedEngines : list;
    }
    boolean collects = nowMs >= leaderGoneUntilMs && nowMs < leaderGoneUntilMs + COLLECTION_MS;
    if (nowMs % 10 != 0 || leaderIsGone() || collects) {
      return;
    }
    Map<String, FleetProcess> list = new HashMap<>();
    for (int i = 0; i < gateways; i++) {
      boolean seenByThisLeader =
          nowMs < leaderGoneUntilMs || nodes[i].lastSeenMs >= leaderGoneUntilMs;
      if (seenByThisLeader && nowMs - nodes[i].lastSeenMs <= PROCESS_TIMEOUT_MS) {
        String name = "g" + i;
        list.put(name, new FleetProcess(name, FleetRole.GATEWAY, "z", 0, 1, "", "", true, 0));
      }
    }
    listedGateways = list.equals(listedGateways) ? listedGateways : list;
  }

  private void heartbeat(int gateway) {
    Node node = nodes[gateway];
    if (!node.isUp || node.isFrozen || nowMs < node.nextHeartbeatMs) {
      return;
    }
    node.nextHeartbeatMs = nowMs + HEARTBEAT_MS;
    if (node.isCut || leaderIsGone() || random.nextDouble() < lossShare) {
      return;
    }
    node.lastSeenMs = nowMs;
    if (random.nextDouble() < lossShare) {
      return;
    }
    node.confirmedMs = nowMs;
    boolean news =
        node.view == null
            || node.view.engines() != listedEngines
            || node.view.processes() != listedGateways;
    if (news) {
      node.view = view();
    }
    strategy.onAnswer(gateway, news ? node.view : null, nowMs);
  }

  private FleetView view() {
    return new FleetView(
        routes,
        listedEngines,
        listedGateways,
        List.of(),
        List.of(),
        FleetProcess.NO_GROUP,
        List.of(),
        QuarantineList.NONE,
        EvacuatedZones.NONE);
  }

  private void sendRequests(int gateway) {
    Node node = nodes[gateway];
    if (!node.isUp || node.isFrozen || node.view == null) {
      return;
    }
    if (isFlood) {
      flood(gateway, node);
      return;
    }
    double steps = nowMs % 6_600 < 3_800 ? 0.38 : 1.84;
    double perMs = REQUESTS_PER_ENGINE * engineCount * steps / gateways / WINDOW_MS;
    for (double left = perMs; left > 0 && random.nextDouble() < left; left -= 1) {
      requests += anyEngineIsUp ? 1 : 0;
      send(gateway, node);
    }
  }

  private void flood(int gateway, Node node) {
    for (int engine = 0; engine < engineCount && nowMs % FLOOD_INTERVAL_MS == 0; engine++) {
      if (node.view.engines().containsKey("e" + engine)
          && strategy.allows(gateway, engine, nowMs)) {
        strategy.onStart(gateway, engine, nowMs);
        onArrival(engines[engine]);
      }
    }
  }

  private void send(int gateway, Node node) {
    int best = -1;
    double bestLoad = Double.MAX_VALUE;
    int tries = Math.min(SAMPLE, engineCount);
    for (int i = 0; i < tries; i++) {
      int engine = engineCount <= SAMPLE ? i : random.nextInt(engineCount);
      EngineInstance listed = node.view.engines().get("e" + engine);
      boolean isCurrent = listed != null && listed.bornMs() == 1L + engines[engine].life;
      double load = engines[engine].reported + random.nextDouble();
      if (load < bestLoad
          && isCurrent
          && engines[engine].isUp
          && strategy.allows(gateway, engine, nowMs)) {
        best = engine;
        bestLoad = load;
      }
    }
    if (best < 0) {
      refused += anyEngineIsUp ? 1 : 0;
      return;
    }
    strategy.onStart(gateway, best, nowMs);
    onArrival(engines[best]);
  }

  private void onArrival(Engine engine) {
    engine.inFlight++;
    engine.ends.addLast(nowMs + SERVICE_MS);
    if (nowMs >= engine.coldUntilMs || nowMs < coldCountedFromMs) {
      return;
    }
    sentCold++;
    while (!engine.coldSends.isEmpty() && engine.coldSends.peekFirst() < nowMs - WINDOW_MS) {
      engine.coldSends.pollFirst();
    }
    engine.coldSends.addLast(nowMs);
    worstSecond = Math.max(worstSecond, engine.coldSends.size());
  }
}
