package io.pathdeck.cli;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Merges the logs of several processes into one timeline of a request, job or item. */
final class ExplainCommand {
  private static final String USAGE =
      """
      usage: pathdeck explain --logs FILE|DIR ... --request ID

      Prints the lines of all logs that name a request, a batch job or an item, by their time.
      exit codes: 0 done, 1 a log cannot be read, 2 usage, 5 no line names the id

      """;
  private static final Set<String> SHOWN_FIRST = Set.of("time", "level", "code", "event");

  private record Line(String time, String source, JsonNode event) {}

  private final PrintStream out;
  private final PrintStream err;

  ExplainCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  ExitCode run(List<String> arguments) {
    OptionParser parser = new OptionParser();
    OptionSpec<String> logs =
        parser
            .accepts("logs", "a log file, or a folder of them; may be repeated")
            .withRequiredArg()
            .required();
    OptionSpec<String> request =
        parser
            .accepts("request", "the id of a request, a batch job or an item")
            .withRequiredArg()
            .required();
    parser.acceptsAll(List.of("help", "h"), "prints this text").forHelp();
    try {
      OptionSet options = parser.parse(arguments.toArray(new String[0]));
      if (options.has("help")) {
        out.print(USAGE);
        parser.printHelpOn(out);
        return ExitCode.OK;
      }
      return explain(options.valuesOf(logs), options.valueOf(request));
    } catch (OptionException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    } catch (IOException | UncheckedIOException e) {
      err.println("cannot read the logs: " + e.getMessage());
      return ExitCode.FAILURE;
    }
  }

  private ExitCode explain(List<String> logs, String id) throws IOException {
    List<Line> found = new ArrayList<>();
    for (String log : logs) {
      for (Path file : files(Path.of(log))) {
        collect(file, id, found);
      }
    }
    found.sort(Comparator.comparing(Line::time));
    found.forEach(line -> out.println(render(line)));
    if (found.isEmpty()) {
      err.println("no line names " + id);
      return ExitCode.NOT_FOUND;
    }
    return ExitCode.OK;
  }

  private static List<Path> files(Path path) throws IOException {
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> files = Files.walk(path)) {
      return files.filter(Files::isRegularFile).sorted().toList();
    }
  }

  private static void collect(Path file, String id, List<Line> found) throws IOException {
    ObjectMapper json = new ObjectMapper();
    try (Stream<String> lines = Files.lines(file)) {
      lines.filter(line -> line.contains(id)).forEach(line -> add(json, file, line, id, found));
    } catch (UncheckedIOException e) {
      if (!(e.getCause() instanceof MalformedInputException)) {
        throw e;
      }
    }
  }

  /** Adds a line whose JSON object names the id; what stands before the object names the source. */
  private static void add(ObjectMapper json, Path file, String line, String id, List<Line> found) {
    int start = line.indexOf('{');
    if (start < 0) {
      return;
    }
    try {
      JsonNode event = json.readTree(line.substring(start));
      boolean named =
          event.properties().stream().anyMatch(field -> field.getValue().asText().equals(id));
      if (named) {
        String prefix = line.substring(0, start).trim();
        String source = prefix.isEmpty() ? file.getFileName().toString() : prefix;
        found.add(new Line(event.path("time").asText(), source, event));
      }
    } catch (JacksonException e) {
      // Not one of our lines.
    }
  }

  private static String render(Line line) {
    StringJoiner fields = new StringJoiner(" ");
    for (Map.Entry<String, JsonNode> field : line.event().properties()) {
      if (!SHOWN_FIRST.contains(field.getKey())) {
        fields.add(field.getKey() + "=" + field.getValue().asText());
      }
    }
    return String.join(
        " ",
        line.time(),
        line.source(),
        line.event().path("code").asText(),
        line.event().path("event").asText(),
        fields.toString());
  }
}
