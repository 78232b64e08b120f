package io.pathdeck.fleet.origin;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.origin.StreamOriginExchange.Lookup;
import io.pathdeck.fleet.origin.StreamOriginExchange.PendingLookup;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import io.pathdeck.protocol.message.StreamOriginReply;
import io.pathdeck.protocol.transport.TransportError;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TestPendingLookup {
  private static final StreamOriginRecord ASKED =
      new StreamOriginRecord(7, new StreamOrigin("s", "v1"), 1, 1_000);
  private static final StreamOriginRecord BEGUN =
      new StreamOriginRecord(7, new StreamOrigin("s", "v2"), 1_000);

  private final List<Lookup> results = new ArrayList<>();
  private final PendingLookup lookup = new PendingLookup(3, results::add);

  private void reply(StreamOriginRecord record) {
    lookup.onReply(Result.ok(new StreamOriginReply(record)));
  }

  @Test
  void recordOfAnAttemptThatMayHaveBeenRefusedDoesNotDecide() {
    reply(ASKED);
    assertThat(results).isEmpty();
    reply(BEGUN);
    reply(ASKED);
    assertThat(results).containsExactly(new Lookup(Optional.of(BEGUN), 3, 2));
  }

  @Test
  void gatewaysThatDoNotAnswerAreCounted() {
    reply(ASKED);
    reply(null);
    lookup.onReply(Result.err(TransportError.TIMED_OUT));
    assertThat(results).containsExactly(new Lookup(Optional.empty(), 3, 2));
  }
}
