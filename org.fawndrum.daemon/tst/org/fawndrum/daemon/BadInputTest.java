// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.fawndrum.transport.EntryHostRuntime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Invalid input is answered with a status and an error body that client libraries can parse. */
class BadInputTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String CHAT = "/v1/chat/completions";

  private final TestSite site = new TestSite();
  private EntryHostRuntime host;

  @BeforeEach
  void start() {
    site.engine("engine-1", "a");
    host = site.host("host-a", "a");
    site.publishTable(host);
    site.ready(host);
  }

  @AfterEach
  void close() {
    site.close();
  }

  private void assertRefused(int status, String code, String key, String path, String body)
      throws IOException {
    HttpResponse<String> response = site.post(host.callerPort(), path, key, body);
    assertEquals(status, response.statusCode(), response.body());
    assertError(code, response.body());
  }

  private static void assertError(String code, String body) throws IOException {
    JsonNode error = MAPPER.readTree(body).get("error");
    assertEquals(code, error.get("code").asText());
    assertEquals("no", error.get("ran").asText());
    assertFalse(error.get("type").asText().isEmpty());
    assertFalse(error.get("request_id").asText().isEmpty());
  }

  private static String chat(String model, String prompt) {
    return "{\"model\":"
        + model
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + prompt
        + "\"}]}";
  }

  @Test
  void bodiesThatAreNotChatRequestsAreRefused() throws IOException {
    assertRefused(400, "invalid_request", TestSite.CHAT_KEY, CHAT, "no json");
    assertRefused(400, "invalid_request", TestSite.CHAT_KEY, CHAT, "");
    assertRefused(400, "invalid_request", TestSite.CHAT_KEY, CHAT, "null");
    assertRefused(400, "invalid_request", TestSite.CHAT_KEY, CHAT, chat("null", "x"));
    assertRefused(
        400, "invalid_request", TestSite.CHAT_KEY, CHAT, "{\"model\":\"m\",\"messages\":[null]}");
    assertRefused(
        400, "invalid_request", TestSite.CHAT_KEY, CHAT, "{\"model\":\"m\",\"messages\":[]}");
    assertRefused(
        400,
        "invalid_request",
        TestSite.CHAT_KEY,
        CHAT,
        "{\"model\":\"m\",\"max_tokens\":-1,\"messages\":[{\"content\":\"x\"}]}");
  }

  @Test
  void sizesAboveTheLimitsAreRefused() throws IOException {
    assertRefused(
        400, "prompt_too_long", TestSite.CHAT_KEY, CHAT, chat("\"m\"", "x".repeat(700_000)));
    assertRefused(413, "body_too_large", TestSite.CHAT_KEY, CHAT, "x".repeat(2_000_000));
  }

  @Test
  void unknownCallersAndTargetsAreRefused() throws IOException {
    assertRefused(401, "unknown_key", "no such key", CHAT, chat("\"m\"", "x"));
    assertRefused(404, "no_route", TestSite.CHAT_KEY, "/orders/1", "{}");
    assertRefused(503, "no_endpoint", TestSite.CHAT_KEY, CHAT, chat("\"other\"", "x"));
  }

  @Test
  void oversizedHeadersAndIncompleteRequestsAreRefused() throws IOException {
    assertError(
        "headers_too_large", raw("GET / HTTP/1.1\r\nx: " + "y".repeat(20_000) + "\r\n\r\n"));
    String incomplete =
        "POST "
            + CHAT
            + " HTTP/1.1\r\nauthorization: Bearer "
            + TestSite.CHAT_KEY
            + "\r\ncontent-length: 100\r\n\r\n{\"model\"";
    assertError("request_incomplete", raw(incomplete));
    assertEquals("", raw("POST " + CHAT + " HTTP/1.1\r\nx: half a header"));
    assertError("invalid_request", raw("this is no HTTP\r\n\r\n"));
  }

  /** Sends bytes and returns the body of the response, read until the connection is closed. */
  /** The field was passed on to the service of the call. */
  @Test
  void aFieldWithoutANameIsRefused() throws IOException {
    String head = "GET /orders/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ";
    assertError("invalid_request", raw(head + TestSite.CHAT_KEY + "\r\n: v\r\n\r\n"));
  }

  private String raw(String text) throws IOException {
    try (Socket socket = new Socket(TestSite.IP, host.callerPort())) {
      // Bounds the test run in case the connection is never closed.
      socket.setSoTimeout(20_000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      InputStream in = socket.getInputStream();
      String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      int body = answer.indexOf("\r\n\r\n");
      return body < 0 ? "" : answer.substring(body + 4);
    }
  }

  @Test
  void operatorsNeedKeyAndPermission() {
    int port = host.operatorPort();
    assertEquals(401, site.get(port, "/status", "wrong").statusCode());
    assertEquals(401, site.get(port, "/status", TestSite.CHAT_KEY).statusCode());
    assertEquals(200, site.get(port, "/status", TestSite.READER_KEY).statusCode());
    assertEquals(403, site.post(port, "/drain", TestSite.READER_KEY, "").statusCode());
    assertEquals(403, site.post(port, "/table/publish", TestSite.READER_KEY, "{}").statusCode());
    assertEquals(400, site.post(port, "/table/publish", TestSite.OPERATOR_KEY, "x").statusCode());
    assertEquals(200, site.get(port, "/health", "").statusCode());
    assertTrue(site.get(port, "/metrics", TestSite.READER_KEY).body().length() >= 0);
  }
}
