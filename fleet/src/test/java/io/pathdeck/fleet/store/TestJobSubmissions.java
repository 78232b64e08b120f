package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.control.PeerLink;
import io.pathdeck.control.PeerLinks;
import io.pathdeck.control.ReplicaHost;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.state.BatchStateMachine;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that a job sent several times is appended once and every sender gets a reply. */
class TestJobSubmissions {
  private static final int GROUP = 1;
  private static final int MEMBER = 1;
  private static final long FILE_BYTES = 1 << 20;
  private static final int COPIES = 5;
  private static final long TIMEOUT_S = 10;
  private static final int MAX_HEAP_BYTES = 2_000;

  @TempDir Path folder;
  private ReplicaHost host;
  private JobSubmissions submissions;

  private static final class NoPeers implements PeerLinks {
    @Override
    public PeerLink to(int memberId) {
      return null;
    }

    @Override
    public void learn(int memberId, String address) {}
  }

  @BeforeEach
  void startGroupOfOne() throws Exception {
    BatchStateMachine state = new BatchStateMachine();
    JoinSettings join =
        new JoinSettings(Set.of(MEMBER), Set.of(), "", MembershipPolicy.openTolerating(0));
    ReplicaHost.Options options =
        new ReplicaHost.Options(GROUP, MEMBER, join, state, FILE_BYTES, FILE_BYTES);
    host = ReplicaHost.open(options, DataFolder.open(folder).value(), new NoPeers()).value();
    submissions = new JobSubmissions(host.group(), state, host.clock(), MAX_HEAP_BYTES);
    host.start(nowMs -> {});
    while (!onConsensusThread(() -> host.group().isLeading())) {
      Thread.sleep(20);
    }
  }

  @AfterEach
  void stop() {
    host.close();
  }

  private <T> T onConsensusThread(java.util.concurrent.Callable<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    host.execute(
        () -> {
          try {
            result.complete(action.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private static SubmitBatch job() {
    return job("");
  }

  private static SubmitBatch job(String tenant) {
    return job("job", tenant, 10);
  }

  private static SubmitBatch job(String id, String tenant, int bytes) {
    BatchItem item = new BatchItem("item", "/p", Map.of(), new byte[bytes], 100, 40);
    return new SubmitBatch(id, tenant, "route", "host", List.of(item), 3, 20_000, 60_000, 0);
  }

  private List<CompletableFuture<Message>> submitCopies() throws Exception {
    List<CompletableFuture<Message>> replies = new ArrayList<>();
    for (int copy = 0; copy < COPIES; copy++) {
      replies.add(new CompletableFuture<>());
    }
    onConsensusThread(
        () -> {
          replies.forEach(reply -> submissions.submit(job(), reply::complete));
          return null;
        });
    return replies;
  }

  private static void assertAccepted(List<CompletableFuture<Message>> replies) throws Exception {
    for (CompletableFuture<Message> reply : replies) {
      assertThat(reply.get(TIMEOUT_S, TimeUnit.SECONDS))
          .isEqualTo(new ProposeReply(new BatchAccepted("job")));
    }
  }

  @Test
  void appendsConcurrentCopiesOnce() throws Exception {
    long indexBefore = onConsensusThread(() -> host.group().replica().lastIndex());
    assertAccepted(submitCopies());
    assertThat(onConsensusThread(() -> host.group().replica().lastIndex()))
        .isEqualTo(indexBefore + 1);
  }

  @Test
  void doesNotAppendAcceptedJobAgain() throws Exception {
    assertAccepted(submitCopies());
    long acceptedIndex = onConsensusThread(() -> host.group().replica().lastIndex());
    assertAccepted(submitCopies());
    assertThat(onConsensusThread(() -> host.group().replica().lastIndex()))
        .isEqualTo(acceptedIndex);
  }

  /** The tenant could not read the job that it was told is accepted. */
  @Test
  void doesNotAcceptJobUnderTheIdOfAnotherTenantsJob() throws Exception {
    CompletableFuture<Message> first = new CompletableFuture<>();
    CompletableFuture<Message> concurrent = new CompletableFuture<>();
    CompletableFuture<Message> later = new CompletableFuture<>();
    onConsensusThread(
        () -> {
          submissions.submit(job("t1"), first::complete);
          submissions.submit(job("t2"), concurrent::complete);
          return null;
        });
    assertAccepted(List.of(first));
    onConsensusThread(
        () -> {
          submissions.submit(job("t2"), later::complete);
          return null;
        });
    for (CompletableFuture<Message> reply : List.of(concurrent, later)) {
      assertThat(((ProposeReply) reply.get(TIMEOUT_S, TimeUnit.SECONDS)).result())
          .isInstanceOf(Rejected.class);
    }
  }

  @Test
  void refusesJobsForWhichNoHeapIsLeft() throws Exception {
    SubmitBatch large = job("large", "", MAX_HEAP_BYTES / 2);
    SubmitBatch next = job("next", "", MAX_HEAP_BYTES / 2);
    List<CompletableFuture<Message>> replies = new ArrayList<>();
    for (SubmitBatch each : List.of(large, next, large, next)) {
      CompletableFuture<Message> reply = new CompletableFuture<>();
      replies.add(reply);
      onConsensusThread(
          () -> {
            submissions.submit(each, reply::complete);
            return null;
          });
      if (replies.size() > 1) {
        reply.get(TIMEOUT_S, TimeUnit.SECONDS);
      }
    }
    assertThat(replies)
        .extracting(reply -> ((ProposeReply) reply.join()).result().getClass().getSimpleName())
        .containsExactly("BatchAccepted", "Rejected", "BatchAccepted", "Rejected");
  }
}
