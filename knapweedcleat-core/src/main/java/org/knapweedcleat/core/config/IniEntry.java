package org.knapweedcleat.core.config;

/**
 * The unparsed value of a key.
 *
 * @param text the text of the value
 * @param line the line number, starting at 1
 */
record IniEntry(String text, int line) {}
