// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes typed messages as JSON. Unknown fields of others' messages are passed over. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .defaultPropertyInclusion(JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, null))
          .build();

  private Json() {}

  /** Returns a message as one line of JSON. */
  public static String write(Object message) {
    try {
      return MAPPER.writeValueAsString(message);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a message.
   *
   * @throws IOException if the bytes are no JSON of the type's form
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T message = MAPPER.readValue(bytes, type);
    if (message == null) {
      throw new IOException(type.getSimpleName());
    }
    return message;
  }

  /** Reads a message from text; see {@link #read(byte[], Class)}. */
  public static <T> T read(String text, Class<T> type) throws IOException {
    T message = MAPPER.readValue(text, type);
    if (message == null) {
      throw new IOException(type.getSimpleName());
    }
    return message;
  }
}
