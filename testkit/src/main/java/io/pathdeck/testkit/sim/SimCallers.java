package io.pathdeck.testkit.sim;

import io.pathdeck.common.duty.Duty;
import java.util.List;

/** The process of operators and batch callers; it has no duties of the system. */
final class SimCallers extends SimProcess {
  SimCallers(Simulation simulation) {
    super("callers", simulation);
  }

  @Override
  List<Duty> boot() {
    return List.of();
  }
}
