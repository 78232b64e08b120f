package io.pathdeck.fleet.warmup;

import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Divides the sends that an engine may get among the gateways, without messages between them.
 *
 * <p>For each engine the gateways are ranked by a hash of both; the gateway with rank r of n owns
 * the sends r, r + n, r + 2n and so on. A larger set of gateways never gives a gateway more sends,
 * so the shares of all gateways add up to no more than the whole if each gateway counts every other
 * one that may use its share. Hence a gateway
 *
 * <ul>
 *   <li>uses its share only while the leading coordinator confirms its view, and only once it has
 *       been listed for so long that all others have counted it for a whole window, or are no
 *       longer confirmed;
 *   <li>counts a gateway that has left for {@link #LEAVE_DELAY_MS} more.
 * </ul>
 */
final class GatewayShares {
  /** How long an answer of the leader confirms the view. */
  static final long CONFIRMATION_VALID_MS = 1_500;

  /**
   * How long after it was listed all others count a gateway: validity of a confirmation, the time
   * in which a new leader sends no list of processes, and some margin.
   */
  static final long JOIN_DELAY_MS = 2_600;

  static final long LEAVE_DELAY_MS = 5_000;

  /**
   * A gateway that was unconfirmed for longer joins anew: another one may have joined after this
   * one had left the list, and use a share without counting it.
   */
  private static final long MAX_GAP_MS = 2_500;

  private static final long NEVER = Long.MIN_VALUE;
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private final String ownName;
  private final long ownHash;
  private final Map<String, Long> leftAtMs = new HashMap<>();
  private Set<String> listed = Set.of();
  private long[] otherHashes = {};
  private long version;
  private long listedSinceMs = NEVER;
  private long confirmedAtMs = NEVER;

  GatewayShares(String ownName) {
    this.ownName = ownName;
    this.ownHash = hash(ownName);
  }

  /** Applies the gateways of a new view. */
  void onChange(FleetView view, long nowMs) {
    Set<String> names = new HashSet<>();
    for (FleetProcess gateway : view.withRole(FleetRole.GATEWAY)) {
      names.add(gateway.name());
    }
    for (String name : listed) {
      if (!names.contains(name)) {
        leftAtMs.put(name, nowMs);
      }
    }
    names.forEach(leftAtMs::remove);
    if (!names.contains(ownName)) {
      listedSinceMs = NEVER;
    } else if (listedSinceMs == NEVER) {
      listedSinceMs = nowMs;
    }
    boolean changed = !names.equals(listed);
    listed = names;
    if (changed) {
      countGateways();
    }
  }

  /** Call often: records whether the leading coordinator has confirmed the view recently. */
  void onTick(boolean isConfirmed, long nowMs) {
    boolean gapTooLong = confirmedAtMs != NEVER && nowMs - confirmedAtMs > MAX_GAP_MS;
    if (gapTooLong && listedSinceMs != NEVER) {
      listedSinceMs = nowMs;
    }
    if (isConfirmed || gapTooLong) {
      confirmedAtMs = nowMs;
    }
    if (leftAtMs.values().removeIf(leftMs -> nowMs - leftMs > LEAVE_DELAY_MS)) {
      countGateways();
    }
  }

  private void countGateways() {
    Set<String> others = new HashSet<>(listed);
    others.addAll(leftAtMs.keySet());
    others.remove(ownName);
    otherHashes = others.stream().mapToLong(GatewayShares::hash).toArray();
    version++;
  }

  /**
   * Whether this gateway may use its share of the sends in a window; {@code isConfirmed} as in
   * {@link #onTick}.
   */
  boolean isUsable(boolean isConfirmed, long windowMs, long nowMs) {
    return isConfirmed
        && listedSinceMs != NEVER
        && nowMs - listedSinceMs >= JOIN_DELAY_MS + windowMs;
  }

  /** Changes whenever the ranks change. */
  long version() {
    return version;
  }

  /** The number of gateways among which sends are divided. */
  int gateways() {
    return otherHashes.length + 1;
  }

  /** Returns this gateway's rank for an engine, from 0. */
  int rank(long engineHash) {
    long own = mix(engineHash, ownHash);
    int rank = 0;
    for (long other : otherHashes) {
      rank += mix(engineHash, other) > own ? 1 : 0;
    }
    return rank;
  }

  /** Returns how many of {@code sends} the gateway with this rank owns. */
  static int share(int sends, int rank, int gateways) {
    return rank >= sends ? 0 : (sends - rank + gateways - 1) / gateways;
  }

  static long hash(String text) {
    return LongHashFunction.xx3().hashBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  private static long mix(long engineHash, long gatewayHash) {
    long mixed = (engineHash ^ gatewayHash) * HASH_MULTIPLIER;
    mixed = (mixed ^ (mixed >>> 32)) * HASH_MULTIPLIER;
    return mixed ^ (mixed >>> 29);
  }
}
