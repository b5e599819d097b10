/** Planned shutdown of an instance without aborting requests. */
package org.knapweedcleat.core.drain;
