// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Trees that are read without the mapper of the JSON library are those that it would read. */
class JsonTreeReaderTest {
  private static final int NESTED = 900;
  private static final int NESTED_TOO_DEEP = 20_000;

  private final JsonTreeReader reader = new JsonTreeReader(new JsonFactory(), true);

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "[]",
        "null",
        "true",
        "-7",
        "2147483648",
        "9223372036854775808",
        "1.5",
        "1e400",
        "\"a\\u00e9\\n\"",
        "{\"a\":[1,{\"b\":[]},[[2]],\"c\"],\"d\":{\"e\":null,\"f\":{}},\"g\":false}",
        "{\"a\":1,\"a\":{\"b\":2}}"
      })
  void aTreeIsThatOfTheMapper(String text) throws Exception {
    JsonNode expected = new ObjectMapper().readTree(text);
    assertEquals(expected, reader.read(text));
    assertEquals(expected, reader.read(text.getBytes(StandardCharsets.UTF_8)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"{", "[1", "{\"a\"", "{\"a\":", "[}", "{]", "1 2", "{} x", "{'a':1}", "nul"})
  void whatIsNoJsonFails(String text) {
    assertThrows(IOException.class, () -> reader.read(text));
  }

  @Test
  void emptyInputIsMissing() throws Exception {
    assertTrue(reader.read("").isMissingNode());
    assertTrue(reader.read(new byte[0]).isMissingNode());
  }

  @Test
  void deepInputIsReadOrRefused() throws Exception {
    JsonNode tree = reader.read("[".repeat(NESTED) + "]".repeat(NESTED));
    assertEquals(1, tree.size());
    String tooDeep = "[".repeat(NESTED_TOO_DEEP) + "]".repeat(NESTED_TOO_DEEP);
    assertThrows(IOException.class, () -> reader.read(tooDeep));
  }
}
