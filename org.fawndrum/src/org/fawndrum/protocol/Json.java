// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Serializes and parses typed messages as JSON. Unknown fields are ignored when parsing. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .defaultPropertyInclusion(JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, null))
          .build();

  private Json() {}

  /** Serializes a message to one line of JSON, without null fields. */
  public static String write(Object message) {
    try {
      return MAPPER.writeValueAsString(message);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a message.
   *
   * @throws IOException if the bytes are not valid JSON for the type
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T message = MAPPER.readValue(bytes, type);
    if (message == null) {
      throw new IOException(type.getSimpleName());
    }
    return message;
  }

  /** Parses a message from text; see {@link #read(byte[], Class)}. */
  public static <T> T read(String text, Class<T> type) throws IOException {
    T message = MAPPER.readValue(text, type);
    if (message == null) {
      throw new IOException(type.getSimpleName());
    }
    return message;
  }
}
