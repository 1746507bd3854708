// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.settings;

import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.fawndrum.errors.BadSettingsException;
import org.fawndrum.internal.json.JsonTreeReader;

/** Parses settings files: JSON that may contain comments and trailing commas. */
public final class SettingsFile {
  private static final JsonTreeReader READER =
      new JsonTreeReader(
          new JsonFactoryBuilder()
              .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
              .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
              .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
              .build(),
          false);

  private SettingsFile() {}

  /**
   * Parses a file.
   *
   * @throws BadSettingsException if the file cannot be read or parsed
   */
  public static JsonNode tree(Path file) {
    try {
      return READER.read(Files.readString(file));
    } catch (JsonProcessingException e) {
      String line = e.getLocation() == null ? "?" : "" + e.getLocation().getLineNr();
      String remedy = "write JSON; // comments are allowed";
      throw exception(file, "line " + line, e.getOriginalMessage(), remedy);
    } catch (IOException e) {
      String name = e.getClass().getSimpleName();
      throw exception(file, "(file)", name, "name a file that can be read");
    }
  }

  /** Returns an empty object. */
  static JsonNode empty() {
    return JsonNodeFactory.instance.objectNode();
  }

  private static BadSettingsException exception(
      Path file, String key, String value, String remedy) {
    return new BadSettingsException(
        file.toString(), List.of(new SettingsFault(key, value, remedy)));
  }
}
