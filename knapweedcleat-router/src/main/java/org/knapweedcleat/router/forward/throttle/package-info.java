/** Asks the instance that issues permits for an endpoint whether a request may be sent there. */
package org.knapweedcleat.router.forward.throttle;
