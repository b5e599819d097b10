package org.knapweedcleat.standins.fault;

import java.util.HashMap;
import java.util.Map;

/** A command-line option of the form {@code id=e1,host=127.0.0.1,port=9000}. */
public final class KeyValueOption {

  private final Map<String, String> values;

  private KeyValueOption(Map<String, String> values) {
    this.values = values;
  }

  /**
   * Parses an option.
   *
   * @param text the option's value
   * @return the parsed option
   * @throws IllegalArgumentException if a part has no equals sign
   */
  public static KeyValueOption parse(String text) {
    Map<String, String> values = new HashMap<>();
    for (String part : text.split(",")) {
      int equals = part.indexOf('=');
      if (equals < 1) {
        throw new IllegalArgumentException("expected key=value, found " + part);
      }
      values.put(part.substring(0, equals), part.substring(equals + 1));
    }
    return new KeyValueOption(values);
  }

  /**
   * Returns a string.
   *
   * @param key the key
   * @return its value
   * @throws IllegalArgumentException if it is missing
   */
  public String string(String key) {
    String value = values.get(key);
    if (value == null) {
      throw new IllegalArgumentException("missing " + key + " in " + values);
    }
    return value;
  }

  /**
   * Returns an integer.
   *
   * @param key the key
   * @return its value
   * @throws IllegalArgumentException if it is missing or not an integer
   */
  public int integer(String key) {
    return Integer.parseInt(string(key));
  }

  /**
   * Returns an integer, or a default if the key is absent.
   *
   * @param key the key
   * @param fallback the default
   * @return the value
   */
  public int integer(String key, int fallback) {
    return values.containsKey(key) ? integer(key) : fallback;
  }
}
