package io.pathdeck.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A thread that ends by an error ends the process; one that ends by an exception is told. */
class TestFatalErrors {
  private final List<Integer> halts = new ArrayList<>();

  private void endThread(Runnable how) throws InterruptedException {
    Thread thread = new Thread(how, "storage");
    thread.setUncaughtExceptionHandler(new FatalErrors(halts::add));
    thread.start();
    thread.join();
  }

  @Test
  void missingClassEndsTheProcess() throws Exception {
    endThread(
        () -> {
          throw new NoClassDefFoundError("com/example/Missing");
        });
    assertThat(halts).containsExactly(ExitCode.FAILURE.value());
  }

  @Test
  void exceptionDoesNot() throws Exception {
    endThread(
        () -> {
          throw new IllegalStateException("of a thread that others do without");
        });
    assertThat(halts).isEmpty();
  }
}
