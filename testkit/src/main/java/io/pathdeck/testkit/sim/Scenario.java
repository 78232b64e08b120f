package io.pathdeck.testkit.sim;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Which kinds of faults a run injects. */
public enum Scenario {
  NONE("no faults"),
  KILL("controllers, nodes, dispatchers and engines are killed at any step", Fault.KILL),
  KILL_ALL("all controllers are killed at the same time", Fault.KILL_ALL, Fault.KILL),
  DISK_LOSS("a controller loses its disk after acknowledging writes", Fault.DISK_LOSS),
  TWO_LOST(
      "two controllers lose their disks together, while leaders are cut off or killed",
      Fault.TWO_DISKS_LOST,
      Fault.CUT_LEADER,
      Fault.KILL),
  LOSS_AFTER_REPAIR("a second disk is lost right after a repair", Fault.LOSS_AFTER_REPAIR),
  CUT_LEADER("a leader is cut off in silence for long, then back", Fault.CUT_LEADER),
  NODE_CUT("nodes and dispatchers are cut off from the controllers", Fault.CUT_NODE),
  FREEZE("processes freeze and go on", Fault.FREEZE),
  NETWORK("messages are lost, doubled, delayed and reordered", Fault.LOSSY_NETWORK),
  SLOW_DISK("disks are slow or fail with an error", Fault.SLOW_DISK, Fault.DISK_ERROR),
  CLOCKS("wall clocks jump", Fault.CLOCK_JUMP),
  OPERATORS("operators race while controllers are killed", Fault.KILL, Fault.CUT_LEADER),
  RESENDS("answers are lost and commands resent", Fault.LOSSY_NETWORK, Fault.CUT_LEADER),
  SNAPSHOTS("controllers restart from snapshots", Fault.KILL_ALL, Fault.KILL, Fault.DISK_LOSS),
  MANY_CHANGES("controllers restart after many configuration changes", Fault.KILL_ALL),
  CLAIMS("non-repeatable requests are resent through other nodes", Fault.KILL, Fault.CUT_NODE),
  ENGINES("engines crash, hang, cut answers short or answer late", Fault.ENGINE_FAULT),
  DRAIN("operators drain engines, and engines leave", Fault.DRAIN_ENGINE, Fault.ENGINE_FAULT),
  PLANNED_STOP("nodes, dispatchers and controllers are stopped as planned", Fault.PLANNED_STOP),
  MIXED("everything, together and twice", EnumSet.allOf(Fault.class));

  private final String description;
  private final Set<Fault> faults;

  Scenario(String description, Fault... faults) {
    this.description = description;
    this.faults = faults.length == 0 ? EnumSet.noneOf(Fault.class) : Set.copyOf(List.of(faults));
  }

  Scenario(String description, Set<Fault> faults) {
    this.description = description;
    this.faults = faults;
  }

  /** What happens in the scenario. */
  public String description() {
    return description;
  }

  /** The kinds of faults, in a fixed order. */
  List<Fault> faults() {
    return faults.stream().sorted().toList();
  }

  /** The name on the command line. */
  public String optionName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The scenario with this command line name. */
  public static Optional<Scenario> parse(String optionName) {
    for (Scenario scenario : values()) {
      if (scenario.optionName().equals(optionName)) {
        return Optional.of(scenario);
      }
    }
    return Optional.empty();
  }
}
