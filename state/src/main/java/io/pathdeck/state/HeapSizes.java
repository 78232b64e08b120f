package io.pathdeck.state;

import io.pathdeck.protocol.fleet.BatchItem;
import java.util.Map;

/** Estimates of the heap that parts of a batch job take, in bytes. */
public final class HeapSizes {
  /** Objects of an item and its result, without texts, long names and content. */
  static final long ITEM_BYTES = 400;

  private static final long HEADER_BYTES = 100;
  private static final char LAST_SINGLE_BYTE_CHAR = 0xFF;

  private HeapSizes() {}

  /** A string takes one byte a character, or two if one of them needs two. */
  static long ofText(String text) {
    return ofText(text.length(), isWide(text));
  }

  static long ofText(int length, boolean isWide) {
    return isWide ? 2L * length : length;
  }

  /** Whether a character of the text needs two bytes. */
  static boolean isWide(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) > LAST_SINGLE_BYTE_CHAR) {
        return true;
      }
    }
    return false;
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
    return ITEM_BYTES + ofText(item.id()) + ofText(item.path()) + ofContent(item);
  }
}
