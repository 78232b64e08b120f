package io.pathdeck.fleet.queue;

import java.util.Comparator;

/**
 * The urgency of a waiting request; the lowest rank is sent first.
 *
 * @param retry whether an engine failed the request before, so that its caller has already waited
 * @param tenantPriority the priority of its tenant; 0 is most urgent
 * @param routePriority the priority of its route; 0 is most urgent
 */
public record Rank(boolean retry, int tenantPriority, int routePriority)
    implements Comparable<Rank> {
  private static final Comparator<Rank> ORDER =
      Comparator.comparing((Rank rank) -> !rank.retry())
          .thenComparingInt(Rank::tenantPriority)
          .thenComparingInt(Rank::routePriority);

  @Override
  public int compareTo(Rank other) {
    return ORDER.compare(this, other);
  }
}
