package io.pathdeck.testkit.sim;

import io.pathdeck.control.GroupRuntime;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Injects the faults of a scenario at random times and mends them after a while. */
final class FaultInjector {
  private static final long MIN_PAUSE_MS = 800;
  private static final long MAX_PAUSE_MS = 3_500;

  private final SimFleet fleet;
  private final Simulation simulation;
  private final List<Fault> faults;
  private final OperatorActor operator;
  private final Map<Fault, Integer> counts = new EnumMap<>(Fault.class);
  private boolean stopped;

  FaultInjector(SimFleet fleet, Scenario scenario, OperatorActor operator) {
    this.fleet = fleet;
    this.simulation = fleet.simulation();
    this.faults = scenario.faults();
    this.operator = operator;
  }

  Map<Fault, Integer> counts() {
    return counts;
  }

  void run() {
    if (stopped || faults.isEmpty()) {
      return;
    }
    Fault fault = faults.get(simulation.random().nextInt(faults.size()));
    if (inject(fault)) {
      simulation.trace(fault);
      counts.merge(fault, 1, Integer::sum);
    }
    simulation.scheduleMs(simulation.between(MIN_PAUSE_MS, MAX_PAUSE_MS), this::run);
  }

  /** Ends all faults: everything lives, is thawed and connected. */
  void stopAndHeal() {
    stopped = true;
    heal();
  }

  private void heal() {
    fleet.network().heal();
    for (SimProcess process : fleet.processes()) {
      process.thaw();
      process.start();
    }
    fleet.controllers().forEach(controller -> controller.setSlowSync(0));
    for (SimEngine engine : fleet.engines()) {
      engine.setMode(SimEngine.Mode.NORMAL);
      engine.setLeaving(false);
    }
  }

  private boolean inject(Fault fault) {
    return switch (fault) {
      case KILL -> killOne();
      case KILL_ALL -> killAllControllers();
      case DISK_LOSS -> loseDisks(1);
      case TWO_DISKS_LOST -> loseDisks(2);
      case LOSS_AFTER_REPAIR -> loseAfterRepair();
      case CUT_LEADER -> cutLeader();
      case CUT_NODE -> cutNode();
      case FREEZE -> freezeOne();
      case LOSSY_NETWORK -> loseMessages();
      case SLOW_DISK -> slowDisk();
      case DISK_ERROR -> failDisk();
      case CLOCK_JUMP -> jumpClock();
      case ENGINE_FAULT -> breakEngine();
      case DRAIN_ENGINE -> drainEngine();
      case PLANNED_STOP -> stopAsPlanned();
    };
  }

  private <T> T pick(List<T> from) {
    return from.get(simulation.random().nextInt(from.size()));
  }

  private void restartLater(SimProcess process, long mostMs) {
    simulation.scheduleMs(simulation.between(50, mostMs), process::start);
  }

  private boolean killOne() {
    List<SimProcess> candidates = new ArrayList<>(fleet.processes());
    candidates.remove(fleet.callers());
    SimProcess victim = pick(candidates);
    victim.kill();
    restartLater(victim, 4_000);
    return true;
  }

  private boolean killAllControllers() {
    for (SimController controller : fleet.controllers()) {
      controller.kill();
      restartLater(controller, 1_500);
    }
    return true;
  }

  // ---- lost disks

