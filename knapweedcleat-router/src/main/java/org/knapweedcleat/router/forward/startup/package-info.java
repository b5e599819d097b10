/** Limits the calls in flight of an instance that has just started. */
package org.knapweedcleat.router.forward.startup;
