/**
 * Decides which calls wait for engine capacity, for how long, and when refused calls may be
 * retried.
 */
package org.knapweedcleat.core.room;
