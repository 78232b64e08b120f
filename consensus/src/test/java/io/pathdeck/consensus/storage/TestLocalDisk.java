package io.pathdeck.consensus.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against stores that end while they receive a large snapshot, since the memory outside the
 * heap that a write takes grew with the content.
 */
class TestLocalDisk {
  private static final int MEGABYTE = 1 << 20;

  @TempDir private Path folder;

  private static long directBytes() {
    return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(pool -> pool.getName().equals("direct"))
        .mapToLong(BufferPoolMXBean::getMemoryUsed)
        .sum();
  }

  private static byte[] content(int length) {
    byte[] content = new byte[length];
    for (int i = 0; i < length; i++) {
      content[i] = (byte) (i * 31 + i / 251);
    }
    return content;
  }

  private Path write(byte[] content) throws Exception {
    Path path = folder.resolve("content");
    try (DiskFile file = new LocalDisk().create(path)) {
      file.append(ByteBuffer.wrap(content, 0, content.length / 3));
      file.append(
          ByteBuffer.wrap(content, content.length / 3, content.length - content.length / 3));
    }
    return path;
  }

  /** The JDK keeps the buffers of a thread's writes for as long as it lives. */
  @ParameterizedTest
  @ValueSource(ints = {1, 16, 48})
  void memoryOutsideTheHeapDoesNotGrowWithTheContent(int megabytes) throws Exception {
    byte[] content = content(megabytes * MEGABYTE);
    ExecutorService thread = Executors.newSingleThreadExecutor();
    long before = directBytes();
    thread.submit(() -> write(content)).get();
    assertThat(directBytes() - before).isLessThan(MEGABYTE);
    thread.shutdown();
  }

  @Test
  void writesAllBytesInOrder() throws Exception {
    byte[] content = content(3 * MEGABYTE + 17);
    assertThat(Files.readAllBytes(write(content))).isEqualTo(content);
  }
}
