package org.knapweedcleat.core.directory.check;

/**
 * A finding in a parsed configuration. Its text never contains a key or the digest of one.
 *
 * @param kind the kind of finding
 * @param entry the entry
 * @param field the field; {@link ConfigField#NAME} for the whole entry
 * @param text what was found and what follows from it
 */
public record Finding(FindingKind kind, ConfigEntry entry, ConfigField field, String text) {}
