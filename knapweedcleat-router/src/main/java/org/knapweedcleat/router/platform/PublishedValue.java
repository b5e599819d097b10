package org.knapweedcleat.router.platform;

import org.knapweedcleat.core.id.Revision;

/**
 * A value published by the platform, with its revision.
 *
 * @param revision the revision
 * @param value the value
 * @param <T> the type of the value
 */
public record PublishedValue<T>(Revision revision, T value) {}
