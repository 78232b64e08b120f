package io.pathdeck.fleet.origin;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import org.junit.jupiter.api.Test;

class TestStreamOriginTable {
  private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
  private static final StreamOrigin V2 = new StreamOrigin("s", "v2");

  private final StreamOriginTable table = new StreamOriginTable();

  private void put(long stream, StreamOrigin origin, long nowMs) {
    table.put(new StreamOriginRecord(stream, origin, 1_000), nowMs);
  }

  private StreamOrigin originOf(long stream, long nowMs) {
    return table.find(stream, nowMs).map(StreamOriginRecord::origin).orElse(null);
  }

  /** Gateways of an earlier release tell at which engine they ask for a stream. */
  @Test
  void recordOfAStreamThatMayHaveBegunElsewhereIsIgnored() {
    table.put(new StreamOriginRecord(1, V1, 1, 1_000), 0);
    assertThat(originOf(1, 1)).isNull();
    put(1, V2, 1);
    table.put(new StreamOriginRecord(1, V1, 3, 1_000), 2);
    assertThat(originOf(1, 3)).isEqualTo(V2);
  }

  @Test
  void recordThatArrivesLateDoesNotShortenTheTime() {
    put(1, V1, 0);
    table.put(new StreamOriginRecord(1, V1, 100), 1);
    assertThat(originOf(1, 999)).isEqualTo(V1);
  }

  @Test
  void recordExpiresUnlessExtended() {
    put(1, V1, 0);
    assertThat(table.find(1, 400).orElseThrow().validMs()).isEqualTo(600);
    assertThat(originOf(1, 999)).isEqualTo(V1);
    assertThat(originOf(1, 1_000)).isNull();
    put(2, V1, 0);
    put(2, V1, 500);
    assertThat(originOf(2, 1_400)).isEqualTo(V1);
  }

  @Test
  void oldestRecordGivesWayUnderAFlood() {
    for (long stream = 0; stream <= StreamOriginTable.MAX_ENTRIES; stream++) {
      put(stream, V1, 0);
    }
    assertThat(table.size()).isEqualTo(StreamOriginTable.MAX_ENTRIES);
    assertThat(originOf(0, 1)).isNull();
    assertThat(originOf(1, 1)).isEqualTo(V1);
  }
}
