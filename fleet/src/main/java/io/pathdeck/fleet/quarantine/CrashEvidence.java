package io.pathdeck.fleet.quarantine;

/**
 * What crashes of engines say against a suspect.
 *
 * @param crashes number of crashes at which it was in progress; for a part, simultaneous ones count
 *     once
 * @param weight how much they count together
 * @param requests number of different requests that they interrupted, as far as counted
 * @param items how many of these are batch items
 * @param explainsMost whether the suspect was in progress at most crashes since the first of them,
 *     and shortly before
 */
record CrashEvidence(int crashes, double weight, int requests, int items, boolean explainsMost) {
  /** The share of crashes that counts as most of them. */
  static final double MOST = 0.75;
}
