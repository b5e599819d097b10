/**
 * Checks a published configuration before it is sent: entries that are never used, limits that
 * contradict each other, and differences from the version in force. Performs no I/O.
 */
package org.knapweedcleat.core.directory.check;
