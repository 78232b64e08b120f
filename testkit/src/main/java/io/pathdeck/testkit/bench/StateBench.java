package io.pathdeck.testkit.bench;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.SegmentedLog;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.client.ControllerConnections;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommitResults;
import io.pathdeck.protocol.command.ReserveKey;
import io.pathdeck.protocol.message.ConfigurationHeartbeat;
import io.pathdeck.protocol.message.ConfigurationUpdate;
import io.pathdeck.protocol.model.ItemResult;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.transport.TransportTls;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * {@code bin/bench state}: durable commands a second on running controllers, beside a raw loop of
 * append and sync on the same disk, and the sizes of messages and records.
 */
public final class StateBench {
  private static final int USAGE = 2;
  private static final int IN_FLIGHT = 512;
  private static final int RECORD_LENGTH = 200;
  private static final long RUN_NS = TimeUnit.SECONDS.toNanos(5);
  private static final long CALL_TIMEOUT_MS = 10_000;
  private static final int NETWORK_THREADS = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> controllers =
      parser.accepts("controllers").withRequiredArg().withValuesSeparatedBy(',').required();
  private final OptionSpec<String> folder = parser.accepts("folder").withRequiredArg().required();

  /** Runs the command; returns the exit code. */
  public int run(List<String> arguments, PrintStream out) {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(new String[0]));
    } catch (OptionException e) {
      out.println(e.getMessage());
      return USAGE;
    }
    EventLoopGroup eventLoops = EventLoops.create(NETWORK_THREADS);
    List<HostPort> addresses =
        options.valuesOf(controllers).stream()
            .map(address -> HostPort.parse(address).orElseThrow())
            .toList();
    Path path = Path.of(options.valueOf(folder));
    try (ControllerConnections connections =
        new ControllerConnections(addresses, eventLoops, TransportTls.NONE, "bench")) {
      Files.createDirectories(path);
      rawLoop(path, 1, out);
      rawLoop(path, 64, out);
      segmentedLog(path.resolve("log"), out);
      commands(connections.client(), 1, out);
      commands(connections.client(), 4, out);
      printSizes(out);
    } catch (IOException e) {
      out.println(e.getMessage());
      return 1;
    } finally {
      eventLoops.shutdownGracefully();
    }
    return 0;
  }

  /** Appends records and syncs after each group of them: the best that the disk allows. */
  private static void rawLoop(Path path, int group, PrintStream out) throws IOException {
    Path file = path.resolve("raw-" + group);
    long records = 0;
    long startNs = System.nanoTime();
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      while (System.nanoTime() - startNs < RUN_NS) {
        channel.write(ByteBuffer.allocate(RECORD_LENGTH * group));
        channel.force(false);
        records += group;
      }
    }
    print(out, "raw append+sync, " + group + " records a sync", records, startNs);
    Files.delete(file);
  }

  private static void segmentedLog(Path path, PrintStream out) throws IOException {
    DataFolder folder = DataFolder.open(path).value();
    Result<SegmentedLog, StorageError> opened = SegmentedLog.open(folder, logRecord -> {});
    long records = 0;
    long startNs = System.nanoTime();
    try (SegmentedLog log = opened.value()) {
      while (System.nanoTime() - startNs < RUN_NS) {
        List<LogRecord> batch = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
          LogEntry entry = new LogEntry(++records, 1, new byte[RECORD_LENGTH - 40], null);
          batch.add(new EntryRecord(1, entry));
        }
        log.append(batch);
      }
    }
    print(out, "this project's log, 64 records a sync", records, startNs);
  }

  /** Proposes small commands to partitions, many at a time. */
  private static void commands(ControlPlane control, int partitions, PrintStream out) {
    Semaphore inFlight = new Semaphore(IN_FLIGHT);
    AtomicLong acknowledged = new AtomicLong();
    long startNs = System.nanoTime();
    long number = 0;
    while (System.nanoTime() - startNs < RUN_NS) {
      inFlight.acquireUninterruptibly();
      String key = "key-" + startNs + "-" + number;
      int partition = 1 + (int) (number++ % partitions);
      control
          .propose(partition, new ReserveKey("bench", key, "f", "v"), CALL_TIMEOUT_MS)
          .thenAccept(
              result -> {
                if (result.isOk()) {
                  acknowledged.incrementAndGet();
                }
                inFlight.release();
              });
    }
    inFlight.acquireUninterruptibly(IN_FLIGHT);
    print(out, "replicated commands, " + partitions + " partition(s)", acknowledged.get(), startNs);
  }

  private static void print(PrintStream out, String what, long count, long startNs) {
    double seconds = (System.nanoTime() - startNs) / 1e9;
    out.printf(Locale.ROOT, "%-44s %9.0f a second%n", what, count / seconds);
  }

  /** Encoded sizes, from which the capacity page is worked out. */
  private static void printSizes(PrintStream out) {
    ConfigurationHeartbeat heartbeat = new ConfigurationHeartbeat("node-123", "node", 9_000, 1L);
    ConfigurationUpdate unchanged = new ConfigurationUpdate(9_000, 1L, 9_000, null, 64, 360, 2_500);
    ItemResult result = new ItemResult("batch_01-" + "0".repeat(32), 7, 9, true, new byte[600], 32);
    CommandEnvelope commit =
        new CommandEnvelope(
            "dispatcher-1", 1, 1, new CommitResults("dispatcher-1", List.of(result)));
    printSize(out, "heartbeat", ObjectCodec.encode(heartbeat).length);
    printSize(out, "answer without change", ObjectCodec.encode(unchanged).length);
    printSize(out, "result of 600 bytes in the log", ObjectCodec.encode(commit).length);
  }

  private static void printSize(PrintStream out, String what, int bytes) {
    out.printf(Locale.ROOT, "%-44s %9d bytes%n", what, bytes);
  }
}
