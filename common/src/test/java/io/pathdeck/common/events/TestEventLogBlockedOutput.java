package io.pathdeck.common.events;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TestEventLogBlockedOutput {
  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final EventLog EVENTS = EventLog.of(TestEventLogBlockedOutput.class);

  private final CountDownLatch reading = new CountDownLatch(1);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final PrintStream original = System.out;

  /** An output whose reader takes nothing until it begins to read. */
  private final class BlockedOutput extends OutputStream {
    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      try {
        reading.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      synchronized (written) {
        written.write(bytes, offset, length);
      }
    }
  }

  private String text() {
    synchronized (written) {
      return written.toString(StandardCharsets.UTF_8);
    }
  }

  @BeforeEach
  void blockOutput() {
    System.setProperty(EventLogConfiguration.TARGET_PROPERTY, "SYSTEM_OUT");
    System.setOut(new PrintStream(new BlockedOutput(), true, StandardCharsets.UTF_8));
    Configurator.reconfigure(new EventLogConfiguration(null));
  }

  @AfterEach
  void restoreOutput() {
    reading.countDown();
    System.setOut(original);
    System.clearProperty(EventLogConfiguration.TARGET_PROPERTY);
    Configurator.reconfigure(new EventLogConfiguration(null));
  }

  @Test
  void eventsAreLoggedWithoutWaitingAndDroppedLinesAreCountedAndTold() {
    long droppedBefore = EventCounts.SHARED.linesDropped();
    int events = 3 * EventLogConfiguration.QUEUE_LENGTH;
    assertTimeoutPreemptively(
        PATIENCE,
        () -> {
          for (int i = 0; i < events; i++) {
            EVENTS.log(EventCode.ROLE_CHANGED, "number", i);
          }
        });
    long dropped = EventCounts.SHARED.linesDropped() - droppedBefore;
    assertThat(dropped).isGreaterThan(EventLogConfiguration.QUEUE_LENGTH);
    reading.countDown();
    assertTimeoutPreemptively(
        PATIENCE,
        () -> {
          while (EventLogConfiguration.isQueueFull()) {
            Thread.sleep(5);
          }
          EVENTS.log(EventCode.ROLE_CHANGED, "number", -1);
          while (!text().contains("\"number\":-1}")) {
            Thread.sleep(5);
          }
        });
    assertThat(text()).contains("\"of\":\"full-queue\",\"count\":" + dropped + "}");
  }
}