  /** Whether every group counts this controller, with its present disk, as a voter. */
  private boolean isRepaired(SimController controller) {
    for (int group = 0; group <= SimFleet.PARTITIONS; group++) {
      Optional<SimController> leader = fleet.leaderOf(group);
      if (leader.isEmpty() || !isVoter(leader.get().groups().get(group), controller)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isVoter(GroupRuntime group, SimController controller) {
    Optional<Member> member =
        group.replica().configuration().flatMap(members -> members.find(controller.id()));
    return member.isPresent()
        && member.get().voter()
        && member.get().incarnation() == controller.disk().incarnation();
  }

  private boolean allRepaired() {
    return fleet.controllers().stream().allMatch(this::isRepaired);
  }

  /** Loses disks, if all earlier losses have been repaired: more would be past what is promised. */
  private boolean loseDisks(int count) {
    if (!allRepaired()) {
      return false;
    }
    List<SimController> candidates = new ArrayList<>(fleet.controllers());
    for (int i = 0; i < count; i++) {
      SimController victim = pick(candidates);
      candidates.remove(victim);
      victim.loseDisk();
      restartLater(victim, 3_000);
    }
    return true;
  }

  private boolean loseAfterRepair() {
    if (!allRepaired()) {
      return false;
    }
    SimController first = pick(fleet.controllers());
    first.loseDisk();
    restartLater(first, 500);
    awaitRepairAndLoseAnother(first);
    return true;
  }

  private void awaitRepairAndLoseAnother(SimController first) {
    simulation.scheduleMs(
        20,
        () -> {
          if (stopped) {
            return;
          }
          if (!isRepaired(first)) {
            awaitRepairAndLoseAnother(first);
            return;
          }
          List<SimController> others = new ArrayList<>(fleet.controllers());
          others.remove(first);
          SimController second = pick(others);
          second.loseDisk();
          restartLater(second, 2_000);
        });
  }

  // ---- cuts and freezes

  private boolean cutLeader() {
    Optional<SimController> leader =
        fleet.leaderOf(simulation.random().nextInt(SimFleet.PARTITIONS + 1));
    if (leader.isEmpty()) {
      return false;
    }
    String name = leader.get().name;
    List<String> controllers =
        fleet.controllers().stream().map(controller -> controller.name).toList();
    switch (simulation.random().nextInt(3)) {
      case 0 -> fleet.network().isolate(name, fleet.names());
      case 1 -> fleet.network().isolate(name, controllers);
      default -> fleet.network().cutInbound(name, controllers);
    }
    simulation.scheduleMs(simulation.between(500, 6_000), () -> fleet.network().heal());
    return true;
  }

  private boolean cutNode() {
    List<SimProcess> candidates = new ArrayList<>(fleet.nodes());
    candidates.addAll(fleet.dispatchers());
    List<String> controllers =
        fleet.controllers().stream().map(controller -> controller.name).toList();
    fleet.network().isolate(pick(candidates).name, controllers);
    simulation.scheduleMs(simulation.between(500, 8_000), () -> fleet.network().heal());
    return true;
  }

  private boolean freezeOne() {
    List<SimProcess> candidates = new ArrayList<>(fleet.controllers());
    candidates.addAll(fleet.nodes());
    candidates.addAll(fleet.dispatchers());
    SimProcess victim = pick(candidates);
    victim.freeze();
    simulation.scheduleMs(simulation.between(300, 5_000), victim::thaw);
    return true;
  }

  private boolean loseMessages() {
    fleet
        .network()
        .setFaults(
            simulation.random().nextDouble() * 0.2,
            simulation.random().nextDouble() * 0.2,
            simulation.between(0, 120));
    simulation.scheduleMs(simulation.between(500, 4_000), () -> fleet.network().setFaults(0, 0, 0));
    return true;
  }

  // ---- disks and clocks

  private boolean slowDisk() {
    SimController victim = pick(fleet.controllers());
    victim.setSlowSync(simulation.between(50, 800));
    simulation.scheduleMs(simulation.between(500, 4_000), () -> victim.setSlowSync(0));
    return true;
  }

  private boolean failDisk() {
    SimController victim = pick(fleet.controllers());
    victim.failDisk();
    simulation.scheduleMs(simulation.between(1_000, 4_000), victim::start);
    return true;
  }

  private boolean jumpClock() {
    pick(fleet.controllers()).jumpWallClock(simulation.between(-7_200_000, 7_200_000));
    return true;
  }

  // ---- engines and planned stops

  private boolean breakEngine() {
    SimEngine victim = pick(fleet.engines());
    List<SimEngine.Mode> modes = List.of(SimEngine.Mode.values());
    SimEngine.Mode mode = pick(modes);
    if (mode == SimEngine.Mode.NORMAL) {
      victim.kill();
      restartLater(victim, 3_000);
      return true;
    }
    victim.setMode(mode);
    simulation.scheduleMs(
        simulation.between(300, 5_000), () -> victim.setMode(SimEngine.Mode.NORMAL));
    return true;
  }

  private boolean drainEngine() {
    SimEngine engine = pick(fleet.engines());
    if (simulation.chance(0.5)) {
      operator.drainFor(engine.name, simulation.between(5_000, 9_000));
    } else {
      engine.setLeaving(true);
      simulation.scheduleMs(simulation.between(1_000, 6_000), () -> engine.setLeaving(false));
    }
    return true;
  }

  private boolean stopAsPlanned() {
    switch (simulation.random().nextInt(3)) {
      case 0 -> {
        SimNode node = pick(fleet.nodes());
        node.stopAsPlanned(() -> restartLater(node, 1_000));
      }
      case 1 -> {
        SimDispatcher dispatcher = pick(fleet.dispatchers());
        if (dispatcher.isAlive()) {
          dispatcher.stopAsPlanned(() -> restartLater(dispatcher, 1_000));
        }
      }
      default -> {
        SimController controller = pick(fleet.controllers());
        controller.kill();
        restartLater(controller, 1_000);
      }
    }
    return true;
  }
}
