package io.pathdeck.fleet.origin;

import io.pathdeck.fleet.eligibility.Eligibility;
import io.pathdeck.fleet.eligibility.EngineEligibility;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.fleet.origin.StreamOriginExchange.Lookup;
import io.pathdeck.fleet.origin.StreamOrigins.Resolution;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import io.pathdeck.protocol.message.FleetUpdate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Gateways and two coordinators on virtual time, with one service. Coordinators read the list of
 * engines and answer each gateway every {@value #STEP_MS} ms; they save each view at once, but one
 * of them may have been down and tell an older one while there is no leader. A leader answers
 * before it has read the list. A gateway that stands still handles what waits for it in a drawn
 * order.
 */
final class OriginModel {
  private static final long STEP_MS = 100;
  private static final int VALID_MS = 10_000;
  private static final String SERVICE = "s";

  /** What a coordinator tells; {@code engines} is null before a leader has read the list. */
  private record View(
      List<EngineInstance> engines, List<StreamOrigin> retired, List<StreamOrigin> joining) {}

  /** A gateway since its start. */
  static final class Gateway {
    private EngineEligibility eligibility = EngineEligibility.withoutPlaces();
    private StreamOriginTable table = new StreamOriginTable();
    private View view;
    private long confirmedMs = Long.MIN_VALUE / 2;
    private boolean cutOff;
    private boolean stopped;
    private boolean isolated;
    private boolean still;
    private boolean awaitsAnswer;
    private long suspendedMs;
    private ToldServices toldServices = new ToldServices(versions());
    private int life;
    private final List<Runnable> inbox = new ArrayList<>();

    private SoftwareVersions versions() {
      return eligibility.softwareVersions();
    }

    private void restart() {
      eligibility = EngineEligibility.withoutPlaces();
      table = new StreamOriginTable();
      view = null;
      confirmedMs = Long.MIN_VALUE / 2;
      toldServices = new ToldServices(versions());
      life++;
      inbox.clear();
    }

    private void handleAll() {
      List<Runnable> waiting = List.copyOf(inbox);
      inbox.clear();
      waiting.forEach(Runnable::run);
    }

    private boolean isInTouch() {
      return !stopped && !isolated && !still && inbox.isEmpty();
    }
  }

  private record Stream(String version, long begunMs, Gateway beginner, int life) {
    boolean isKnownByItsGateway() {
      return beginner.life == life && beginner.isInTouch();
    }
  }

  /** A stream without an event. */
  private record Asked(long stream, Gateway gateway, int life) {}

  private final List<Gateway> gateways = new ArrayList<>();
  private final List<EngineInstance> listed = new ArrayList<>();
  private final Map<Long, Stream> streams = new HashMap<>();
  private final List<Asked> asked = new ArrayList<>();
  private final Random random = new Random(72);
  private SoftwareVersions leader = new SoftwareVersions();
  private SoftwareVersions follower = new SoftwareVersions();
  private View saved;
  private View keptView;
  private boolean leaderless;
  private long followerBehindUntilMs;
  private boolean listUnread;
  private String lastThatLeft = "v1";
  private long nowMs;
  private long severalVersionsUntilMs = Long.MIN_VALUE / 2;
  private int names = 1;
  private long nextStream = 1;

  OriginModel(int gateways, String version) {
    for (int i = 0; i < gateways; i++) {
      this.gateways.add(new Gateway());
    }
    join(version);
    advance(2_000);
  }

  Gateway gateway(int index) {
    return gateways.get(index);
  }

  // ---- events

  /** Adds an engine of each version to the list. */
  void join(String... versions) {
    for (String version : versions) {
      String id = "e" + listed.size();
      EngineInstance engine = new EngineInstance(id, SERVICE, "h:1", "z", 8, false);
      listed.add(engine.withSoftwareVersion(version));
    }
  }

  void joinNext() {
    join("v" + ++names);
  }

  /** Lists the version that left last again. */
  void joinAgain() {
    join(lastThatLeft);
  }

  void leave(String version) {
    lastThatLeft = version;
    listed.removeIf(engine -> engine.softwareVersion().equals(version));
  }

  void leaveOldest() {
    if (listed.size() > 1) {
      leave(listed.get(0).softwareVersion());
    }
  }

  void loseGateway(int index) {
    gateways.get(index).restart();
  }

  void loseAllGateways() {
    gateways.forEach(Gateway::restart);
  }

  void stopAllBut(int index) {
    gateways.forEach(each -> each.stopped = each != gateways.get(index));
  }

  /** Separates a gateway from the coordinators, or connects it again. */
  void cut(int index, boolean cutOff) {
    gateways.get(index).cutOff = cutOff;
  }

  /** Separates a gateway from coordinators and gateways, or connects it again. */
  void isolate(int index, boolean isolated) {
    gateways.get(index).isolated = isolated;
    gateways.get(index).cutOff = isolated;
  }

  /** Suspends a gateway whose report has just been sent. */
  void suspend(int index) {
    Gateway gateway = gateways.get(index);
    gateway.awaitsAnswer = !gateway.still && !gateway.cutOff;
    gateway.suspendedMs = nowMs;
    gateway.still = true;
  }

  /** Continues a gateway; what waits for it is handled by {@link #handleNext} or the next step. */
  void resume(int index) {
    gateways.get(index).still = false;
    Collections.shuffle(gateways.get(index).inbox, random);
  }

  /** Lets a gateway handle one of the messages that waited for it; returns whether it did. */
  boolean handleNext(int index) {
    Gateway gateway = gateways.get(index);
    boolean handles = !gateway.still && !gateway.inbox.isEmpty();
    if (handles) {
      gateway.inbox.remove(0).run();
    }
    return handles;
  }

  /** Lets the coordinator that does not lead miss the leader's views until it reports again. */
  void keepFollowerBehind() {
    followerBehindUntilMs = nowMs + 3 * STEP_MS;
  }

  void setLeaderless(boolean leaderless) {
    this.leaderless = leaderless;
  }

  void changeLeader() {
    SoftwareVersions previous = leader;
    leader = follower;
    follower = previous;
    listUnread = true;
  }

  void restartCoordinators() {
    leader = new SoftwareVersions();
    follower = new SoftwareVersions();
    apply(leader, saved);
    apply(follower, saved);
  }

  /** Lets a coordinator that tells its saved view without a leader fall behind from now on. */
  void keepSavedView() {
    keptView = saved;
  }

  private void apply(SoftwareVersions versions, View view) {
    versions.onView(view.engines(), view.retired(), view.joining(), nowMs);
  }

  void advance(long ms) {
    for (long passed = 0; passed < ms; passed += STEP_MS) {
      nowMs += STEP_MS;
      step();
    }
  }

  private void step() {
    gateways.stream().filter(each -> !each.still).forEach(Gateway::handleAll);
    if (listed.stream().map(EngineInstance::softwareVersion).distinct().count() > 1) {
      severalVersionsUntilMs = nowMs;
    }
    if (leaderless) {
      gateways.stream()
          .filter(each -> each.view == null && !each.cutOff && !each.still)
          .forEach(this::tellSaved);
      return;
    }
    if (listUnread) {
      listUnread = false;
      answer(new View(null, leader.retiredOrigins(nowMs), leader.joiningOrigins(nowMs)));
      return;
    }
    leader.onList(listed, nowMs);
    View view =
        new View(List.copyOf(listed), leader.retiredOrigins(nowMs), leader.joiningOrigins(nowMs));
    if (nowMs > followerBehindUntilMs) {
      apply(follower, view);
    }
    saved = view;
    answer(view);
  }

  private void answer(View view) {
    for (Gateway each : gateways) {
      if (each.still && each.awaitsAnswer) {
        long sentMs = each.suspendedMs;
        each.awaitsAnswer = false;
        each.inbox.add(() -> tell(each, view, sentMs));
      } else if (!each.still && !each.cutOff) {
        tell(each, view, nowMs);
      }
    }
  }

  private void tellSaved(Gateway gateway) {
    gateway.view = keptView == null ? saved : keptView;
    apply(gateway.versions(), gateway.view);
  }

  private void tell(Gateway gateway, View update, long sentMs) {
    View view = update;
    boolean missedViews = update.engines() != null && !isConfirmed(gateway);
    if (update.engines() == null) {
      if (gateway.view == null) {
        return;
      }
      List<StreamOrigin> joining = unread(update).joiningOriginsAfter(gateway.view.joining());
      view = new View(gateway.view.engines(), update.retired(), joining);
    } else {
      gateway.confirmedMs = sentMs;
    }
    gateway.view = view;
    apply(gateway.versions(), view);
    if (missedViews) {
      gateway.versions().onViewsMissed(view.retired(), nowMs);
    }
    tellRecordsIfVersionJoined(gateway);
  }

  /** The update of a leader that has not read the list of engines. */
  private static FleetUpdate unread(View view) {
    return new FleetUpdate(
        null,
        null,
        null,
        List.of(),
        List.of(),
        FleetProcess.NO_GROUP,
        List.of(),
        List.of(),
        null,
        null,
        List.of(),
        view.retired(),
        view.joining(),
        List.of());
  }

  private void tellRecordsIfVersionJoined(Gateway gateway) {
    if (!gateway.toldServices.onChange(Set.of(SERVICE), nowMs).isEmpty()) {
      gateway.table.matching(origin -> true, nowMs).forEach(each -> tellOthers(gateway, each));
    }
  }

  private void tellOthers(Gateway sender, StreamOriginRecord added) {
    for (Gateway each : gateways) {
      if (each == sender || each.isolated || sender.isolated) {
        continue;
      }
      if (each.still) {
        each.inbox.add(() -> each.table.put(added, nowMs));
      } else {
        each.table.put(added, nowMs);
      }
    }
  }

  // ---- streams

  /** Begins a stream at a version, if the gateway may. */
  Optional<Long> begin(int index, String version) {
    Gateway gateway = gateways.get(index);
    if (eligibleVersions(gateway).noneMatch(version::equals)) {
      return Optional.empty();
    }
    long stream = nextStream++;
    onFirstEvent(gateway, stream, version);
    return Optional.of(stream);
  }

  /**
   * Asks an engine of the oldest version for a stream; it does not answer yet. The gateway records
   * that, as those of an earlier release do.
   */
  void ask(int index) {
    Gateway gateway = gateways.get(index);
    eligibleVersions(gateway).findFirst().ifPresent(version -> ask(gateway, version));
  }

  private void ask(Gateway gateway, String version) {
    long stream = nextStream++;
    record(
        gateway, new StreamOriginRecord(stream, new StreamOrigin(SERVICE, version), 1, VALID_MS));
    asked.add(new Asked(stream, gateway, gateway.life));
  }

  /** Lets the engines that were asked refuse; streams begin at the newest version. */
  Optional<Long> beginElsewhere(int index) {
    Gateway gateway = gateways.get(index);
    Optional<String> newest = eligibleVersions(gateway).reduce((first, second) -> second);
    List<Asked> ready =
        asked.stream()
            .filter(each -> each.gateway() == gateway && each.life() == gateway.life)
            .toList();
    if (newest.isEmpty()) {
      return Optional.empty();
    }
    asked.removeAll(ready);
    for (Asked each : ready) {
      onFirstEvent(gateway, each.stream(), newest.get());
    }
    return ready.stream().map(Asked::stream).findFirst();
  }

  private java.util.stream.Stream<String> eligibleVersions(Gateway gateway) {
    if (gateway.view == null || gateway.still) {
      return java.util.stream.Stream.empty();
    }
    return gateway.view.engines().stream()
        .filter(listed::contains)
        .filter(engine -> isEligible(gateway, engine))
        .map(EngineInstance::softwareVersion);
  }

  private void onFirstEvent(Gateway gateway, long stream, String version) {
    streams.put(stream, new Stream(version, nowMs, gateway, gateway.life));
    record(gateway, new StreamOriginRecord(stream, new StreamOrigin(SERVICE, version), VALID_MS));
  }

  private void record(Gateway gateway, StreamOriginRecord added) {
    gateway.table.put(added, nowMs);
    if (gateway.toldServices.onStream(SERVICE, nowMs)) {
      tellOthers(gateway, added);
    }
  }

  private boolean isEligible(Gateway gateway, EngineInstance engine) {
    return gateway.eligibility.check(engine, false, RequestConstraints.NONE, nowMs)
        == Eligibility.ELIGIBLE;
  }

  /** Begins a stream at each version where the gateway may. */
  void beginAnywhere(int index) {
    listed.stream()
        .map(EngineInstance::softwareVersion)
        .distinct()
        .toList()
        .forEach(version -> begin(index, version));
  }

  /** Returns the streams whose callers may return. */
  List<Long> openStreams() {
    streams.values().removeIf(stream -> nowMs - stream.begunMs() >= VALID_MS);
    return List.copyOf(streams.keySet());
  }

  Resolution takeUp(int index, long stream) {
    Gateway gateway = gateways.get(index);
    Optional<StreamOriginRecord> own = gateway.table.find(stream, nowMs);
    if (own.isPresent()) {
      return new Resolution.Known(own.get());
    }
    OriginKnowledge knowledge = knowledge(gateway, stream);
    return knowledge.withoutAsking().orElseGet(() -> knowledge.after(lookup(gateway, stream)));
  }

  private Lookup lookup(Gateway asking, long stream) {
    List<Gateway> peers =
        gateways.stream().filter(each -> each != asking && !each.stopped).toList();
    List<Gateway> answering =
        peers.stream().filter(each -> !each.still && !each.isolated && !asking.isolated).toList();
    Optional<StreamOriginRecord> found =
        answering.stream().flatMap(each -> each.table.find(stream, nowMs).stream()).findFirst();
    return new Lookup(found, peers.size(), answering.size());
  }

  private OriginKnowledge knowledge(Gateway gateway, long stream) {
    Set<String> possible = possible(gateway);
    Optional<StreamOriginRecord> only =
        possible.stream()
            .filter(version -> possible.size() == 1)
            .map(version -> new StreamOrigin(SERVICE, version))
            .map(origin -> new StreamOriginRecord(stream, origin, VALID_MS))
            .findFirst();
    boolean followedLong = gateway.versions().hasFollowedFor(VALID_MS, nowMs);
    return new OriginKnowledge(only, isConfirmed(gateway), followedLong);
  }

  private Set<String> possible(Gateway gateway) {
    return gateway.versions().recentVersions(SERVICE, VALID_MS, nowMs);
  }

  boolean isConfirmed(Gateway gateway) {
    return nowMs - gateway.confirmedMs < SoftwareVersions.MAX_VIEW_AGE_MS;
  }

  /** Whether a single version has been listed for as long as versions are remembered. */
  boolean hadOneVersion() {
    return names == 1 && severalVersionsUntilMs < 0;
  }

  /** Whether the gateway runs, and reaches the one that began the stream, which runs as well. */
  boolean reachesBeginnerOf(long stream, int index) {
    return gateways.get(index).isInTouch() && streams.get(stream).isKnownByItsGateway();
  }

  boolean isRunning(int index) {
    return !gateways.get(index).still;
  }

  String versionThatBegan(long stream) {
    return Objects.requireNonNull(streams.get(stream)).version();
  }

  static Optional<String> versionOf(Resolution resolution) {
    return resolution instanceof Resolution.Known known
        ? Optional.of(known.origin().origin().softwareVersion())
        : Optional.empty();
  }
}
