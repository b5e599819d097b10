/** Follows what the platform publishes. */
package org.knapweedcleat.router.forward.store;
