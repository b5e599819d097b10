package org.knapweedcleat.core.directory.check;

/**
 * A change of a field. Neither value contains a key or the digest of one.
 *
 * @param field the field
 * @param before the old value; empty if there was none
 * @param after the new value; empty if there is none
 */
public record FieldChange(ConfigField field, String before, String after) {}
