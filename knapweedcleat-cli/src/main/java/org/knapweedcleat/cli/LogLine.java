package org.knapweedcleat.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.Map;

/**
 * One line of an instance's log.
 *
 * @param source the source of the line: the text that precedes it, or the file name
 * @param atMillis the time in Unix milliseconds
 * @param event the name of the event
 * @param values the keys and values of the event
 */
record LogLine(String source, long atMillis, String event, JsonObject values) {

  private static final String REQUEST_ID_KEY = "requestId";

  /**
   * Parses a line.
   *
   * @param source the source of the line
   * @param record the JSON of the line
   * @return the line
   * @throws ClassCastException if a field has an unexpected type
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
    return requestId.equals(values.getString(REQUEST_ID_KEY));
  }

  /** Returns whether the line is about the instance itself and not about a request. */
  boolean isInstanceEvent() {
    return !values.containsKey(REQUEST_ID_KEY);
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
