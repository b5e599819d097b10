package org.knapweedcleat.core.directory.check;

/**
 * A location in the text of a configuration, in the platform's names.
 *
 * @param line the line number, starting at 1, or 0 if it is not known
 * @param section the section and, if it has one, the name of the entry
 * @param key the key, or empty for the whole entry
 */
public record SourceLocation(int line, String section, String key) {}
