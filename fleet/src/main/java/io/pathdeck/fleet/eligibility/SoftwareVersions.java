package io.pathdeck.fleet.eligibility;

import io.pathdeck.protocol.fleet.EngineInstance;
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
 * <p>A version that joins a service settles only after {@value #SETTLING_MS} ms. Engines begin no
 * streams before, so that a gateway whose view a leader has confirmed within {@link
 * #MAX_VIEW_AGE_MS} knows each version at which a stream may have begun.
 */
public final class SoftwareVersions {
  /** Maximum age of a view that shows all versions at which streams may have begun. */
  public static final long MAX_VIEW_AGE_MS = 600;

  /** Longer than {@link #MAX_VIEW_AGE_MS}, by the time between two reads of the clock. */
  static final long SETTLING_MS = 800;

  /** How long a version that has left the list is remembered. */
  static final long RETENTION_MS = 60_000;

  private static final long SETTLED_AT_START = Long.MIN_VALUE / 2;

  /** When a version joined its service and when it was last listed. */
  private static final class Presence {
    final long joinedMs;
    long lastListedMs;

    Presence(long joinedMs) {
      this.joinedMs = joinedMs;
    }
  }

  private final Map<String, Map<String, Presence>> services = new HashMap<>();
  private Map<String, Map<String, Integer>> listed = Map.of();
  private boolean anyListSeen;
  private long firstListMs;

  /**
   * Applies the list of engines.
   *
   * @param retired versions that others have seen in the list recently
   */
  public void onEngines(
      Collection<EngineInstance> engines, Collection<StreamOrigin> retired, long nowMs) {
    if (!anyListSeen) {
      anyListSeen = true;
      firstListMs = nowMs;
    }
    touchListed(nowMs);
    listed = countByVersion(engines);
    listed.forEach((service, versions) -> addVersions(service, versions, nowMs));
    touchListed(nowMs);
    retired.forEach(origin -> addRetired(origin, nowMs));
    removeForgotten(nowMs);
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
                .forEach(version -> services.get(service).get(version).lastListedMs = nowMs));
  }

  private void addVersions(String service, Map<String, Integer> versions, long nowMs) {
    boolean isNewService = !services.containsKey(service);
    Map<String, Presence> known = services.computeIfAbsent(service, name -> new TreeMap<>());
    String mostCommon = mostCommon(versions);
    for (String version : versions.keySet()) {
      boolean isSettled = isNewService && version.equals(mostCommon);
      known.computeIfAbsent(version, name -> new Presence(isSettled ? SETTLED_AT_START : nowMs));
    }
  }

  private void addRetired(StreamOrigin origin, long nowMs) {
    services
        .computeIfAbsent(origin.service(), name -> new TreeMap<>())
        .computeIfAbsent(
            origin.softwareVersion(),
            version -> {
              Presence presence = new Presence(SETTLED_AT_START);
              presence.lastListedMs = nowMs;
              return presence;
            });
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
                    .removeIf(presence -> nowMs - presence.lastListedMs > RETENTION_MS));
    services.values().removeIf(Map::isEmpty);
  }

  /** Whether new streams may begin at the engine's software version. */
  boolean isSettled(EngineInstance engine, long nowMs) {
    Presence presence =
        services.getOrDefault(engine.service(), Map.of()).get(engine.softwareVersion());
    return presence == null || nowMs - presence.joinedMs >= SETTLING_MS;
  }

  /** Returns the versions of a service that are listed or were in the last {@code windowMs}. */
  public Set<String> recentVersions(String service, long windowMs, long nowMs) {
    Set<String> recent = new TreeSet<>();
    services
        .getOrDefault(service, Map.of())
        .forEach(
            (version, presence) -> {
              boolean isListed = listed.getOrDefault(service, Map.of()).containsKey(version);
              if (isListed || nowMs - presence.lastListedMs <= windowMs) {
                recent.add(version);
              }
            });
    return recent;
  }

  /** Returns the versions that have left the list in the last {@value #RETENTION_MS} ms. */
  public List<StreamOrigin> retiredOrigins(long nowMs) {
    List<StreamOrigin> retired = new ArrayList<>();
    for (String service : services.keySet()) {
      Set<String> listedVersions = listed.getOrDefault(service, Map.of()).keySet();
      for (String version : recentVersions(service, RETENTION_MS, nowMs)) {
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
