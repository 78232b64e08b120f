package io.pathdeck.control;

import io.pathdeck.protocol.message.ConfigurationHeartbeat;
import io.pathdeck.protocol.message.ConfigurationUpdate;
import io.pathdeck.protocol.model.DeclarationDelta;
import io.pathdeck.state.MetaStateMachine;
import java.util.HashMap;
import java.util.Map;

/**
 * Answers the processes that follow the configuration.
 *
 * <p>Each answer is a linearizable read and grants a lease from the moment the process asked. So a
 * process acts on a configuration no longer than the lease after a newer one was accepted.
 */
public final class ConfigurationLeases {
  /** The role that callers' nodes report. */
  static final String NODE_ROLE = "node";

  private static final int LIVENESS_LEASES = 4;

  private final Map<String, Long> lastHeartbeatMs = new HashMap<>();
  private long nextExpiryMs;
  private final int partitions;
  private final long leaseMs;

  /** Leases of this length, for a deployment with this many jobs partitions. */
  public ConfigurationLeases(int partitions, long leaseMs) {
    this.partitions = partitions;
    this.leaseMs = leaseMs;
  }

  void answer(ControllerEvent.Heartbeat event, GroupRuntime meta, long nowMs) {
    MetaStateMachine state = (MetaStateMachine) meta.stateMachine();
    int liveNodes = countLiveNodes(event.heartbeat(), nowMs);
    meta.readLinearizably(
        () -> event.reply().reply(update(event.heartbeat(), state, liveNodes)),
        event.reply(),
        nowMs);
  }

  /** Nodes share each tenant's limits, so every node is told how many there are. */
  private int countLiveNodes(ConfigurationHeartbeat heartbeat, long nowMs) {
    if (heartbeat.role().equals(NODE_ROLE)) {
      lastHeartbeatMs.put(heartbeat.processId(), nowMs);
    }
    if (nowMs >= nextExpiryMs) {
      nextExpiryMs = nowMs + leaseMs;
      lastHeartbeatMs.values().removeIf(heardMs -> nowMs - heardMs > LIVENESS_LEASES * leaseMs);
    }
    return Math.max(1, lastHeartbeatMs.size());
  }

  private ConfigurationUpdate update(
      ConfigurationHeartbeat heartbeat, MetaStateMachine state, int liveNodes) {
    long version = state.declarationStore().version();
    long digest = state.declarationStore().digest();
    if (heartbeat.version() == version && heartbeat.digest() == digest) {
      return new ConfigurationUpdate(
          version, digest, version, null, partitions, liveNodes, leaseMs);
    }
    boolean oneBehind = heartbeat.version() + 1 == version;
    if (oneBehind && state.deltaAfter(heartbeat.version()).isPresent()) {
      DeclarationDelta delta = state.deltaAfter(heartbeat.version()).get();
      return new ConfigurationUpdate(
          version, digest, heartbeat.version(), delta, partitions, liveNodes, leaseMs);
    }
    return new ConfigurationUpdate(
        version, digest, 0, state.fullDelta(), partitions, liveNodes, leaseMs);
  }
}
