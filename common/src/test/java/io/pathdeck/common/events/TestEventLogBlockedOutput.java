package io.pathdeck.common.events;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TestEventLogBlockedOutput {
  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final EventLog EVENTS = EventLog.of(TestEventLogBlockedOutput.class);

  private final Semaphore readLines = new Semaphore(0);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final PrintStream original = System.out;

  /** An output whose reader takes as many lines as it is permitted. */
  private final class BlockedOutput extends OutputStream {
    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      try {
        readLines.acquire();
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
    readAll();
    System.setOut(original);
    System.clearProperty(EventLogConfiguration.TARGET_PROPERTY);
    Configurator.reconfigure(new EventLogConfiguration(null));
  }

  private void readAll() {
    readLines.release(Integer.MAX_VALUE / 2);
  }

  private static void logUntilLinesAreDropped() {
    for (int i = 0; i < 3 * EventLogConfiguration.QUEUE_LENGTH; i++) {
      EVENTS.log(EventCode.ROLE_CHANGED, "number", i);
    }
  }

  private static void awaitRoomFor(int lines) {
    await(() -> EventLogConfiguration.hasRoomFor(lines));
  }

  private static void await(BooleanSupplier condition) {
    assertTimeoutPreemptively(
        PATIENCE,
        () -> {
          while (!condition.getAsBoolean()) {
            Thread.sleep(5);
          }
        });
  }

  @Test
  void eventsAreLoggedWithoutWaitingAndDroppedLinesAreCountedAndTold() {
    long droppedBefore = EventCounts.SHARED.linesDropped();
    assertTimeoutPreemptively(PATIENCE, TestEventLogBlockedOutput::logUntilLinesAreDropped);
    long dropped = EventCounts.SHARED.linesDropped() - droppedBefore;
    assertThat(dropped).isGreaterThan(EventLogConfiguration.QUEUE_LENGTH);
    readAll();
    awaitRoomFor(2);
    EVENTS.log(EventCode.ROLE_CHANGED, "number", -1);
    await(() -> text().contains("\"number\":-1}"));
    assertThat(text()).contains("\"of\":\"full-queue\",\"count\":" + dropped + "}");
  }

  /** The number of dropped lines takes a line, too. */
  @Test
  void lineWithoutRoomBehindTheNumberOfDroppedLinesIsCounted() {
    logUntilLinesAreDropped();
    long droppedBefore = EventCounts.SHARED.linesDropped();
    readLines.release();
    awaitRoomFor(1);
    EVENTS.log(EventCode.ROLE_CHANGED, "number", -1);
    long dropped = EventCounts.SHARED.linesDropped() - droppedBefore;
    readAll();
    awaitRoomFor(EventLogConfiguration.QUEUE_LENGTH);
    EVENTS.log(EventCode.ROLE_CHANGED, "number", -2);
    await(() -> text().contains("\"number\":-2}"));
    assertThat(text().contains("\"number\":-1}")).isEqualTo(dropped == 0);
  }
}
