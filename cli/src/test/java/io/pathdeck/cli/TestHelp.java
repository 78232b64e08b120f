package io.pathdeck.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Every command that a help text names answers {@code --help} with its own help. */
class TestHelp {
  private static final Pattern NAMED_COMMAND = Pattern.compile("(?m)^  ([a-z][a-z-]*) ");

  private record Answer(ExitCode code, String out, String err) {}

  private static Answer run(String... arguments) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    ExitCode code =
        PathdeckMain.run(
            Arrays.asList(arguments),
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return new Answer(
        code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  private static List<String> commandsNamedIn(String help) {
    Matcher matcher = NAMED_COMMAND.matcher(help);
    return matcher.results().map(result -> result.group(1)).toList();
  }

  static Stream<List<String>> commands() {
    List<List<String>> commands = new ArrayList<>();
    commandsNamedIn(run("--help").out()).forEach(name -> commands.add(List.of(name)));
    commandsNamedIn(run("ctl", "--help").out()).forEach(name -> commands.add(List.of("ctl", name)));
    return commands.stream();
  }

  @Test
  void helpNamesTheCommands() {
    assertThat(commands())
        .contains(List.of("gateway"), List.of("check-config"), List.of("explain"))
        .contains(List.of("ctl", "apply"), List.of("ctl", "hash-key"))
        .hasSize(18);
  }

  @ParameterizedTest
  @MethodSource("commands")
  void everyCommandAnswersWithItsHelp(List<String> command) {
    for (String option : List.of("--help", "-h")) {
      List<String> arguments = new ArrayList<>(command);
      arguments.add(option);
      Answer answer = run(arguments.toArray(new String[0]));
      assertThat(answer.code()).isEqualTo(ExitCode.OK);
      assertThat(answer.out()).contains("pathdeck " + command.get(0));
      assertThat(answer.err()).isEmpty();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"explain", "check-config", "ctl", "gateway"})
  void commandWithoutItsArgumentsSaysWhatIsMissing(String command) {
    Answer answer = run(command);
    assertThat(answer.code()).isEqualTo(ExitCode.USAGE);
    assertThat(answer.err()).isNotEmpty();
  }
}
