package org.knapweedcleat.core.collection;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that drops its oldest entry when it grows beyond a maximum size.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

  private static final long serialVersionUID = 1L;

  private final int maxEntries;

  private BoundedMap(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  /**
   * Returns an empty map.
   *
   * @param maxEntries the maximum number of entries, at least 1
   * @param <K> the type of the keys
   * @param <V> the type of the values
   * @return the map
   * @throws IllegalArgumentException if the maximum is less than 1
   */
  public static <K, V> BoundedMap<K, V> of(int maxEntries) {
    if (maxEntries < 1) {
      throw new IllegalArgumentException("maxEntries must be at least 1, not " + maxEntries);
    }
    return new BoundedMap<>(maxEntries);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
