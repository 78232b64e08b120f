package io.pathdeck.fleet.coordinator;

import io.pathdeck.control.GroupRuntime;
import io.pathdeck.fleet.limit.TenantLedger;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.TenantUse;
import io.pathdeck.protocol.message.AdmissionReply;
import io.pathdeck.protocol.message.AdmissionRequest;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.state.FleetStateMachine;
import java.util.List;
import java.util.Optional;

/**
 * Keeps tenants within their limits for the leading coordinator; runs on the thread of the
 * consensus duty.
 */
final class TenantAdmission {
  private final GroupRuntime group;
  private final FleetStateMachine state;
  private final TenantLedger ledger;

  /**
   * Creates an admission that knows of no gateway yet.
   *
   * @param limitWindowMs the span over which limits hold
   */
  TenantAdmission(GroupRuntime group, FleetStateMachine state, long limitWindowMs) {
    this.group = group;
    this.state = state;
    this.ledger = new TenantLedger(limitWindowMs);
  }

  /** Forgets everything, for a new leadership. */
  void clear() {
    ledger.clear();
  }

  /** Forgets gateways that are gone for longer than limits look back. */
  void expire(long nowMs) {
    ledger.expire(nowMs);
  }

  /** Takes what a process has admitted, and returns the tenants that it has to ask for. */
  List<String> onHeartbeat(FleetProcess sender, List<TenantUse> uses, long nowMs) {
    if (sender.role() != FleetRole.GATEWAY) {
      return List.of();
    }
    ledger.onHeartbeat(sender.name(), sender.incarnation(), uses, nowMs);
    return state.routeTable().map(table -> ledger.contended(table.tenants())).orElse(List.of());
  }

  /**
   * Admits one request of a contended tenant, or not.
   *
   * @param allHeard whether this leader has had the time to hear of all gateways
   */
  Message decide(AdmissionRequest request, boolean allHeard, long nowMs) {
    if (!group.isLeading()) {
      return group.notLeader();
    }
    if (!allHeard) {
      return new Unavailable("not all gateways were heard yet", false);
    }
    Optional<CallerTenant> tenant =
        state.routeTable().flatMap(table -> table.tenant(request.tenant()));
    boolean admitted =
        tenant.isPresent()
            && ledger.tryAdmit(request.gateway(), request.life(), tenant.get(), nowMs);
    return new AdmissionReply(admitted);
  }
}
