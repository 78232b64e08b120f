package io.pathdeck.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.command.AppendFileChunk;
import io.pathdeck.protocol.command.CancelJob;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.CommitResults;
import io.pathdeck.protocol.command.CreateFile;
import io.pathdeck.protocol.command.ItemsLeased;
import io.pathdeck.protocol.command.LeaseItems;
import io.pathdeck.protocol.command.SealFile;
import io.pathdeck.protocol.command.SubmitJob;
import io.pathdeck.protocol.model.ItemResult;
import io.pathdeck.protocol.model.JobSpec;
import io.pathdeck.protocol.model.LeasedItem;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Properties of a jobs partition under random commands. */
class TestJobsStateMachine {
  private static final int JOBS = 6;
  private static final String SERVICE = "service";

  private static List<CommandEnvelope> randomLog(long seed, int length) {
    SplittableRandom random = new SplittableRandom(seed);
    List<CommandEnvelope> log = new ArrayList<>();
    long nowMs = 1_000;
    JobsStateMachine preview = new JobsStateMachine();
    List<ItemResult> pendingResults = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      nowMs += random.nextInt(400);
      Command command = randomCommand(random, pendingResults);
      CommandEnvelope envelope = new CommandEnvelope("client", i, nowMs, command);
      log.add(envelope);
      if (preview.apply(envelope) instanceof ItemsLeased items) {
        for (LeasedItem item : items.items()) {
          byte[] line = (item.jobId() + item.index()).getBytes(StandardCharsets.UTF_8);
          pendingResults.add(
              new ItemResult(item.jobId(), item.index(), items.leaseId(), true, line, 1));
        }
      }
    }
    return log;
  }

  private static Command randomCommand(SplittableRandom random, List<ItemResult> pendingResults) {
    String job = "job-" + random.nextInt(JOBS);
    String file = "file-" + job;
    String tenant = "tenant-" + job.hashCode() % 2;
    return switch (random.nextInt(9)) {
      case 0 -> new CreateFile(file, tenant, "in", "batch");
      case 1 -> new AppendFileChunk(file, 0, lines(1 + random.nextInt(30)));
      case 2 -> new SealFile(file, 1);
      case 3 ->
          new SubmitJob(
              new JobSpec(
                  job,
                  tenant,
                  SERVICE,
                  "/v1",
                  file,
                  random.nextBoolean(),
                  60_000,
                  new HashMap<>()));
      case 4 -> random.nextInt(6) == 0 ? new CancelJob(job, "") : new SealFile(file, 1);
      case 5, 6 -> new LeaseItems("d", SERVICE, "", 1 + random.nextInt(12), 2_000);
      default -> new CommitResults("d", takeRandom(random, pendingResults));
    };
  }

  private static List<byte[]> lines(int count) {
    List<byte[]> lines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      lines.add(("{\"custom_id\":\"" + i + "\"}").getBytes(StandardCharsets.UTF_8));
    }
    return lines;
  }

  private static List<ItemResult> takeRandom(
      SplittableRandom random, List<ItemResult> pendingResults) {
    List<ItemResult> taken = new ArrayList<>();
    while (!pendingResults.isEmpty() && taken.size() < 5) {
      taken.add(pendingResults.remove(random.nextInt(pendingResults.size())));
    }
    return taken;
  }

  private static List<Object> records(JobsStateMachine machine) {
    List<Object> records = new ArrayList<>();
    machine.captureSnapshot().forEachRemaining(records::add);
    return records;
  }

  /** A replica restored from a snapshot leases the same items as the original. */
  @Property(tries = 150, seed = "21")
  void restoredReplicaMatchesOriginal(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 0, max = 200) int restoredAt) {
    JobsStateMachine original = new JobsStateMachine();
    JobsStateMachine restored = new JobsStateMachine();
    List<CommandEnvelope> commands = randomLog(seed, 200);
    for (int i = 0; i < commands.size(); i++) {
      if (i == restoredAt) {
        restored = new JobsStateMachine();
        restored.restoreSnapshot(original.captureSnapshot());
      }
      CommandResult answer = original.apply(commands.get(i));
      CommandResult restoredAnswer = restored.apply(commands.get(i));
      assertThat(ObjectCodec.encode(restoredAnswer)).isEqualTo(ObjectCodec.encode(answer));
    }
    List<Object> expected = records(original);
    List<Object> actual = records(restored);
    for (int i = 0; i < expected.size(); i++) {
      assertThat(ObjectCodec.encode(actual.get(i)))
          .as("%s, restored %s", expected.get(i), actual.get(i))
          .isEqualTo(ObjectCodec.encode(expected.get(i)));
    }
    assertThat(actual).hasSameSizeAs(expected);
  }

  @Property(tries = 150, seed = "22")
  void itemWithResultIsNeverLeased(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    JobsStateMachine machine = new JobsStateMachine();
    Set<String> itemsWithResult = new HashSet<>();
    for (CommandEnvelope envelope : randomLog(seed, 300)) {
      CommandResult result = machine.apply(envelope);
      if (envelope.command() instanceof CommitResults commit) {
        for (ItemResult item : commit.results()) {
          itemsWithResult.add(item.jobId() + "#" + item.index());
        }
      }
      if (result instanceof ItemsLeased leased) {
        for (LeasedItem item : leased.items()) {
          String name = item.jobId() + "#" + item.index();
          assertThat(itemsWithResult).doesNotContain(name);
        }
      }
    }
  }
}
