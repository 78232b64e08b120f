package io.pathdeck.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TestExplainCommand {
  @TempDir Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode explain(String id) {
    ExplainCommand command =
        new ExplainCommand(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return command.run(List.of("--logs", folder.toString(), "--request", id));
  }

  private static String line(String time, String code, String event, String request) {
    return "{\"time\":\"%s\",\"level\":\"INFO\",\"code\":\"%s\",\"event\":\"%s\",\"request\":\"%s\"}\n"
        .formatted(time, code, event, request);
  }

  @Test
  void linesOfAnIdFromSeveralProcessesComeInTheOrderOfTime() throws Exception {
    Files.writeString(
        folder.resolve("gateway.log"),
        line("2026-01-01T00:00:03Z", "PD-3108", "request-served", "r1")
            + line("2026-01-01T00:00:01Z", "PD-3103", "attempt-failed", "r1")
            + line("2026-01-01T00:00:02Z", "PD-3108", "request-served", "r11"));
    Files.writeString(
        folder.resolve("all.log"),
        "  2.5 store-1 " + line("2026-01-01T00:00:02Z", "PD-4004", "item-started", "r1"));
    assertThat(explain("r1")).isEqualTo(ExitCode.OK);
    assertThat(out.toString(StandardCharsets.UTF_8).lines())
        .containsExactly(
            "2026-01-01T00:00:01Z gateway.log PD-3103 attempt-failed request=r1",
            "2026-01-01T00:00:02Z 2.5 store-1 PD-4004 item-started request=r1",
            "2026-01-01T00:00:03Z gateway.log PD-3108 request-served request=r1");
  }

  @Test
  void unknownIdIsSaid() throws Exception {
    Files.writeString(folder.resolve("a.log"), "not json r1\n");
    assertThat(explain("r1")).isEqualTo(ExitCode.NOT_FOUND);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("no line names r1");
  }
}
