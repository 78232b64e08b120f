package io.pathdeck.fleet.origin;

import io.pathdeck.fleet.eligibility.Eligibility;
import io.pathdeck.fleet.eligibility.EngineEligibility;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.fleet.origin.StreamOriginExchange.Lookup;
import io.pathdeck.fleet.origin.StreamOrigins.Resolution;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Gateways and two coordinators on virtual time, with one service. Coordinators read the list of
 * engines and answer each gateway every {@value #STEP_MS} ms; they save each view at once, but one
 * of them may have been down and tell an older one while there is no leader.
 */
final class OriginModel {
  private static final long STEP_MS = 100;
  private static final int VALID_MS = 10_000;
  private static final String SERVICE = "s";

  /** What a coordinator tells. */
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

    private SoftwareVersions versions() {
      return eligibility.softwareVersions();
    }

    private void restart() {
      eligibility = EngineEligibility.withoutPlaces();
      table = new StreamOriginTable();
      view = null;
      confirmedMs = Long.MIN_VALUE / 2;
    }
  }

  private record Stream(String version, long begunMs) {}

  private final List<Gateway> gateways = new ArrayList<>();
  private final List<EngineInstance> listed = new ArrayList<>();
  private final Map<Long, Stream> streams = new HashMap<>();
  private SoftwareVersions leader = new SoftwareVersions();
  private SoftwareVersions follower = new SoftwareVersions();
  private View saved;
  private View keptView;
  private boolean leaderless;
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

  void leave(String version) {
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

  void setLeaderless(boolean leaderless) {
    this.leaderless = leaderless;
  }

  void changeLeader() {
    SoftwareVersions previous = leader;
    leader = follower;
    follower = previous;
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
    if (listed.stream().map(EngineInstance::softwareVersion).distinct().count() > 1) {
      severalVersionsUntilMs = nowMs;
    }
    if (leaderless) {
      gateways.stream().filter(each -> each.view == null && !each.cutOff).forEach(this::tellSaved);
      return;
    }
    leader.onList(listed, nowMs);
    View view =
        new View(List.copyOf(listed), leader.retiredOrigins(nowMs), leader.joiningOrigins(nowMs));
    apply(follower, view);
    saved = view;
    gateways.stream().filter(each -> !each.cutOff).forEach(each -> tell(each, view));
  }

  private void tellSaved(Gateway gateway) {
    gateway.view = keptView == null ? saved : keptView;
    apply(gateway.versions(), gateway.view);
  }

  private void tell(Gateway gateway, View view) {
    gateway.confirmedMs = nowMs;
    gateway.view = view;
    apply(gateway.versions(), view);
    if (possible(gateway).size() > 1) {
      gateway.table.matching(origin -> true, nowMs).forEach(each -> tellOthers(gateway, each));
    }
  }

  private void tellOthers(Gateway sender, StreamOriginRecord added) {
    gateways.stream().filter(each -> each != sender).forEach(each -> each.table.put(added, nowMs));
  }

  // ---- streams

  /** Begins a stream at a version, if the gateway may. */
  Optional<Long> begin(int index, String version) {
    Gateway gateway = gateways.get(index);
    boolean mayBegin =
        gateway.view != null
            && gateway.view.engines().stream()
                .filter(listed::contains)
                .filter(engine -> engine.softwareVersion().equals(version))
                .anyMatch(engine -> isEligible(gateway, engine));
    if (!mayBegin) {
      return Optional.empty();
    }
    long stream = nextStream++;
    streams.put(stream, new Stream(version, nowMs));
    StreamOriginRecord added =
        new StreamOriginRecord(stream, new StreamOrigin(SERVICE, version), 1, VALID_MS);
    gateway.table.put(added, nowMs);
    if (possible(gateway).size() > 1) {
      tellOthers(gateway, added);
    }
    return Optional.of(stream);
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

  Resolution resume(int index, long stream) {
    Gateway gateway = gateways.get(index);
    Optional<StreamOriginRecord> own = gateway.table.find(stream, nowMs);
    if (own.isPresent()) {
      return new Resolution.Known(own.get());
    }
    OriginKnowledge knowledge = knowledge(gateway, stream);
    return knowledge.withoutAsking().orElseGet(() -> knowledge.after(lookup(gateway, stream)));
  }

  private Lookup lookup(Gateway asking, long stream) {
    List<Gateway> asked =
        gateways.stream().filter(each -> each != asking && !each.stopped).toList();
    Optional<StreamOriginRecord> found =
        asked.stream().flatMap(each -> each.table.find(stream, nowMs).stream()).findFirst();
    return new Lookup(found, asked.size(), asked.size());
  }

  private OriginKnowledge knowledge(Gateway gateway, long stream) {
    Set<String> possible = possible(gateway);
    Optional<StreamOriginRecord> only =
        possible.stream()
            .filter(version -> possible.size() == 1)
            .map(version -> new StreamOrigin(SERVICE, version))
            .map(origin -> new StreamOriginRecord(stream, origin, 1, VALID_MS))
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

  String versionThatBegan(long stream) {
    return Objects.requireNonNull(streams.get(stream)).version();
  }

  static Optional<String> versionOf(Resolution resolution) {
    return resolution instanceof Resolution.Known known
        ? Optional.of(known.origin().origin().softwareVersion())
        : Optional.empty();
  }
}
