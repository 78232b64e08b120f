package io.pathdeck.protocol.codec;

import io.pathdeck.common.result.Result;
import java.util.List;
import org.apache.fory.Fory;
import org.apache.fory.ThreadLocalFory;
import org.apache.fory.config.Language;
import org.apache.fory.logging.LoggerFactory;

/**
 * Encodes the registered message and log types with Fory.
 *
 * <p>Only registered types are decoded, so bytes from outside cannot create arbitrary objects.
 */
public final class ObjectCodec {
  private static final ThreadLocalFory FORY = createFory();

  private ObjectCodec() {}

  /** Why bytes could not be decoded. */
  public record CodecError(String reason) {}

  private static ThreadLocalFory createFory() {
    LoggerFactory.disableLogging();
    ThreadLocalFory fory =
        Fory.builder()
            .withLanguage(Language.JAVA)
            .requireClassRegistration(true)
            .withRefTracking(false)
            .registerGuavaTypes(false)
            .withCodegen(Boolean.parseBoolean(System.getProperty("pathdeck.codec.codegen", "true")))
            .suppressClassRegistrationWarnings(true)
            .buildThreadLocalFory();
    fory.registerCallback(ObjectCodec::register);
    return fory;
  }

  private static void register(Fory fory) {
    List<Class<?>> types = RegisteredTypes.TYPES;
    for (int i = 0; i < types.size(); i++) {
      fory.register(types.get(i), RegisteredTypes.FIRST_ID + i);
    }
  }

  /** Encodes a registered object. */
  public static byte[] encode(Object value) {
    return FORY.serialize(value);
  }

  /** Decodes bytes into an object of {@code type}. */
  @SuppressWarnings("CatchingUnchecked") // the library reports damage with many exception types
  public static <T> Result<T, CodecError> decode(byte[] bytes, Class<T> type) {
    try {
      Object value = FORY.deserialize(bytes);
      if (type.isInstance(value)) {
        return Result.ok(type.cast(value));
      }
      return Result.err(new CodecError("expected " + type.getSimpleName()));
    } catch (Exception e) {
      return Result.err(new CodecError(e.toString()));
    }
  }
}
