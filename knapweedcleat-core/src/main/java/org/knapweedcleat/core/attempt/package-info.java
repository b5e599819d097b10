/**
 * Coordinates a single request across placements, including retries, resumed streams and
 * cancellations.
 */
package org.knapweedcleat.core.attempt;
