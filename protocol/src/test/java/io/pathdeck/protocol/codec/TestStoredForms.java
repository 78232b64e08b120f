package io.pathdeck.protocol.codec;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.legacy.FleetRecordV1;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.snapshot.SnapshotHeaderRecord;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Compares the forms of all stored types with the list in {@code stored-forms.txt}. The codec
 * writes components without names, so that a changed type would misread what is on disks. A form
 * that has to grow moves to {@code protocol.legacy}, and the new one is added at the end of the
 * list.
 */
class TestStoredForms {
  private static final String LIST = "stored-forms.txt";

  /** Positions of the types that are on disks: records of logs and snapshots, and their parts. */
  private static Set<Integer> storedPositions() {
    Set<Integer> positions = new TreeSet<>();
    for (Class<?> type : RegisteredTypes.TYPES) {
      boolean isStored =
          LogRecord.class.isAssignableFrom(type)
              || Command.class.isAssignableFrom(type)
              || CommandResult.class.isAssignableFrom(type)
              || type == CommandEnvelope.class
              || type.getPackage() == SnapshotHeaderRecord.class.getPackage()
              || type.getPackage() == FleetRecordV1.class.getPackage();
      if (isStored) {
        addWithParts(type, positions);
      }
    }
    return positions;
  }

  private static void addWithParts(Type type, Set<Integer> positions) {
    if (type instanceof ParameterizedType generic) {
      Arrays.stream(generic.getActualTypeArguments())
          .forEach(argument -> addWithParts(argument, positions));
      return;
    }
    int position = RegisteredTypes.TYPES.indexOf(type);
    boolean isNew = position >= 0 && positions.add(position);
    if (isNew && type instanceof Class<?> record && record.isRecord()) {
      Arrays.stream(record.getRecordComponents())
          .forEach(component -> addWithParts(component.getGenericType(), positions));
    }
  }

  private static String form(int position) {
    Class<?> type = RegisteredTypes.TYPES.get(position);
    String parts =
        type.isEnum()
            ? Arrays.stream(type.getEnumConstants())
                .map(String::valueOf)
                .collect(Collectors.joining(", "))
            : Arrays.stream(type.getRecordComponents())
                .map(TestStoredForms::component)
                .collect(Collectors.joining(", "));
    return position + " " + type.getSimpleName() + "(" + parts + ")";
  }

  private static String component(RecordComponent component) {
    String type = component.getGenericType().getTypeName();
    return component.getName() + ":" + type.replaceAll("[a-z0-9]+\\.", "");
  }

  private static List<String> listedForms() throws IOException {
    try (InputStream list = TestStoredForms.class.getResourceAsStream(LIST)) {
      return new String(list.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
  }

  @Test
  void storedTypesKeepTheirPositionsAndComponents() throws IOException {
    List<String> forms = new ArrayList<>();
    storedPositions().forEach(position -> forms.add(form(position)));
    assertThat(forms).isEqualTo(listedForms());
  }
}
