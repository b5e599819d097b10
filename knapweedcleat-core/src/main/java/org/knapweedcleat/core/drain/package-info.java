/** Planned stops that cut no request. */
package org.knapweedcleat.core.drain;
