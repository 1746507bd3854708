// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.fawndrum.internal.json.JsonTreeReader;
import org.fawndrum.internal.json.RecordWriter;

/** Serializes and parses typed messages as JSON. Unknown fields are ignored when parsing. */
public final class Json {
  private static final JsonTreeReader TREES = new JsonTreeReader(new JsonFactory(), true);
  private static final RecordWriter RECORDS =
      new RecordWriter((value, out) -> Binding.MAPPER.writeValue(out, value));

  private Json() {}

  /** What binds messages to classes; made when it is first used, because that is costly. */
  private static final class Binding {
    static final ObjectMapper MAPPER =
        JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .defaultPropertyInclusion(
                JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, null))
            .build();

    private Binding() {}
  }

  /** Serializes a message to one line of JSON, without null fields. */
  public static String write(Object message) {
    try {
      return message instanceof Record typed
          ? RECORDS.write(typed)
          : Binding.MAPPER.writeValueAsString(message);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a message whose fields the caller reads itself.
   *
   * @throws IOException if the bytes are not valid JSON, or empty
   */
  public static JsonNode tree(byte[] bytes) throws IOException {
    JsonNode tree = TREES.read(bytes);
    if (tree.isMissingNode()) {
      throw new EOFException("no JSON");
    }
    return tree;
  }

  /**
   * Parses a message.
   *
   * @throws IOException if the bytes are not valid JSON for the type
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T message = Binding.MAPPER.readValue(bytes, type);
    if (message == null) {
      throw new IOException(type.getSimpleName());
    }
    return message;
  }

  /** Parses a message from text; see {@link #read(byte[], Class)}. */
  public static <T> T read(String text, Class<T> type) throws IOException {
    T message = Binding.MAPPER.readValue(text, type);
    if (message == null) {
      throw new IOException(type.getSimpleName());
    }
    return message;
  }
}
