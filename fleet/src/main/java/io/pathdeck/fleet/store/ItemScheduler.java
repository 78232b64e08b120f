package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.Placement;
import io.pathdeck.fleet.engine.Prompt;
import io.pathdeck.fleet.engine.ServicePace;
import io.pathdeck.fleet.engine.TrafficSplit;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.StreamOrigin;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Decides which items start on which engines and which items yield; performs no I/O and is confined
 * to the consensus thread.
 */
final class ItemScheduler {
  /**
   * Number of items per step that may find only engines too slow for them. Later items are less
   * urgent, and examining all of a long queue costs processor time.
   */
  private static final int MAX_UNPLACED_ITEMS = 8;

  /** Wait after which an item also starts on an engine that is too slow for it to be on time. */
  private static final long MAX_PLACEMENT_WAIT_MS = 2_000;

  /**
   * Wait after which an item that its software version does not take begins anew. Longer than the
   * pauses of engines, so that the events are discarded only if the version lastingly has no slot.
   */
  private static final long MAX_VERSION_WAIT_MS = 3_000;

  /** Starts an item on the chosen engine. */
  interface Starter {
    void start(ItemRun run, EngineState engine, double relativePace);
  }

  /** The engines at which an item may start. */
  private record StartPlace(
      String service, AllowedRegions allowedRegions, Optional<StreamOrigin> origin) {
    StartPlace atService(String otherService) {
      return new StartPlace(otherService, allowedRegions, origin);
    }

    StartPlace anyVersion() {
      return new StartPlace(service, allowedRegions, Optional.empty());
    }
  }

  /** What decides whether an item that waits for its software version begins anew. */
  private record VersionWait(StartPlace place, boolean wasTried) {}

  private final EngineTable engines;
  private final EngineLoadBalancer loadBalancer;
  private final ItemSlack slack;
  private final BatchSlotPolicy slotPolicy = new BatchSlotPolicy();
  private final TrafficSplit trafficSplit = new TrafficSplit();
  private long leaderSinceMs;

  ItemScheduler(EngineTable engines, EngineLoadBalancer loadBalancer, ItemSlack slack) {
    this.engines = engines;
    this.loadBalancer = loadBalancer;
    this.slack = slack;
  }

  void setLeaderSince(long nowMs) {
    leaderSinceMs = nowMs;
  }

  // ---- starts

  /**
   * Returns the waiting items that have events and cannot go on: no engine of their software
   * version is left, or none has taken the item for {@value #MAX_VERSION_WAIT_MS} ms while one of
   * another version has room. Of the latter one at a time, so that it takes the slot before the
   * next.
   */
  List<ItemRun> itemsToBeginAnew(Collection<ItemRun> runs, FleetView view, long nowMs) {
    List<ItemRun> toBeginAnew = new ArrayList<>();
    List<ItemRun> waitForVersion = new ArrayList<>();
    for (ItemRun run : runs) {
      if (!run.mayStart(nowMs) || run.origin().isEmpty()) {
        continue;
      }
      if (run.mayLackData() || !canGoOn(run, view, nowMs)) {
        toBeginAnew.add(run);
      } else if (run.waitMs(nowMs) >= MAX_VERSION_WAIT_MS) {
        waitForVersion.add(run);
      }
    }
    waitForVersion.sort(Comparator.comparingLong((ItemRun run) -> run.waitMs(nowMs)).reversed());
    firstWithRoomAtOtherVersion(waitForVersion, view, nowMs).ifPresent(toBeginAnew::add);
    return toBeginAnew;
  }

  /** Examines one item of each kind, since the others of a kind would find the same. */
  private Optional<ItemRun> firstWithRoomAtOtherVersion(
      List<ItemRun> waitingRuns, FleetView view, long nowMs) {
    Set<VersionWait> withoutRoom = new HashSet<>();
    for (ItemRun run : waitingRuns) {
      Optional<RouteSpec> route = view.routes().match(run.job.submission().host(), run.item.path());
      if (route.isEmpty()) {
        continue;
      }
      RequestConstraints constraints = constraints(run, route.get(), view);
      VersionWait kind =
          new VersionWait(placeOf(run, route.get(), constraints), run.shortRuns() > 0);
      if (withoutRoom.add(kind) && hasRoomAtOtherVersion(run, constraints, view, nowMs)) {
        return Optional.of(run);
      }
    }
    return Optional.empty();
  }

  private boolean hasRoomAtOtherVersion(
      ItemRun run, RequestConstraints constraints, FleetView view, long nowMs) {
    String service = run.origin().orElseThrow().service();
    boolean mayTry =
        run.shortRuns() == 0 && !availableEngines(service, constraints, view, nowMs).isEmpty();
    return !mayTry
        && availableEngines(service, constraints.ofNewStream(), view, nowMs).stream()
            .filter(engine -> !constraints.allowsVersionOf(engine.instance()))
            .anyMatch(engine -> slotPolicy.hasRoom(engine, nowMs));
  }

