package org.knapweedcleat.core.directory.check;

/**
 * A finding with its location in the text. Its text never contains a key or the digest of one.
 *
 * @param kind the kind of finding
 * @param location the location
 * @param text what was found and what follows from it
 */
public record LocatedFinding(FindingKind kind, SourceLocation location, String text) {}
