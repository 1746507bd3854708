// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ContainerNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads JSON into trees as the mapper of the JSON library does, without the mapper. Of equal names
 * in an object the last one counts, unless the factory forbids them. Immutable; safe for all
 * threads.
 */
public final class JsonTreeReader {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private final JsonFactory factory;
  private final boolean onlyValue;

  /**
   * Creates a reader.
   *
   * @param factory creates parsers, with the features and limits that apply
   * @param onlyValue whether anything after the first value is an error; else it is ignored
   */
  public JsonTreeReader(JsonFactory factory, boolean onlyValue) {
    this.factory = factory;
    this.onlyValue = onlyValue;
  }

  /**
   * Reads a tree; a missing node if the input is empty.
   *
   * @throws IOException if the text is not valid JSON
   */
  public JsonNode read(String text) throws IOException {
    try (JsonParser parser = factory.createParser(text)) {
      return read(parser);
    }
  }

  /**
   * Reads a tree; a missing node if the input is empty.
   *
   * @throws IOException if the bytes are not valid JSON
   */
  public JsonNode read(byte[] bytes) throws IOException {
    try (JsonParser parser = factory.createParser(bytes)) {
      return read(parser);
    }
  }

  private JsonNode read(JsonParser parser) throws IOException {
    JsonToken first = parser.nextToken();
    if (first == null) {
      return MissingNode.getInstance();
    }
    JsonNode root = node(first, parser);
    readContent(root, parser);
    if (onlyValue && parser.nextToken() != null) {
      throw new JsonParseException(parser, "text after the end of the value");
    }
    return root;
  }

  /** Reads what a container holds; others hold nothing. Not recursive: the input may be deep. */
  private static void readContent(JsonNode root, JsonParser parser) throws IOException {
    Deque<ContainerNode<?>> open = new ArrayDeque<>();
    pushIfContainer(root, open);
    while (!open.isEmpty()) {
      JsonToken token = parser.nextToken();
      if (token.isStructEnd()) {
        open.pop();
      } else {
        JsonNode child = addChild(open.peek(), token, parser);
        pushIfContainer(child, open);
      }
    }
  }

  private static void pushIfContainer(JsonNode node, Deque<ContainerNode<?>> open) {
    if (node instanceof ContainerNode<?> container) {
      open.push(container);
    }
  }

  /** Adds the element or the field that a token begins, and returns its value, still empty. */
  private static JsonNode addChild(ContainerNode<?> parent, JsonToken token, JsonParser parser)
      throws IOException {
    JsonNode child;
    if (parent instanceof ObjectNode object) {
      String name = parser.currentName();
      child = node(parser.nextToken(), parser);
      object.set(name, child);
    } else {
      child = node(token, parser);
      ((ArrayNode) parent).add(child);
    }
    return child;
  }

  private static JsonNode node(JsonToken token, JsonParser parser) throws IOException {
    return switch (token) {
      case START_OBJECT -> NODES.objectNode();
      case START_ARRAY -> NODES.arrayNode();
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_NUMBER_INT -> integer(parser);
      default -> throw new JsonParseException(parser, "unexpected " + token);
    };
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }
}
