package io.pathdeck.fleet.quarantine;

import java.util.BitSet;

/**
 * Estimates how many parts of prompts would by chance be in progress at as many groups of crashes
 * as a part. The chance to be at a group is that of the other parts at the same position of
 * prompts: where most of them are in progress, it tells little that this one is, too.
 *
 * <p>The first group selects the part, so it is no evidence.
 */
final class PartChances {
  /** The weight of the mean of all groups, as a number of parts, beside those at a group. */
  private static final double WEIGHT_OF_MEAN = 24;

  /**
   * What is assumed beside the counted interruptions, which may be few: one part in ten is
   * interrupted again.
   */
  private static final double ASSUMED_OPPORTUNITIES = 10;

  private static final double ASSUMED_AGAIN = 1;

  private final BitSet crashes;
  private final double minChance;
  private final int[] interruptions;
  private int interruptedAgain;
  private int others;
  private int served;

  /**
   * Creates the chances at some groups, as long as no other parts are known.
   *
   * @param crashes the groups that the part explains
   * @param groups number of groups
   * @param minChance the least chance of the part to be at a group
   */
  PartChances(BitSet crashes, int groups, double minChance) {
    this.crashes = crashes;
    this.minChance = minChance;
    this.interruptions = new int[groups];
  }

  /**
   * Adds another part at the same position of prompts.
   *
   * @param interrupted the groups at which it was in progress, at least one
   * @param wasServedSince whether it was served since the first group
   */
  void addOther(BitSet interrupted, boolean wasServedSince) {
    others++;
    interruptedAgain += interrupted.cardinality() - 1;
    interrupted.stream().forEach(group -> interruptions[group]++);
    served += wasServedSince ? 1 : 0;
  }

  /** Returns the number of parts that are expected at as many groups. */
  double expected() {
    if (interruptions.length == 0) {
      return 0;
    }
    int hits = (int) crashes.stream().filter(group -> group > 0).count();
    return (others + 1) * chanceOfAtLeast(hits);
  }

  /** Returns the number of parts that are expected at as many groups and not served since. */
  double expectedUnserved() {
    return expected() * (others - served + 1) / (others + 2);
  }

  /** The upper tail of the Poisson binomial distribution. */
  private double chanceOfAtLeast(int hits) {
    double[] chanceOfCount = new double[interruptions.length];
    chanceOfCount[0] = 1;
    for (int group = 1; group < interruptions.length; group++) {
      double chance = chanceAt(group);
      for (int count = group; count > 0; count--) {
        chanceOfCount[count] += chance * (chanceOfCount[count - 1] - chanceOfCount[count]);
      }
      chanceOfCount[0] *= 1 - chance;
    }
    double sum = 0;
    for (int count = hits; count < chanceOfCount.length; count++) {
      sum += chanceOfCount[count];
    }
    return sum;
  }

  private double chanceAt(int group) {
    int furtherGroups = interruptions.length - 1;
    double mean =
        (interruptedAgain + ASSUMED_AGAIN) / (others * furtherGroups + ASSUMED_OPPORTUNITIES);
    double chance = (interruptions[group] + WEIGHT_OF_MEAN * mean) / (others + WEIGHT_OF_MEAN);
    return Math.max(minChance, chance);
  }
}
