package io.pathdeck.fleet.gateway;

import io.netty.channel.EventLoop;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.limit.AdmissionController;
import io.pathdeck.fleet.member.GroupCallError;
import io.pathdeck.fleet.member.GroupClient;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.TenantUse;
import io.pathdeck.protocol.message.AdmissionReply;
import io.pathdeck.protocol.message.AdmissionRequest;
import io.pathdeck.protocol.message.Message;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Enforces tenants' rate limits together with all other gateways; confined to the event loop. */
final class TenantLimiter {
  enum Outcome {
    ADMITTED,
    OVER_LIMIT,

    /** The leader did not decide, and local counts do not show that the limit has room. */
    UNDECIDED
  }

  /**
   * How long a request waits for the leader's decision; half of a usual latency target of 300 ms,
   * so that an unresponsive leader costs callers no more than that.
   */
  private static final long ASK_TIMEOUT_MS = 150;

  private final EventLoop eventLoop;
  private final GroupClient coordinators;
  private final String gateway;
  private final long incarnation;
  private final AdmissionController admissionController;

  TenantLimiter(
      EventLoop eventLoop,
      GroupClient coordinators,
      String gateway,
      long incarnation,
      long windowMs) {
    this.eventLoop = eventLoop;
    this.coordinators = coordinators;
    this.gateway = gateway;
    this.incarnation = incarnation;
    this.admissionController = new AdmissionController(windowMs, nowMs());
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Reports to {@code callback} whether the tenant's limit has room for one more request. */
  void admit(CallerTenant tenant, Consumer<Outcome> callback) {
    if (!tenant.isLimited()) {
      callback.accept(Outcome.ADMITTED);
      return;
    }
    switch (admissionController.decide(tenant.name(), nowMs())) {
      case ADMIT -> completeAdmission(tenant.name(), callback);
      case REFUSE -> callback.accept(Outcome.OVER_LIMIT);
      case ASK_LEADER -> askLeader(tenant.name(), callback);
      default -> callback.accept(Outcome.UNDECIDED);
    }
  }

  private void askLeader(String tenant, Consumer<Outcome> callback) {
    coordinators
        .call(new AdmissionRequest(gateway, incarnation, tenant), ASK_TIMEOUT_MS, ASK_TIMEOUT_MS)
        .thenAcceptAsync(reply -> onReply(tenant, reply, callback), eventLoop);
  }

  private void onReply(
      String tenant, Result<Message, GroupCallError> reply, Consumer<Outcome> callback) {
    boolean replied = reply.isOk() && reply.value() instanceof AdmissionReply;
    if (replied && !((AdmissionReply) reply.value()).admitted()) {
      admissionController.onRefused(tenant, nowMs());
      callback.accept(Outcome.OVER_LIMIT);
    } else if (replied || admissionController.mayAdmitWithoutLeader(tenant, nowMs())) {
      completeAdmission(tenant, callback);
    } else {
      callback.accept(Outcome.UNDECIDED);
    }
  }

  private void completeAdmission(String tenant, Consumer<Outcome> callback) {
    admissionController.onAdmitted(tenant, nowMs());
    callback.accept(Outcome.ADMITTED);
  }

  /** Replaces the tenants that the leader reports as near their limits. */
  void onContendedTenants(List<String> tenants) {
    admissionController.onContendedTenants(tenants, nowMs());
  }

  /** Returns the tenants' usage at this gateway, to report to the leader. */
  List<TenantUse> tenantUses() {
    return admissionController.tenantUses(nowMs());
  }
}
