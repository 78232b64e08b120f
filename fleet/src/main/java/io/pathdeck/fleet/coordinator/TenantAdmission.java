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
 * Enforces the rate limits of tenants on the leading coordinator; runs on the consensus thread.
 *
 * <p>Gateways admit requests on their own and report them in heartbeats. A tenant near its limit is
 * contended: the leader then admits its requests one by one.
 */
final class TenantAdmission {
  private final GroupRuntime group;
  private final FleetStateMachine state;
  private final TenantLedger ledger;

  /**
   * Creates an admission control that knows no gateway yet.
   *
   * @param group the replicated group of the coordinators
   * @param state the replicated fleet state, which contains the limits
   * @param limitWindowMs time window of the limits
   */
  TenantAdmission(GroupRuntime group, FleetStateMachine state, long limitWindowMs) {
    this.group = group;
    this.state = state;
    this.ledger = new TenantLedger(limitWindowMs);
  }

  /** Discards all reports and admissions; called when the leadership changes. */
  void clear() {
    ledger.clear();
  }

  /** Removes gateways that have been silent for longer than the window of the limits. */
  void removeSilentGateways(long nowMs) {
    ledger.expire(nowMs);
  }

  /** Records the requests that a gateway has admitted, and returns the contended tenants. */
  List<String> onHeartbeat(FleetProcess sender, List<TenantUse> uses, long nowMs) {
    if (sender.role() != FleetRole.GATEWAY) {
      return List.of();
    }
    ledger.onHeartbeat(sender.name(), sender.incarnation(), uses, nowMs);
    return state
        .routeTable()
        .map(table -> ledger.contendedTenants(table.tenants()))
        .orElse(List.of());
  }

  /**
   * Admits or rejects one request of a contended tenant.
   *
   * @param request the request of a gateway for admission
   * @param collectionDone whether all gateways have had time to report to this leader
   * @param nowMs the current time
   */
  Message decide(AdmissionRequest request, boolean collectionDone, long nowMs) {
    if (!group.isLeading()) {
      return group.notLeader();
    }
    if (!collectionDone) {
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
