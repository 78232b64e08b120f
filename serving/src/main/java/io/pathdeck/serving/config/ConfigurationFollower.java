package io.pathdeck.serving.config;

import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.message.ConfigurationHeartbeat;
import io.pathdeck.protocol.message.ConfigurationUpdate;
import io.pathdeck.state.DeclarationStore;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Updates a process's configuration and renews its lease.
 *
 * <p>The lease period starts when the heartbeat is <em>sent</em>, so after a pause or a network
 * partition the process detects a possibly stale configuration. Lower versions are ignored.
 */
public final class ConfigurationFollower implements Duty {
  private static final EventLog EVENTS = EventLog.of(ConfigurationFollower.class);
  private static final long HEARTBEAT_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAX_IDLE_NS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long HEARTBEAT_TIMEOUT_MS = 2_000;

  private record HeartbeatResponse(
      long sentAtNs, Result<ConfigurationUpdate, ControlError> result) {}

  private final String processId;
  private final String role;
  private final ControlPlane controllers;
  private final LongSupplier clockNs;
  private final BoundedRing<Object> ring = new BoundedRing<>(16);
  private final DeclarationStore store = new DeclarationStore();
  private final Section<ConfigurationView> section = new Section<>(ConfigurationView.EMPTY);
  private volatile long leaseExpiresAtNs;
  private boolean loggedLease;
  private boolean heartbeatPending;
  private long nextHeartbeatNs;

  /**
   * Creates a follower without a lease.
   *
   * @param clockNs the monotonic clock; must be thread-safe
   */
  public ConfigurationFollower(
      String processId, String role, ControlPlane controllers, LongSupplier clockNs) {
    this.clockNs = clockNs;
    this.leaseExpiresAtNs = clockNs.getAsLong() - 1;
    this.nextHeartbeatNs = clockNs.getAsLong();
    this.processId = processId;
    this.role = role;
    this.controllers = controllers;
  }

  /** Returns the last known configuration. */
  public Section<ConfigurationView> section() {
    return section;
  }

  /** Returns whether the configuration's lease is valid. */
  public boolean hasLease() {
    return leaseExpiresAtNs - clockNs.getAsLong() > 0;
  }

  /** Returns the ring that wakes the duty's thread. */
  public BoundedRing<Object> ring() {
    return ring;
  }

  @Override
  public String name() {
    return "configuration";
  }

  @Override
  public int doWork(long nowNs) {
    int work = ring.drain(item -> onHeartbeatResponse((HeartbeatResponse) item), 16);
    if (!heartbeatPending && nowNs - nextHeartbeatNs >= 0) {
      sendHeartbeat(nowNs);
      work++;
    }
    logLeaseChange();
    return work;
  }

  private void sendHeartbeat(long nowNs) {
    heartbeatPending = true;
    nextHeartbeatNs = nowNs + HEARTBEAT_INTERVAL_NS;
    ConfigurationHeartbeat heartbeat =
        new ConfigurationHeartbeat(processId, role, store.version(), store.digest());
    controllers
        .heartbeat(heartbeat, HEARTBEAT_TIMEOUT_MS)
        .thenAccept(result -> ring.offer(new HeartbeatResponse(nowNs, result)));
  }

  private void onHeartbeatResponse(HeartbeatResponse response) {
    heartbeatPending = false;
    if (!response.result().isOk()) {
      return;
    }
    ConfigurationUpdate update = response.result().value();
    if (update.version() < store.version()) {
      return;
    }
    boolean changed = applyDelta(update);
    boolean current = store.version() == update.version() && store.digest() == update.digest();
    if (!current) {
      store.clear();
      nextHeartbeatNs = clockNs.getAsLong();
      return;
    }
    ConfigurationView view = section.read();
    if (changed
        || view.partitions() != update.partitions()
        || view.liveNodes() != update.liveNodes()) {
      section.publish(
          new ConfigurationView(
              store.version(), store.declaration(), update.partitions(), update.liveNodes()));
    }
    leaseExpiresAtNs = response.sentAtNs() + TimeUnit.MILLISECONDS.toNanos(update.leaseMs());
  }

  private boolean applyDelta(ConfigurationUpdate update) {
    if (update.delta() == null) {
      return false;
    }
    if (update.fromVersion() == 0) {
      store.clear();
    } else if (update.fromVersion() != store.version()) {
      return false;
    }
    store.apply(update.delta(), update.version());
    EVENTS.log(
        EventCode.CONFIGURATION_UPDATED, "version", update.version(), "from", update.fromVersion());
    return true;
  }

  private void logLeaseChange() {
    boolean leaseValid = hasLease();
    if (leaseValid != loggedLease) {
      loggedLease = leaseValid;
      EVENTS.log(
          leaseValid ? EventCode.CONFIGURATION_LEASE_RENEWED : EventCode.CONFIGURATION_LEASE_LAPSED,
          "version",
          store.version());
    }
  }

  @Override
  public long maxIdleNs() {
    return MAX_IDLE_NS;
  }
}
