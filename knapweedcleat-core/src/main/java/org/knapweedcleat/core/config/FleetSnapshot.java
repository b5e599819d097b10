package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.Revision;

/**
 * The document in force.
 *
 * @param revision its revision
 * @param digest the SHA-256 of its text, in hexadecimal
 * @param document the document
 */
public record FleetSnapshot(Revision revision, String digest, FleetDocument document) {}
