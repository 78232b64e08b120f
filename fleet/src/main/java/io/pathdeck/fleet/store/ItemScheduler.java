package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.Prompt;
import io.pathdeck.fleet.engine.ServicePace;
import io.pathdeck.fleet.engine.TrafficSplit;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.RouteSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Decides which items start on which engines, and which make room again; without a network and
 * confined to the consensus thread.
 */
final class ItemScheduler {
  /**
   * So many items are looked at in a step for which only engines have room that are too slow; those
   * behind them have more time, but looking at all of a long queue costs processor time.
   */
  private static final int MAX_UNPLACED = 8;

  /** Sends an item to the engine that was chosen for it. */
  interface Starter {
    void start(ItemRun run, EngineState engine, double relativePace);
  }

  private final EngineTable engines;
  private final EngineLoadBalancer loadBalancer;
  private final ItemSlack slack;
  private final BatchSlotPolicy slotPolicy = new BatchSlotPolicy();
  private final TrafficSplit split = new TrafficSplit();
  private long leaderSinceMs;

  ItemScheduler(EngineTable engines, EngineLoadBalancer choice, ItemSlack slack) {
    this.engines = engines;
    this.loadBalancer = choice;
    this.slack = slack;
  }

  /** This store began to lead its group. */
  void setLeaderSince(long nowMs) {
    leaderSinceMs = nowMs;
  }

  // ---- starts

  /** Starts those of the items that may start and find room, in their order. */
  void startItems(Collection<ItemRun> runs, FleetView view, Starter starter, long nowMs) {
    Set<String> fullServices = new HashSet<>();
    int unplaced = 0;
    Map<String, ServicePace> paces = new HashMap<>();
    for (ItemRun run : startableItems(runs, nowMs)) {
      Optional<RouteSpec> route = view.routes().match(run.job.submission().host(), run.item.path());
      if (route.isEmpty()) {
        continue;
      }
      String service = split.next(route.get());
      if (fullServices.contains(service)) {
        continue;
      }
      ServicePace pace = paces.computeIfAbsent(service, name -> engines.pace(name, nowMs));
      List<EngineState> open = availableEngines(service, view, nowMs);
      ItemStartResult start = startItem(run, open, pace, starter, nowMs);
      unplaced += start == ItemStartResult.NO_ENGINE_FAST_ENOUGH ? 1 : 0;
      if (start == ItemStartResult.NO_FREE_SLOT || unplaced > MAX_UNPLACED) {
        fullServices.add(service);
      }
    }
  }

  private List<ItemRun> startableItems(Collection<ItemRun> runs, long nowMs) {
    List<ItemRun> waiting = new ArrayList<>();
    for (ItemRun run : runs) {
      if (run.mayStart(nowMs)) {
        waiting.add(run);
      }
    }
    waiting.sort(slack.startOrder(nowMs));
    return waiting;
  }

  /** Engines on which an item may start. */
  private List<EngineState> availableEngines(String service, FleetView view, long nowMs) {
    int groups = Math.max(1, view.jobsFounders().size());
    long leadingForMs = nowMs - leaderSinceMs;
    double part = slotPolicy.rampUpShare(leadingForMs) / groups;
    return engines.usable(service, Set.of(), nowMs).stream()
        .filter(engine -> slotPolicy.isLoadKnown(engine, leadingForMs, nowMs))
        .filter(engine -> slotPolicy.hasFreeSlot(engine, part, nowMs))
        .toList();
  }

  /** Starts an item where it is best placed. */
  private ItemStartResult startItem(
      ItemRun run, List<EngineState> open, ServicePace pace, Starter starter, long nowMs) {
    if (open.isEmpty()) {
      return ItemStartResult.NO_FREE_SLOT;
    }
    ItemUrgency urgency = slack.urgency(run, nowMs);
    ToLongFunction<EngineState> slackAt =
        engine -> slack.slackMs(run, pace.relativePace(engine), nowMs);
    List<EngineState> preferred = ItemPlacement.candidates(open, pace, urgency, slackAt);
    Optional<Placement> chosen = loadBalancer.choose(preferred, pace, Prompt.UNKNOWN, nowMs);
    if (chosen.isEmpty()) {
      return ItemStartResult.NO_ENGINE_FAST_ENOUGH;
    }
    EngineState engine = chosen.get().engine();
    starter.start(run, engine, pace.relativePace(engine));
    return ItemStartResult.STARTED;
  }

  // ---- stops

  /** The items that make room on an engine whose report has just come, to be stopped at once. */
  List<ItemRun> itemsToYield(
      Collection<ItemRun> runs, EngineState engine, EngineLoadReport load, long nowMs) {
    boolean slow = engines.pace(engine.instance().service(), nowMs).isSlow(engine);
    return runs.stream()
        .filter(run -> run.isRunning() && run.engine() == engine)
        .sorted(slack.startOrder(nowMs).reversed())
        .limit(slotPolicy.itemsToYield(engine, load, slow))
        .toList();
  }

  /**
   * An item that cannot be done in time where it runs but can elsewhere, when an engine that is not
   * slow has room; one at a time, so that the room is taken before the next one is stopped.
   */
  Optional<ItemRun> itemToMove(Collection<ItemRun> runs, FleetView view, long nowMs) {
    return runs.stream()
        .filter(run -> run.isRunning() && slack.canBeOnTimeElsewhere(run, nowMs))
        .filter(run -> canMove(run, view, nowMs))
        .findFirst();
  }

  private boolean canMove(ItemRun run, FleetView view, long nowMs) {
    String service = run.engine().instance().service();
    ServicePace pace = engines.pace(service, nowMs);
    return pace.isSlow(run.engine()) && hasFasterEngine(service, pace, view, nowMs);
  }

  private boolean hasFasterEngine(String service, ServicePace pace, FleetView view, long nowMs) {
    return availableEngines(service, view, nowMs).stream().anyMatch(engine -> !pace.isSlow(engine));
  }
}
