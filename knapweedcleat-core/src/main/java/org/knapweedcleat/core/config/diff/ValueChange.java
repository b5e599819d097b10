package org.knapweedcleat.core.config.diff;

/**
 * One value that differs between two documents.
 *
 * @param key the key
 * @param before the value in the older document, empty for none
 * @param after the value in the newer document, empty for none
 */
public record ValueChange(String key, String before, String after) {}