  private boolean canGoOn(ItemRun run, FleetView view, long nowMs) {
    Optional<RouteSpec> route = view.routes().match(run.job.submission().host(), run.item.path());
    if (route.isEmpty()) {
      return true;
    }
    String service = run.origin().orElseThrow().service();
    return route.get().sendsTo(service)
        && engines.anyMayServe(constraints(run, route.get(), view), nowMs);
  }

  /** Starts waiting items on engines with a free slot, in order of urgency. */
  void startItems(Collection<ItemRun> runs, FleetView view, Starter starter, long nowMs) {
    StartRound round = new StartRound(view, starter, nowMs);
    startableItems(runs, nowMs).forEach(round::start);
  }

  /** The starts of one step. */
  private final class StartRound {
    private final FleetView view;
    private final Starter starter;
    private final long nowMs;
    private final Set<StartPlace> fullPlaces = new HashSet<>();
    private final Map<String, ServicePace> paces = new HashMap<>();
    private int unplacedItems;

    StartRound(FleetView view, Starter starter, long nowMs) {
      this.view = view;
      this.starter = starter;
      this.nowMs = nowMs;
    }

    void start(ItemRun run) {
      Optional<RouteSpec> route = view.routes().match(run.job.submission().host(), run.item.path());
      if (route.isEmpty()) {
        run.setSchedulerReason(WaitReason.NO_ROUTE);
        return;
      }
      RequestConstraints constraints = constraints(run, route.get(), view);
      StartPlace drawn = placeOf(run, route.get(), constraints);
      Optional<WaitReason> reason = startAt(run, drawn, constraints);
      boolean isStarted =
          reason.isEmpty() || startAtOtherService(run, route.get(), drawn, constraints);
      if (!isStarted) {
        run.setSchedulerReason(reason.get());
      }
    }

    /** The split draws by turns, so an item may draw the same service in each step. */
    private boolean startAtOtherService(
        ItemRun run, RouteSpec route, StartPlace drawn, RequestConstraints constraints) {
      return run.waitMs(nowMs) >= MAX_PLACEMENT_WAIT_MS
          && run.origin().isEmpty()
          && route.targets().stream()
              .filter(target -> target.weight() > 0)
              .map(target -> drawn.atService(target.service()))
              .filter(place -> !place.equals(drawn))
              .anyMatch(place -> startAt(run, place, constraints).isEmpty());
    }

    /** Starts an item, or returns why it did not start. */
    private Optional<WaitReason> startAt(
        ItemRun run, StartPlace place, RequestConstraints constraints) {
      if (fullPlaces.contains(place) || fullPlaces.contains(place.anyVersion())) {
        return Optional.of(WaitReason.BEHIND_OTHERS);
      }
      String service = place.service();
      ServicePace pace = paces.computeIfAbsent(service, name -> engines.pace(name, nowMs));
      List<EngineState> available =
          preferUntried(run, availableEngines(service, constraints, view, nowMs));
      ItemStartResult result = startItem(run, available, pace, starter, nowMs);
      unplacedItems += result == ItemStartResult.NO_ENGINE_FAST_ENOUGH ? 1 : 0;
      if (result == ItemStartResult.NO_FREE_SLOT || unplacedItems > MAX_UNPLACED_ITEMS) {
        fullPlaces.add(place);
      }
      return result == ItemStartResult.STARTED
          ? Optional.empty()
          : Optional.of(reasonOf(result, service, constraints, nowMs));
    }
  }

  /**
   * Leaves out engines that did not run the item since its last run, unless only these are left.
   */
  private static List<EngineState> preferUntried(ItemRun run, List<EngineState> available) {
    List<EngineState> untried =
        available.stream().filter(engine -> !run.hasTried(engine.instance())).toList();
    return untried.isEmpty() ? available : untried;
  }

  private WaitReason reasonOf(
      ItemStartResult result, String service, RequestConstraints constraints, long nowMs) {
    if (result != ItemStartResult.NO_FREE_SLOT) {
      return WaitReason.ENGINES_TOO_SLOW;
    }
    if (engines.inService(service, constraints, nowMs).isEmpty()) {
      return WaitReason.NO_ENGINE;
    }
    return engines.usable(service, constraints, nowMs).isEmpty()
        ? WaitReason.ENGINES_EJECTED
        : WaitReason.NO_FREE_SLOT;
  }

  /** Whether an engine of the item's route that is under half full could run it. */
  boolean hasRoom(ItemRun run, FleetView view, long nowMs) {
    return view.routes()
        .match(run.job.submission().host(), run.item.path())
        .map(route -> hasRoom(run, route, view, nowMs))
        .orElse(false);
  }

  private boolean hasRoom(ItemRun run, RouteSpec route, FleetView view, long nowMs) {
    RequestConstraints anyVersion = constraints(run, route, view).ofNewStream();
    return route.targets().stream()
        .filter(target -> target.weight() > 0)
        .flatMap(target -> engines.inService(target.service(), anyVersion, nowMs).stream())
        .anyMatch(engine -> slotPolicy.hasRoom(engine, nowMs));
  }

