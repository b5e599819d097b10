package org.knapweedcleat.core.config;

/**
 * A key's value as written.
 *
 * @param text the value
 * @param line the line, counted from 1
 */
record IniEntry(String text, int line) {}
