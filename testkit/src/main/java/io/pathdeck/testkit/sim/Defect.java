package io.pathdeck.testkit.sim;

import java.util.Locale;
import java.util.Optional;

/**
 * Deliberate defects of the simulated fleet. The oracle must notice each one; a test asserts it.
 */
public enum Defect {
  NONE("no defect", Scenario.MIXED),
  ACKNOWLEDGE_BEFORE_SYNC("the disk reports records as synced before they are", Scenario.KILL_ALL),
  ACKNOWLEDGE_BEFORE_COMMIT(
      "the leader answers a command before a quorum has it", Scenario.CUT_LEADER),
  SAME_INCARNATION_AFTER_DISK_LOSS(
      "a controller that lost its disk votes as if it had not", Scenario.TWO_LOST),
  SKIP_DAMAGED_ENTRY("recovery skips an entry in the middle of the log", Scenario.KILL_ALL),
  STALE_READS("any controller answers reads from what it has applied", Scenario.CUT_LEADER),
  LEASE_LONGER_THAN_ELECTION(
      "a cut-off leader goes on answering reads after another was elected", Scenario.CUT_LEADER),
  VERSION_CHECK_IGNORED("an operator's expected version is not compared", Scenario.OPERATORS),
  RESENT_COMMAND_RUNS_AGAIN("a resent command is not recognised", Scenario.RESENDS),
  SNAPSHOT_WITHOUT_ANSWERS("a snapshot forgets the stored answers of commands", Scenario.SNAPSHOTS),
  SNAPSHOT_WITHOUT_RESULTS("a snapshot forgets items' results", Scenario.SNAPSHOTS),
  SNAPSHOT_WITHOUT_CLAIMS("a snapshot forgets claims", Scenario.SNAPSHOTS),
  NOT_RUN_SAID_WRONGLY("a command in doubt is refused as if it had not run", Scenario.CUT_LEADER),
  CANCEL_NOT_STORED("a cancelled job is reported cancelled but goes on", Scenario.NONE),
  CONFIGURATION_LEASE_IGNORED(
      "a node serves on after its configuration lease lapsed", Scenario.NODE_CUT),
  CONFIGURATION_FROM_STALE_REPLICA(
      "a restarted node takes the configuration of a replica that lags", Scenario.PLANNED_STOP),
  RUN_BEFORE_CLAIM("a node runs a non-repeatable request without its claim", Scenario.CLAIMS),
  RETRY_OF_NON_REPEATABLE(
      "a non-repeatable request is tried again after an attempt that may have run",
      Scenario.ENGINES),
  LATE_ANSWER_ACCEPTED("events of a superseded attempt reach the caller", Scenario.ENGINES),
  SHORT_ANSWER_ACCEPTED("a stream that broke off counts as whole", Scenario.ENGINES),
  PRIORITY_IGNORED("online requests wait behind batch items", Scenario.NONE),
  DRAINING_IGNORED("an engine that is leaving still gets work", Scenario.DRAIN),
  STOP_CUTS_REQUESTS("a planned stop ends a node at once", Scenario.PLANNED_STOP),
  REFUSED_AFTER_RUN("a request that ran is refused as not run", Scenario.ENGINES);

  private final String description;
  private final Scenario scenario;

  Defect(String description, Scenario scenario) {
    this.description = description;
    this.scenario = scenario;
  }

  /** What is wrong. */
  public String description() {
    return description;
  }

  /** The scenario that shows it. */
  public Scenario scenario() {
    return scenario;
  }

  /** The name on the command line. */
  public String optionName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The defect with this command line name. */
  public static Optional<Defect> parse(String optionName) {
    for (Defect defect : values()) {
      if (defect.optionName().equals(optionName)) {
        return Optional.of(defect);
      }
    }
    return Optional.empty();
  }
}