  private StartPlace placeOf(ItemRun run, RouteSpec route, RequestConstraints constraints) {
    String service =
        run.origin().map(StreamOrigin::service).orElseGet(() -> trafficSplit.next(route));
    return new StartPlace(service, constraints.allowedRegions(), run.origin());
  }

  private List<ItemRun> startableItems(Collection<ItemRun> runs, long nowMs) {
    List<ItemRun> startableRuns = new ArrayList<>();
    for (ItemRun run : runs) {
      if (run.mayStart(nowMs)) {
        startableRuns.add(run);
      }
    }
    startableRuns.sort(slack.startOrder(nowMs));
    return startableRuns;
  }

  /** Returns what the item's route and tenant allow. */
  private static RequestConstraints constraints(ItemRun run, RouteSpec route, FleetView view) {
    AllowedRegions ofTenant =
        view.routes()
            .tenant(run.job.submission().tenant())
            .map(tenant -> AllowedRegions.of(tenant.allowedRegions()))
            .orElse(AllowedRegions.ANYWHERE);
    return new RequestConstraints(
        Set.of(), AllowedRegions.of(route.allowedRegions()).and(ofTenant), run.origin());
  }

  /** Returns the engines on which an item may start. */
  private List<EngineState> availableEngines(
      String service, RequestConstraints constraints, FleetView view, long nowMs) {
    int groups = Math.max(1, view.jobsFounders().size());
    long leadingForMs = nowMs - leaderSinceMs;
    double share = slotPolicy.rampUpShare(leadingForMs) / groups;
    double reservedShare =
        slotPolicy.reservedShare(
            engines.countByEligibility(service, constraints.ofNewStream(), nowMs));
    return engines.usable(service, constraints, nowMs).stream()
        .filter(engine -> slotPolicy.isLoadKnown(engine, leadingForMs, nowMs))
        .filter(engine -> slotPolicy.hasFreeSlot(engine, share, reservedShare, nowMs))
        .toList();
  }

  /** Starts an item on the most suitable engine, if any. */
  private ItemStartResult startItem(
      ItemRun run, List<EngineState> available, ServicePace pace, Starter starter, long nowMs) {
    if (available.isEmpty()) {
      return ItemStartResult.NO_FREE_SLOT;
    }
    ItemUrgency urgency = slack.urgency(run, nowMs);
    ToLongFunction<EngineState> slackAt =
        engine -> slack.slackMs(run, pace.relativePace(engine), nowMs);
    List<EngineState> candidates = ItemPlacement.candidates(available, pace, urgency, slackAt);
    if (candidates.isEmpty() && run.waitMs(nowMs) >= MAX_PLACEMENT_WAIT_MS) {
      candidates = available;
    }
    Optional<Placement> placement = loadBalancer.choose(candidates, pace, Prompt.UNKNOWN, nowMs);
    if (placement.isEmpty()) {
      return ItemStartResult.NO_ENGINE_FAST_ENOUGH;
    }
    EngineState engine = placement.get().engine();
    starter.start(run, engine, pace.relativePace(engine));
    return ItemStartResult.STARTED;
  }

  // ---- stops

  /** Returns the items to stop on an engine whose load report has just arrived. */
  List<ItemRun> itemsToYield(
      Collection<ItemRun> runs, EngineState engine, EngineLoadReport load, long nowMs) {
    boolean isSlow = engines.pace(engine.instance().service(), nowMs).isSlow(engine);
    return runs.stream()
        .filter(run -> run.isRunning() && run.engine() == engine && run.stream().canGiveWay())
        .sorted(slack.yieldOrder(nowMs))
        .limit(slotPolicy.yieldCount(engine, load, isSlow))
        .toList();
  }

  /**
   * Returns an item that will be late on a slow engine but can be on time on another one with a
   * free slot. One at a time, so that it takes the slot before the next item is stopped.
   */
  Optional<ItemRun> itemToMove(Collection<ItemRun> runs, FleetView view, long nowMs) {
    return runs.stream()
        .filter(run -> run.isRunning() && run.stream().canGiveWay())
        .filter(run -> slack.canBeOnTimeElsewhere(run, nowMs))
        .filter(run -> canMove(run, view, nowMs))
        .findFirst();
  }

  private boolean canMove(ItemRun run, FleetView view, long nowMs) {
    String service = run.engine().instance().service();
    ServicePace pace = engines.pace(service, nowMs);
    return pace.isSlow(run.engine())
        && view.routes()
            .match(run.job.submission().host(), run.item.path())
            .map(route -> constraints(run, route, view))
            .filter(constraints -> hasFasterEngine(service, constraints, pace, view, nowMs))
            .isPresent();
  }

  private boolean hasFasterEngine(
      String service,
      RequestConstraints constraints,
      ServicePace pace,
      FleetView view,
      long nowMs) {
    return availableEngines(service, constraints, view, nowMs).stream()
        .anyMatch(engine -> !pace.isSlow(engine));
  }
}
