package io.pathdeck.fleet.traffic;

import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.FleetUpdate;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.message.RaftBatch;
import java.util.Locale;

/** What bytes between regions are for. */
enum TrafficPurpose {
  /** Requests to engines and their responses. */
  ENGINES,
  /** Copies of the data of a replicated group. */
  REPLICATION,
  /** Batch jobs and reads of their results, and operators' commands. */
  GROUP_CALLS,
  /** Heartbeats of the processes and their answers. */
  HEARTBEATS,
  OTHER;

  String tag() {
    return name().toLowerCase(Locale.ROOT);
  }

  static TrafficPurpose of(Message message) {
    if (message instanceof RaftBatch) {
      return REPLICATION;
    }
    if (message instanceof FleetHeartbeat || message instanceof FleetUpdate) {
      return HEARTBEATS;
    }
    boolean isGroupCall =
        message instanceof ProposeRequest
            || message instanceof ProposeReply
            || message instanceof QueryRequest
            || message instanceof QueryReply;
    return isGroupCall ? GROUP_CALLS : OTHER;
  }
}
