/** Writes a line for each decision and each change of belief, bounded under load. */
package org.knapweedcleat.router.forward.log;
