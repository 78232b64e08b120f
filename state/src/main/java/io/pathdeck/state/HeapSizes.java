package io.pathdeck.state;

import io.pathdeck.protocol.fleet.BatchItem;
import java.util.Map;

/** Estimates of the heap that parts of a batch job take, in bytes. */
public final class HeapSizes {
  /** Objects of an item and its result, without texts and content. */
  static final long ITEM_BYTES = 400;

  private static final long HEADER_BYTES = 100;
  private static final char LAST_SINGLE_BYTE_CHAR = 0xFF;

  private HeapSizes() {}

  /** A string takes one byte a character, or two if one of them needs two. */
  static long ofText(String text) {
    boolean isWide = text.chars().anyMatch(each -> each > LAST_SINGLE_BYTE_CHAR);
    return isWide ? 2L * text.length() : text.length();
  }

  /** The body and the headers of an item. */
  static long ofContent(BatchItem item) {
    long bytes = item.body().length;
    for (Map.Entry<String, String> header : item.headers().entrySet()) {
      bytes += HEADER_BYTES + ofText(header.getKey()) + ofText(header.getValue());
    }
    return bytes;
  }

  /** An item without a result. */
  public static long ofOpenItem(BatchItem item) {
    return ITEM_BYTES + ofContent(item);
  }
}
