package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A replica whose log has a gap must not vote by what it had, and serves again as a new one. */
class TestLogWithGap {
  private static final int WITH_GAP = 1;
  private static final int UP_TO_DATE = 2;
  private static final int BEHIND = 3;
  private static final int BEFORE = 5;
  private static final int COMMITTED = 20;
  private static final long PATIENCE_WITHOUT_QUORUM_MS = 3_000;

  @TempDir Path root;

  private static void loseLastFrameOfMiddleSegment(HostedGroup group, int id) throws Exception {
    Path[] segments = PowerLossDisk.files(group.folder(id), "log-");
    Path segment = segments[segments.length / 2];
    group.disk(id).cut(segment, PowerLossDisk.lastFrame(segment));
  }

  @Test
  void doesNotElectALeaderThatLacksCommittedEntries() throws Exception {
    try (HostedGroup group = new HostedGroup(root)) {
      group.start(WITH_GAP, UP_TO_DATE, BEHIND);
      for (int number = 1; number <= BEFORE; number++) {
        group.commit(number);
      }
      group.stop(BEHIND);
      for (int number = BEFORE + 1; number <= COMMITTED; number++) {
        group.commit(number);
      }
      group.stop(WITH_GAP, UP_TO_DATE);
      loseLastFrameOfMiddleSegment(group, WITH_GAP);

      group.start(WITH_GAP, BEHIND);
      assertThat(group.leadsWithin(PATIENCE_WITHOUT_QUORUM_MS)).isFalse();
      group.start(UP_TO_DATE);
      group.awaitVoters(WITH_GAP, UP_TO_DATE, BEHIND);
      group.commit(COMMITTED + 1);
      HostedGroup.await(() -> group.committed(WITH_GAP).contains(COMMITTED + 1));
      assertThat(group.committed(WITH_GAP))
          .containsAll(IntStream.rangeClosed(1, COMMITTED).boxed().toList());
    }
  }
}
