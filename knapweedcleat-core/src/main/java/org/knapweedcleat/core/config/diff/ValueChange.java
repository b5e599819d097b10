package org.knapweedcleat.core.config.diff;

/**
 * The change of a value between two documents.
 *
 * @param key the key
 * @param before the value in the older document, or empty if there is none
 * @param after the value in the newer document, or empty if there is none
 */
public record ValueChange(String key, String before, String after) {}
