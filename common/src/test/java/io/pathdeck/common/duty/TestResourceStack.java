package io.pathdeck.common.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

class TestResourceStack {
  private static final long PATIENCE_MS = 5_000;

  private final ResourceStack stack = new ResourceStack();
  private final List<String> closed = new CopyOnWriteArrayList<>();

  @Test
  void resourcesCloseInReverseOrderAndAFailureKeepsNoneOpen() {
    stack.push(() -> closed.add("first"));
    stack.push(
        () -> {
          throw new IllegalStateException("cannot close");
        });
    stack.push(() -> closed.add("last"));
    stack.closeAll();
    assertThat(closed).containsExactly("last", "first");
  }

  /** A store that joined a group while it stopped never ended. */
  @Test
  void stopDoesNotHangWhenAThreadThatItWaitsForOpensAResource() throws Exception {
    Thread opener = new Thread(() -> stack.push(() -> closed.add("opened meanwhile")));
    stack.push(
        () -> {
          opener.start();
          opener.join();
        });
    Thread stop = new Thread(stack::closeAll);
    stop.setDaemon(true);
    opener.setDaemon(true);
    stop.start();
    stop.join(PATIENCE_MS);
    assertThat(stop.isAlive()).as("the stop hangs").isFalse();
    assertThat(closed).containsExactly("opened meanwhile");
  }
}
