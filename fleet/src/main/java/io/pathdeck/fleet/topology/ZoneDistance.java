package io.pathdeck.fleet.topology;

/** How far two zones are apart, nearest first. */
public enum ZoneDistance {
  SAME_ZONE,
  SAME_REGION,
  OTHER_REGION
}
