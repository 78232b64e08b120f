package io.pathdeck.fleet.eligibility;

import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.StreamOrigin;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The software versions of each service's engines that this process has seen in the list of
 * engines. Performs no I/O; confined to one thread.
 *
 * <p>A version that joins a service settles {@value #SETTLING_MS} ms after the leading coordinator
 * has listed it, and only the leader tells so. Engines begin no streams before, so that a gateway
 * whose view a leader has confirmed within {@link #MAX_VIEW_AGE_MS} knows each version at which a
 * stream may have begun. A gateway that has just started learns it from the leader, too.
 */
public final class SoftwareVersions {
  /** Maximum age of a view that shows all versions at which streams may have begun. */
  public static final long MAX_VIEW_AGE_MS = 600;

  /** Longer than {@link #MAX_VIEW_AGE_MS}, by the time between two reads of the clock. */
  static final long SETTLING_MS = 800;

  /** How long a version that has left the list is remembered, or longer if a route needs it. */
  public static final long RETENTION_MS = 60_000;

  /** Maximum time for which versions that have left the list and origins of streams are kept. */
  public static final long MAX_RETENTION_MS = 600_000;

  /**
   * How long each process at least counts a version that has left the list among those at which a
   * stream may have begun.
   */
  public static final long MIN_MEMORY_MS = 5_000;

  /** A version that was absent for longer may be unknown to others, and settles again. */
  static final long MAX_ABSENCE_MS = MIN_MEMORY_MS - SETTLING_MS;

  private static final long SETTLED = Long.MIN_VALUE / 2;
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** When a version joined its service, as far as this process knows, and was last listed. */
  private static final class Presence {
    long joinedMs;

    /** By the lists that this process has seen. Others may have seen no later one. */
    long lastListedMs = NEVER;

    /** The same, or later if this process may have missed a list. */
    long lastPossibleMs;

    Presence(long joinedMs) {
      this.joinedMs = joinedMs;
    }

    void onListed(long nowMs) {
      lastListedMs = nowMs;
      lastPossibleMs = nowMs;
    }

    boolean isAbsent(long nowMs) {
      return nowMs - lastListedMs > MAX_ABSENCE_MS;
    }
  }

  private final Map<String, Map<String, Presence>> services = new HashMap<>();
  private Map<String, Map<String, Integer>> listed = Map.of();
  private Set<StreamOrigin> joining = Set.of();
  private boolean anyListSeen;
  private long firstListMs;
  private long retentionMs = RETENTION_MS;

  /**
   * Returns for how long a caller of the route may take a stream up again: it may be held for one
   * timeout, and so may the next attempt.
   */
  public static long returnPeriodMs(RouteSpec route) {
    long periodMs = 2 * Math.min(MAX_RETENTION_MS, route.timeoutMs());
    return Math.max(MIN_MEMORY_MS, Math.min(MAX_RETENTION_MS, periodMs));
  }

  /** Applies the routes in force: a version is remembered for as long as callers may return. */
  public void onRoutes(RouteTable routes) {
    long longestMs =
        routes.routes().stream()
            .filter(RouteSpec::resumable)
            .mapToLong(SoftwareVersions::returnPeriodMs)
            .max()
            .orElse(0);
    retentionMs = Math.max(RETENTION_MS, longestMs);
  }

  /** Applies the list of engines that this process, a leading coordinator, has read. */
  public void onList(Collection<EngineInstance> engines, long nowMs) {
    replaceList(engines, nowMs);
    listed.forEach((service, versions) -> addVersions(service, versions, nowMs));
    touchListed(nowMs);
    removeForgotten(nowMs);
  }

  /**
   * Applies a view that a leading coordinator has sent.
   *
   * @param retired versions that have left the list recently
   * @param joiningOrigins versions that have not settled
   */
  public void onView(
      Collection<EngineInstance> engines,
      Collection<StreamOrigin> retired,
      Collection<StreamOrigin> joiningOrigins,
      long nowMs) {
    replaceList(engines, nowMs);
    joining = Set.copyOf(joiningOrigins);
    listed.forEach(
        (service, versions) ->
            versions.keySet().forEach(version -> addVersion(service, version, nowMs)));
    touchListed(nowMs);
    retired.forEach(origin -> addRetired(origin, nowMs));
    removeForgotten(nowMs);
  }

  private void replaceList(Collection<EngineInstance> engines, long nowMs) {
    if (!anyListSeen) {
      anyListSeen = true;
      firstListMs = nowMs;
    }
    touchListed(nowMs);
    listed = countByVersion(engines);
  }

  private void addVersion(String service, String version, long nowMs) {
    Map<String, Presence> known = services.computeIfAbsent(service, name -> new TreeMap<>());
    Presence presence = known.computeIfAbsent(version, name -> new Presence(SETTLED));
    if (!joining.contains(new StreamOrigin(service, version))) {
      presence.joinedMs = SETTLED;
    } else if (presence.joinedMs == SETTLED || presence.isAbsent(nowMs)) {
      presence.joinedMs = nowMs;
    }
  }

  private static Map<String, Map<String, Integer>> countByVersion(
      Collection<EngineInstance> engines) {
    Map<String, Map<String, Integer>> counts = new HashMap<>();
    for (EngineInstance engine : engines) {
      counts
          .computeIfAbsent(engine.service(), service -> new TreeMap<>())
          .merge(engine.softwareVersion(), 1, Integer::sum);
    }
    return counts;
  }

  private void touchListed(long nowMs) {
    listed.forEach(
        (service, versions) ->
            versions
                .keySet()
                .forEach(version -> services.get(service).get(version).onListed(nowMs)));
  }

  private void addVersions(String service, Map<String, Integer> versions, long nowMs) {
    boolean isNewService = !services.containsKey(service);
    Map<String, Presence> known = services.computeIfAbsent(service, name -> new TreeMap<>());
    String mostCommon = mostCommon(versions);
    for (String version : versions.keySet()) {
      boolean isSettled = isNewService && version.equals(mostCommon);
      Presence presence =
          known.computeIfAbsent(version, name -> new Presence(isSettled ? SETTLED : nowMs));
      if (!isNewService && known.size() > 1 && presence.isAbsent(nowMs)) {
        presence.joinedMs = nowMs;
      }
    }
  }

  private void addRetired(StreamOrigin origin, long nowMs) {
    Map<String, Presence> known = services.get(origin.service());
    if (known == null || !known.containsKey(origin.softwareVersion())) {
      presence(origin).lastPossibleMs = nowMs;
    }
  }

  private Presence presence(StreamOrigin origin) {
    return services
        .computeIfAbsent(origin.service(), name -> new TreeMap<>())
        .computeIfAbsent(origin.softwareVersion(), version -> new Presence(SETTLED));
  }

  /**
   * Applies that this process has missed views for more than {@link #MAX_VIEW_AGE_MS}. A version
   * that has left the list may have been listed again meanwhile.
   *
   * @param retired versions that have left the list recently, by the view that came after
   */
  public void onViewsMissed(Collection<StreamOrigin> retired, long nowMs) {
    retired.forEach(origin -> presence(origin).lastPossibleMs = nowMs);
  }

  /** At the first sight of a service, the version of most engines was there before the others. */
  private static String mostCommon(Map<String, Integer> versions) {
    return versions.entrySet().stream()
        .max(Comparator.comparingInt(Map.Entry::getValue))
        .map(Map.Entry::getKey)
        .orElseThrow();
  }

  private void removeForgotten(long nowMs) {
    services
        .values()
        .forEach(
            versions ->
                versions
                    .values()
                    .removeIf(presence -> nowMs - presence.lastPossibleMs > retentionMs));
    services.values().removeIf(Map::isEmpty);
  }

  /** Whether new streams may begin at the engine's software version. */
  boolean isSettled(EngineInstance engine) {
    return !joining.contains(StreamOrigin.of(engine));
  }

  /** Returns the listed versions that have not settled, by the time at which they joined. */
  public List<StreamOrigin> joiningOrigins(long nowMs) {
    List<StreamOrigin> origins = new ArrayList<>();
    for (String service : new TreeSet<>(listed.keySet())) {
      for (String version : listed.get(service).keySet()) {
        if (nowMs - services.get(service).get(version).joinedMs < SETTLING_MS) {
          origins.add(new StreamOrigin(service, version));
        }
      }
    }
    return origins;
  }

  /** Returns the versions of a service that are listed or were in the last {@code windowMs}. */
  public Set<String> recentVersions(String service, long windowMs, long nowMs) {
    Set<String> recent = new TreeSet<>();
    services
        .getOrDefault(service, Map.of())
        .forEach(
            (version, presence) -> {
              boolean isListed = listed.getOrDefault(service, Map.of()).containsKey(version);
              if (isListed || nowMs - presence.lastPossibleMs <= windowMs) {
                recent.add(version);
              }
            });
    return recent;
  }

  /** Returns the versions of a service that are listed or are still remembered. */
  public Set<String> rememberedVersions(String service, long nowMs) {
    return recentVersions(service, retentionMs, nowMs);
  }

  /** Returns the versions that have left the list and are still remembered. */
  public List<StreamOrigin> retiredOrigins(long nowMs) {
    List<StreamOrigin> retired = new ArrayList<>();
    for (String service : services.keySet()) {
      Set<String> listedVersions = listed.getOrDefault(service, Map.of()).keySet();
      for (String version : rememberedVersions(service, nowMs)) {
        if (!listedVersions.contains(version)) {
          retired.add(new StreamOrigin(service, version));
        }
      }
    }
    return retired;
  }

  /** Whether this process has followed the list for at least {@code windowMs}. */
  public boolean hasFollowedFor(long windowMs, long nowMs) {
    return anyListSeen && nowMs - firstListMs >= windowMs;
  }
}
