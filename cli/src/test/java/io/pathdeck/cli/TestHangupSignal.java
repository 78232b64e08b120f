package io.pathdeck.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** SIGHUP runs the action and does not end the process. */
class TestHangupSignal {
  @Test
  void actionRunsOnHangup() throws Exception {
    CountDownLatch heard = new CountDownLatch(1);
    assertThat(HangupSignal.onHangup(heard::countDown)).isTrue();
    long pid = ProcessHandle.current().pid();
    new ProcessBuilder("kill", "-HUP", Long.toString(pid)).start().waitFor();
    assertThat(heard.await(5, TimeUnit.SECONDS)).isTrue();
  }
}
