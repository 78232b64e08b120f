package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A damaged frame with a segment behind it must not keep a replica from its group for ever. */
class TestDamagedLog {
  private static final int COMMITTED = 20;

  @TempDir Path root;

  @Test
  void replicaJoinsAgainAsANewOne() throws Exception {
    try (HostedGroup group = new HostedGroup(root)) {
      group.start(1, 2, 3);
      for (int number = 1; number <= COMMITTED; number++) {
        group.commit(number);
      }
      group.stop(1);
      Path[] segments = PowerLossDisk.files(group.folder(1), "log-");
      Path segment = segments[segments.length / 2];
      group.disk(1).damage(segment, PowerLossDisk.lastFrame(segment) + 20);

      group.start(1);
      group.awaitVoters(1, 2, 3);
      HostedGroup.await(() -> group.committed(1).contains(COMMITTED));
      assertThat(group.committed(1))
          .containsAll(IntStream.rangeClosed(1, COMMITTED).boxed().toList());
    }
  }
}
