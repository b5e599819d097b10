package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.Revision;

/**
 * The active fleet document with its revision.
 *
 * @param revision the revision of the document
 * @param digest the SHA-256 digest of its text in hexadecimal
 * @param document the document
 */
public record FleetSnapshot(Revision revision, String digest, FleetDocument document) {}
