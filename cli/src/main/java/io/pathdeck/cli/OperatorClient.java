package io.pathdeck.cli;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.pathdeck.protocol.generated.OperatorGrpc;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Calls the operators' API on the first controller that answers. */
final class OperatorClient implements AutoCloseable {
  private static final long DEADLINE_SECONDS = 20;
  private static final int MAX_MESSAGE_LENGTH = 32 * 1024 * 1024;

  private final List<ManagedChannel> channels = new ArrayList<>();

  OperatorClient(List<String> addresses) {
    for (String address : addresses) {
      channels.add(
          NettyChannelBuilder.forTarget(address)
              .usePlaintext()
              .maxInboundMessageSize(MAX_MESSAGE_LENGTH)
              .build());
    }
  }

  <T> T call(Function<OperatorGrpc.OperatorBlockingStub, T> call) {
    return onFirst(
        channel ->
            call.apply(
                OperatorGrpc.newBlockingStub(channel)
                    .withDeadlineAfter(DEADLINE_SECONDS, TimeUnit.SECONDS)));
  }

  <T> T stream(Function<OperatorGrpc.OperatorBlockingStub, T> call) {
    return onFirst(channel -> call.apply(OperatorGrpc.newBlockingStub(channel)));
  }

  /** A command keeps its identity from one controller to the next, so trying again is safe. */
  private <T> T onFirst(Function<ManagedChannel, T> call) {
    StatusRuntimeException last = Status.UNAVAILABLE.asRuntimeException();
    for (ManagedChannel channel : channels) {
      try {
        return call.apply(channel);
      } catch (StatusRuntimeException e) {
        if (e.getStatus().getCode() != Status.Code.UNAVAILABLE) {
          throw e;
        }
        last = e;
      }
    }
    throw last;
  }

  @Override
  public void close() {
    channels.forEach(ManagedChannel::shutdownNow);
  }
}
