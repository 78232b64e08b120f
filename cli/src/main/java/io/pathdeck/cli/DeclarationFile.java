package io.pathdeck.cli;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.control.OperatorMessages;
import io.pathdeck.protocol.generated.Declaration;
import io.pathdeck.state.DeclarationValidator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A declaration kept in version control, as YAML in the shape of the operators' schema. */
final class DeclarationFile {
  private static final ObjectMapper YAML = new YAMLMapper();

  private DeclarationFile() {}

  /** Reads and checks a file. */
  static Result<Declaration, SettingsError> read(Path file) {
    Declaration.Builder builder = Declaration.newBuilder();
    try {
      JsonNode tree = YAML.readTree(Files.readString(file));
      JsonFormat.parser().merge(tree.toString(), builder);
    } catch (JacksonException e) {
      return problem(file + ": not valid YAML: " + e.getOriginalMessage());
    } catch (InvalidProtocolBufferException e) {
      return problem(file + ": " + e.getMessage());
    } catch (IOException e) {
      return problem(file + ": cannot be read: " + e);
    }
    Declaration declaration = builder.build();
    List<String> problems = DeclarationValidator.validate(OperatorMessages.fromProto(declaration));
    if (!problems.isEmpty()) {
      return Result.err(
          new SettingsError(problems.stream().map(text -> file + ": " + text).toList()));
    }
    return Result.ok(declaration);
  }

  private static Result<Declaration, SettingsError> problem(String text) {
    return Result.err(new SettingsError(List.of(text)));
  }
}
