package org.knapweedcleat.router.platform;

import org.knapweedcleat.core.id.Revision;

/**
 * A value with the revision under which the platform publishes it.
 *
 * @param revision the revision
 * @param value the value
 * @param <T> what is published
 */
public record PublishedValue<T>(Revision revision, T value) {}
