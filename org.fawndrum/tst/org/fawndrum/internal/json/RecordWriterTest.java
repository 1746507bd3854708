// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.json;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Records are written as the mapper of the JSON library writes them. */
class RecordWriterTest {
  private final ObjectMapper mapper =
      JsonMapper.builder()
          .defaultPropertyInclusion(JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, null))
          .build();

  private final RecordWriter writer =
      new RecordWriter((value, out) -> mapper.writeValue(out, value));

  private record Inner(@JsonProperty("Id") String id, Long absent) {}

  private record Outer(
      String text,
      int whole,
      Long large,
      double fraction,
      boolean flag,
      TimeUnit unit,
      Inner inner,
      List<Inner> list,
      Map<String, Integer> map,
      byte[] bytes,
      @JsonProperty("other_name") String named) {}

  @Test
  void aRecordIsWrittenAsTheMapperWritesIt() throws Exception {
    Outer message =
        new Outer(
            "a \"b\"\n\u00e9",
            -1,
            Long.MAX_VALUE,
            1.25,
            true,
            TimeUnit.DAYS,
            new Inner("i", null),
            List.of(new Inner(null, 2L), new Inner("j", 0L)),
            Map.of("k", 3),
            new byte[] {1, 2, 3},
            "n");
    assertEquals(mapper.writeValueAsString(message), writer.write(message));
  }

  private record Message(String role, JsonNode content) {}

  /** A tree can be iterated over, and a text in one was written as an empty list. */
  @Test
  void aTreeInARecordIsWrittenAsItIs() throws Exception {
    for (String tree : List.of("\"text\"", "7", "{\"a\":[1,{\"b\":null}]}", "[\"c\",{}]")) {
      Message message = new Message("user", mapper.readTree(tree));
      assertEquals("{\"role\":\"user\",\"content\":" + tree + "}", writer.write(message));
    }
  }

  @Test
  void componentsThatAreNullAreLeftOut() throws Exception {
    Outer message = new Outer(null, 0, null, Double.NaN, false, null, null, null, null, null, null);
    assertEquals(mapper.writeValueAsString(message), writer.write(message));
  }
}
