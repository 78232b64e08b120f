package io.pathdeck.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.protocol.generated.ApplyReply;
import io.pathdeck.protocol.generated.ApplyRequest;
import io.pathdeck.protocol.generated.CancelJobRequest;
import io.pathdeck.protocol.generated.CommandId;
import io.pathdeck.protocol.generated.Declaration;
import io.pathdeck.protocol.generated.DeclarationReply;
import io.pathdeck.protocol.generated.DrainEngineRequest;
import io.pathdeck.protocol.generated.GetDeclarationRequest;
import io.pathdeck.protocol.generated.ListJobsRequest;
import io.pathdeck.protocol.generated.StatusRequest;
import io.pathdeck.protocol.generated.WatchRequest;
import io.pathdeck.serving.api.Authenticator;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** {@code pathdeck ctl}: applies declarations and looks after jobs and engines. */
final class OperatorCommand {
  private static final String USAGE =
      """
      usage: pathdeck ctl COMMAND [--operator HOST:PORT[,HOST:PORT...]] [--output table|json]

      commands
        apply -f FILE [--expect VERSION] [--dry-run]   applies a declaration
        diff -f FILE                                   shows what apply would change
        get                                            prints the declaration in force
        watch                                          prints each new declaration
        jobs [--tenant NAME] [--limit N]               lists batch jobs
        cancel JOB                                     cancels a batch job
        drain ENGINE [--undo]                          gives an engine no new work
        status                                         shows the replicated groups
        hash-key KEY                                   prints the hash of an API key

      --client ID --request N repeat a command under its earlier identity.
      exit codes: 0 done, 1 failure, 2 usage, 3 version conflict, 4 unavailable, 5 not found
      """;
  private static final long ANY_VERSION = -1;

  private final PrintStream out;
  private final PrintStream err;
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> operators =
      parser
          .accepts("operator", "addresses of controllers")
          .withRequiredArg()
          .withValuesSeparatedBy(',')
          .defaultsTo("127.0.0.1:7201");
  private final OptionSpec<String> output =
      parser.accepts("output").withRequiredArg().defaultsTo("table");
  private final OptionSpec<String> file = parser.accepts("f").withRequiredArg();
  private final OptionSpec<Long> expect =
      parser.accepts("expect").withRequiredArg().ofType(Long.class).defaultsTo(ANY_VERSION);
  private final OptionSpec<Void> dryRun = parser.accepts("dry-run");
  private final OptionSpec<Void> undo = parser.accepts("undo");
  private final OptionSpec<String> tenant =
      parser.accepts("tenant").withRequiredArg().defaultsTo("");
  private final OptionSpec<Integer> limit =
      parser.accepts("limit").withRequiredArg().ofType(Integer.class).defaultsTo(0);
  private final OptionSpec<String> client = parser.accepts("client").withRequiredArg();
  private final OptionSpec<Long> request =
      parser.accepts("request").withRequiredArg().ofType(Long.class).defaultsTo(1L);
  private final OptionSpec<String> words = parser.nonOptions();

  OperatorCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
    parser.acceptsAll(List.of("help", "h"));
  }

  ExitCode run(List<String> arguments) {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(new String[0]));
    } catch (OptionException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    }
    List<String> positional = options.valuesOf(words);
    if (options.has("help") || positional.isEmpty()) {
      (options.has("help") ? out : err).print(USAGE);
      return options.has("help") ? ExitCode.OK : ExitCode.USAGE;
    }
    if (positional.get(0).equals("hash-key")) {
      return positional.size() == 2 ? print(Authenticator.hash(positional.get(1))) : usage();
    }
    try (OperatorClient operator = new OperatorClient(options.valuesOf(operators))) {
      return dispatch(positional, options, operator);
    } catch (StatusRuntimeException e) {
      err.println(describe(e.getStatus()));
      return exitCode(e.getStatus());
    }
  }

  private static String describe(Status status) {
    String name = status.getCode().name().toLowerCase(Locale.ROOT);
    return status.getDescription() == null ? name : name + ": " + status.getDescription();
  }

  private static ExitCode exitCode(Status status) {
    return switch (status.getCode()) {
      case ABORTED -> ExitCode.CONFLICT;
      case UNAVAILABLE, DEADLINE_EXCEEDED -> ExitCode.UNAVAILABLE;
      case NOT_FOUND -> ExitCode.NOT_FOUND;
      default -> ExitCode.FAILURE;
    };
  }

  private ExitCode dispatch(List<String> positional, OptionSet options, OperatorClient operator) {
    int argumentCount = positional.size() - 1;
    return switch (positional.get(0)) {
      case "apply" -> apply(options, operator, options.has(dryRun));
      case "diff" -> apply(options, operator, true);
      case "get" ->
          show(
              options,
              operator.call(
                  stub -> stub.getDeclaration(GetDeclarationRequest.getDefaultInstance())));
      case "watch" -> watch(options, operator);
      case "jobs" -> {
        ListJobsRequest list =
            ListJobsRequest.newBuilder()
                .setTenant(options.valueOf(tenant))
                .setLimit(options.valueOf(limit))
                .build();
        yield show(options, operator.call(stub -> stub.listJobs(list)));
      }
      case "cancel" -> argumentCount == 1 ? cancel(positional.get(1), options, operator) : usage();
      case "drain" -> argumentCount == 1 ? drain(positional.get(1), options, operator) : usage();
      case "status" ->
          show(options, operator.call(stub -> stub.status(StatusRequest.getDefaultInstance())));
      default -> usage();
    };
  }

  private ExitCode usage() {
    err.print(USAGE);
    return ExitCode.USAGE;
  }

  private ExitCode print(String text) {
    out.println(text);
    return ExitCode.OK;
  }

  /** A command's identity: chosen once, so that every try of this call is the same command. */
  private CommandId commandId(OptionSet options) {
    String id = options.has(client) ? options.valueOf(client) : UUID.randomUUID().toString();
    return CommandId.newBuilder().setClientId(id).setRequestId(options.valueOf(request)).build();
  }

  private ExitCode apply(OptionSet options, OperatorClient operator, boolean dry) {
    if (!options.has(file)) {
      return usage();
    }
    Result<Declaration, SettingsError> declaration =
        DeclarationFile.read(Path.of(options.valueOf(file)));
    if (!declaration.isOk()) {
      err.println(declaration.error());
      return ExitCode.USAGE;
    }
    ApplyRequest apply =
        ApplyRequest.newBuilder()
            .setCommandId(commandId(options))
            .setExpectedVersion(options.valueOf(expect))
            .setDeclaration(declaration.value())
            .setDryRun(dry)
            .build();
    ApplyReply reply = operator.call(stub -> stub.apply(apply));
    return show(options, reply);
  }

  private ExitCode cancel(String job, OptionSet options, OperatorClient operator) {
    CancelJobRequest cancel =
        CancelJobRequest.newBuilder().setCommandId(commandId(options)).setId(job).build();
    return show(options, operator.call(stub -> stub.cancelJob(cancel)));
  }

  private ExitCode drain(String engine, OptionSet options, OperatorClient operator) {
    DrainEngineRequest drain =
        DrainEngineRequest.newBuilder()
            .setCommandId(commandId(options))
            .setEngine(engine)
            .setDraining(!options.has(undo))
            .build();
    return show(options, operator.call(stub -> stub.drainEngine(drain)));
  }

  private ExitCode watch(OptionSet options, OperatorClient operator) {
    Iterator<DeclarationReply> updates =
        operator.stream(stub -> stub.watch(WatchRequest.getDefaultInstance()));
    while (updates.hasNext()) {
      show(options, updates.next());
    }
    return ExitCode.OK;
  }

  private ExitCode show(OptionSet options, MessageOrBuilder message) {
    if (options.valueOf(output).equals("json")) {
      try {
        out.println(
            JsonFormat.printer()
                .preservingProtoFieldNames()
                .alwaysPrintFieldsWithNoPresence()
                .print(message));
      } catch (InvalidProtocolBufferException e) {
        err.println(e.getMessage());
        return ExitCode.FAILURE;
      }
    } else {
      try {
        OperatorTables.print(message, out);
      } catch (IOException e) {
        err.println(e.getMessage());
        return ExitCode.FAILURE;
      }
    }
    return ExitCode.OK;
  }
}
