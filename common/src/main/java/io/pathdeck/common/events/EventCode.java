package io.pathdeck.common.events;

import org.apache.logging.log4j.Level;

/** The catalogue of logged events. Numbers are stable; docs/EVENTS.md describes each one. */
public enum EventCode {
  PROCESS_STARTED(1001, Level.INFO),
  PROCESS_STOPPING(1002, Level.INFO),
  PROCESS_STOPPED(1003, Level.INFO),
  DUTY_FAILED(1004, Level.ERROR),
  RING_FULL(1005, Level.WARN),
  SETTINGS_REJECTED(1006, Level.ERROR),
  SETTINGS_RELOADED(1007, Level.INFO),
  LINES_LEFT_OUT(1008, Level.INFO),
  METRICS_NOT_SERVED(1009, Level.WARN),
  THREAD_ENDED(1010, Level.ERROR),
  SUSPENSION_NOTICED(1011, Level.WARN),
  CONNECTION_FAILED(1101, Level.DEBUG),
  FRAME_REJECTED(1102, Level.WARN),
  ROLE_CHANGED(2001, Level.INFO),
  REPLICA_BOOTSTRAPPED(2002, Level.INFO),
  REPLICA_WAITS_FOR_MEMBERSHIP(2003, Level.INFO),
  MEMBERSHIP_CHANGED(2004, Level.INFO),
  SNAPSHOT_WRITTEN(2005, Level.INFO),
  SNAPSHOT_INSTALLED(2006, Level.INFO),
  LOG_TAIL_TRUNCATED(2007, Level.WARN),
  LOG_DAMAGED(2008, Level.ERROR),
  STORAGE_FAILED(2009, Level.ERROR),
  STATE_RECOVERED(2010, Level.INFO),
  ENTRIES_SENT_AGAIN(2011, Level.WARN),
  LEADERSHIP_TRANSFERRED(2012, Level.INFO),
  LEADERSHIP_KEPT(2013, Level.WARN),
  VOTERS_MISSING(2014, Level.WARN),
  VOTERS_COMPLETE(2015, Level.INFO),
  ENTRY_UNREADABLE(2016, Level.ERROR),
  DATA_FOLDER_GIVEN_UP(2017, Level.ERROR),
  SET_ASIDE_FOLDER_DELETED(2018, Level.INFO),
  DECLARATION_APPLIED(2101, Level.INFO),
  COORDINATORS_REACHED(2201, Level.INFO),
  COORDINATORS_LOST(2202, Level.WARN),
  ROUTES_UPDATED(2203, Level.INFO),
  ROUTES_ACCEPTED(2204, Level.INFO),
  ROUTES_REFUSED(2205, Level.WARN),
  JOBS_GROUP_FOUNDED(2206, Level.INFO),
  PROCESS_JOINED(2207, Level.INFO),
  PROCESS_LOST(2208, Level.WARN),
  ENGINE_LIST_CHANGED(2209, Level.INFO),
  ENGINE_LIST_UNREACHABLE(2210, Level.WARN),
  STORE_LEAVING(2211, Level.INFO),
  NETWORK_TRUSTED(2212, Level.WARN),
  LAST_KNOWN_TOLD(2213, Level.INFO),
  LAST_KNOWN_NOT_WRITTEN(2214, Level.WARN),
  STORE_ASSIGNED(2215, Level.INFO),
  JOBS_GROUP_JOINED(2216, Level.INFO),
  ENGINE_ENTRY_REJECTED(2219, Level.WARN, true),
  EVACUATION_ACCEPTED(2220, Level.INFO),
  EVACUATION_REFUSED(2221, Level.WARN),
  EVACUATED_ZONES_UPDATED(2222, Level.INFO),
  FOUNDING_REFUSED(2223, Level.ERROR),
  FOUNDERS_LEARNED(2225, Level.INFO),
  REQUEST_QUARANTINED(2217, Level.WARN),
  REQUEST_RELEASED(2218, Level.INFO),
  QUARANTINE_TRIAL(2224, Level.INFO),
  QUARANTINE_TRIAL_ENDED(2226, Level.INFO),
  CONFIGURATION_UPDATED(3001, Level.INFO),
  CONFIGURATION_LEASE_LAPSED(3002, Level.WARN),
  CONFIGURATION_LEASE_RENEWED(3003, Level.INFO),
  ENGINE_EJECTED(3101, Level.WARN),
  ENGINE_READMITTED(3102, Level.INFO),
  ATTEMPT_FAILED(3103, Level.WARN, true),
  STREAM_RESUMED(3104, Level.INFO, true),
  REQUEST_REFUSED(3105, Level.INFO, true),
  REQUEST_FAILED(3106, Level.WARN, true),
  CALLER_TOO_SLOW(3107, Level.WARN, true),
  REQUEST_SERVED(3108, Level.INFO, true),
  BATCH_CALL(3109, Level.INFO, true),
  JOB_NOT_READABLE(3117, Level.WARN, true),
  ENGINE_ANSWER_DROPPED(3110, Level.WARN, true),
  ENGINE_CHECKED(3111, Level.INFO, true),
  ENGINE_ENDED_UNDER_REQUEST(3112, Level.WARN, true),
  SENDS_HELD_BACK(3113, Level.WARN, true),
  CALLER_LEFT(3116, Level.INFO, true),
  MEMORY_BUDGET_REACHED(3130, Level.WARN, true),
  ENGINE_COLD(3140, Level.INFO, true),
  COLD_SENDS_SUSPENDED(3141, Level.WARN),
  COLD_SENDS_RESUMED(3142, Level.INFO),
  LOAD_SHARING_STARTED(3120, Level.INFO),
  LOAD_SHARING_FAILED(3121, Level.WARN),
  LOAD_SHARING_STOPPED(3122, Level.INFO),
  ITEM_RETRIED(4001, Level.WARN, true),
  ITEM_STARTED(4004, Level.INFO, true),
  ITEM_LISTED(4005, Level.INFO, true),
  ITEM_WAITS(4006, Level.WARN, true),
  JOB_ACCEPTED(4016, Level.INFO, true),
  JOB_REFUSED(4017, Level.WARN, true),
  LEASE_REVOKED(4002, Level.INFO),
  PARTITION_UNREACHABLE(4003, Level.WARN),
  STAND_IN_FAULT(9001, Level.INFO);

  private final int number;
  private final Level level;
  private final boolean ofRequests;

  EventCode(int number, Level level) {
    this(number, level, false);
  }

  EventCode(int number, Level level, boolean ofRequests) {
    this.number = number;
    this.level = level;
    this.ofRequests = ofRequests;
  }

  /** Whether the event touches single requests, so that its lines are limited. */
  boolean isOfRequests() {
    return ofRequests;
  }

  /** The stable identifier, for example {@code PD-1001}. */
  public String id() {
    return "PD-" + number;
  }

  /** The event's name in lower case with hyphens. */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }

  /** The level at which the event is logged. */
  public Level level() {
    return level;
  }
}
