/** Sends placement requests to pool schedulers and runs the schedulers of this instance. */
package org.knapweedcleat.router.placement;
