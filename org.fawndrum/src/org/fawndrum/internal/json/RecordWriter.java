// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.internal.json;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Writes records as JSON objects, without components that are null. A component has its own name or
 * that of its {@link JsonProperty}; methods that are no component are not written. Safe for all
 * threads.
 */
public final class RecordWriter {
  private final JsonFactory factory = new JsonFactory();
  private final Map<Class<?>, Component[]> components = new ConcurrentHashMap<>();
  private final OtherValues others;

  /** Writes values that are neither texts, numbers, flags, records, nor lists and maps of them. */
  public interface OtherValues {
    /** Writes a value, which is not null. */
    void write(Object value, JsonGenerator out) throws IOException;
  }

  /** A component of a record: its name in JSON and what reads it. */
  private record Component(String name, Method accessor) {}

  /** Creates a writer that has seen no record. */
  public RecordWriter(OtherValues others) {
    this.others = others;
  }

  /**
   * Returns a record as one line of JSON.
   *
   * @throws IOException if a value can't be written
   */
  public String write(Record message) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = factory.createGenerator(text)) {
      writeRecord(message, out);
    }
    return text.toString();
  }

  private void writeRecord(Record message, JsonGenerator out) throws IOException {
    out.writeStartObject();
    for (Component component :
        components.computeIfAbsent(message.getClass(), RecordWriter::componentsOf)) {
      Object value = read(component.accessor(), message);
      if (value != null) {
        out.writeFieldName(component.name());
        writeValue(value, out);
      }
    }
    out.writeEndObject();
  }

  private void writeValue(Object value, JsonGenerator out) throws IOException {
    if (value == null) {
      out.writeNull();
    } else if (value instanceof CharSequence text) {
      out.writeString(text.toString());
    } else if (value instanceof Enum<?> constant) {
      out.writeString(constant.name());
    } else if (value instanceof Boolean flag) {
      out.writeBoolean(flag);
    } else if (value instanceof Long || value instanceof Integer) {
      out.writeNumber(((Number) value).longValue());
    } else if (value instanceof Double number) {
      out.writeNumber(number);
    } else if (value instanceof Record inner) {
      writeRecord(inner, out);
    } else if (value instanceof Collection<?> elements) {
      writeArray(elements, out);
    } else if (value instanceof Map<?, ?> map) {
      writeMap(map, out);
    } else {
      others.write(value, out);
    }
  }

  private void writeArray(Collection<?> elements, JsonGenerator out) throws IOException {
    out.writeStartArray();
    for (Object element : elements) {
      writeValue(element, out);
    }
    out.writeEndArray();
  }

  private void writeMap(Map<?, ?> map, JsonGenerator out) throws IOException {
    out.writeStartObject();
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      out.writeFieldName(String.valueOf(entry.getKey()));
      writeValue(entry.getValue(), out);
    }
    out.writeEndObject();
  }

  private static Component[] componentsOf(Class<?> type) {
    RecordComponent[] declared = type.getRecordComponents();
    Component[] components = new Component[declared.length];
    for (int i = 0; i < declared.length; i++) {
      Method accessor = declared[i].getAccessor();
      // Records of other packages need not be public.
      accessor.setAccessible(true);
      JsonProperty property = accessor.getAnnotation(JsonProperty.class);
      String name = property == null ? declared[i].getName() : property.value();
      components[i] = new Component(name, accessor);
    }
    return components;
  }

  private static Object read(Method accessor, Record message) throws IOException {
    try {
      return accessor.invoke(message);
    } catch (IllegalAccessException | InvocationTargetException e) {
      throw new IOException(accessor.toString(), e);
    }
  }
}
