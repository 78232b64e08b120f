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

/**
 * Keeps tenants within their limits together with all other gateways; confined to the event loop.
 */
final class TenantLimiter {
  /** What became of a request. */
  enum Outcome {
    ADMITTED,
    OVER_LIMIT,

    /** Whether the request fits into the limit cannot be told now. */
    UNDECIDED
  }

  /**
   * How long a request waits for the leader's word. An answer takes two one-way delays, some 2 ms;
   * a frozen or lost leader must not cost a caller more than half of a usual objective of 300 ms.
   */
  private static final long ASK_TIMEOUT_MS = 150;

  private final EventLoop eventLoop;
  private final GroupClient coordinators;
  private final String gateway;
  private final long incarnation;
  private final AdmissionController admissionController;

  TenantLimiter(
      EventLoop eventLoop, GroupClient coordinators, String gateway, long life, long windowMs) {
    this.eventLoop = eventLoop;
    this.coordinators = coordinators;
    this.gateway = gateway;
    this.incarnation = life;
    this.admissionController = new AdmissionController(windowMs, nowMs());
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Tells {@code decided} whether the tenant's limit has room for one more request. */
  void admit(CallerTenant tenant, Consumer<Outcome> decided) {
    if (!tenant.isLimited()) {
      decided.accept(Outcome.ADMITTED);
      return;
    }
    switch (admissionController.decide(tenant.name(), nowMs())) {
      case ADMIT -> admitted(tenant.name(), decided);
      case REFUSE -> decided.accept(Outcome.OVER_LIMIT);
      case ASK_LEADER -> askLeader(tenant.name(), decided);
      default -> decided.accept(Outcome.UNDECIDED);
    }
  }

  private void askLeader(String tenant, Consumer<Outcome> decided) {
    coordinators
        .call(new AdmissionRequest(gateway, incarnation, tenant), ASK_TIMEOUT_MS, ASK_TIMEOUT_MS)
        .thenAcceptAsync(answer -> onAnswer(tenant, answer, decided), eventLoop);
  }

  private void onAnswer(
      String tenant, Result<Message, GroupCallError> answer, Consumer<Outcome> decided) {
    boolean answered = answer.isOk() && answer.value() instanceof AdmissionReply;
    if (answered && !((AdmissionReply) answer.value()).admitted()) {
      admissionController.onRefused(tenant, nowMs());
      decided.accept(Outcome.OVER_LIMIT);
    } else if (answered || admissionController.mayAdmitWithoutLeader(tenant, nowMs())) {
      admitted(tenant, decided);
    } else {
      decided.accept(Outcome.UNDECIDED);
    }
  }

  private void admitted(String tenant, Consumer<Outcome> decided) {
    admissionController.onAdmitted(tenant, nowMs());
    decided.accept(Outcome.ADMITTED);
  }

  /** The leader told which tenants are near their limits. */
  void onContendedTenants(List<String> contended) {
    admissionController.onContendedTenants(contended, nowMs());
  }

  /** What to tell the leader. */
  List<TenantUse> tenantUses() {
    return admissionController.tenantUses(nowMs());
  }
}
