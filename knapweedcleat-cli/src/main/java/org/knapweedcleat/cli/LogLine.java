package org.knapweedcleat.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.Map;

/**
 * One line of an instance's log.
 *
 * @param source who wrote it: what stands before the line, or the file
 * @param atMillis when, in Unix milliseconds
 * @param event the event's name
 * @param values its keys and values
 */
record LogLine(String source, long atMillis, String event, JsonObject values) {

  private static final String REQUEST = "requestId";

  /**
   * Reads a line.
   *
   * @param source who wrote it
   * @param record the line's JSON
   * @return the line
   * @throws ClassCastException if a field has another type
   */
  static LogLine of(String source, JsonObject record) {
    JsonObject values = new JsonObject();
    JsonArray pairs = record.getJsonArray("kvpList", new JsonArray());
    for (int i = 0; i < pairs.size(); i++) {
      for (Map.Entry<String, Object> pair : pairs.getJsonObject(i)) {
        values.put(pair.getKey(), pair.getValue());
      }
    }
    return new LogLine(
        source, record.getLong("timestamp", 0L), record.getString("message", ""), values);
  }

  boolean isAbout(String requestId) {
    return requestId.equals(values.getString(REQUEST));
  }

  /** Tells whether the line is about what the instance believes, not about a request. */
  boolean isInstanceEvent() {
    return !values.containsKey(REQUEST);
  }

  JsonObject json() {
    return new JsonObject()
        .put("source", source)
        .put("atMillis", atMillis)
        .put("event", event)
        .put("values", values);
  }

  String text() {
    StringBuilder text = new StringBuilder();
    text.append(Instant.ofEpochMilli(atMillis)).append(' ').append(source).append(' ');
    text.append(event);
    values.forEach(
        value -> text.append(' ').append(value.getKey()).append('=').append(value.getValue()));
    return text.toString();
  }
}
