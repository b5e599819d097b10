/**
 * At-most-once execution of plain calls: stores the outcomes of calls so that retries by callers
 * are safe.
 */
package org.knapweedcleat.core.once;
