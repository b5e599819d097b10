/** Watches the platform's store and caches the configuration and endpoints published there. */
package org.knapweedcleat.router.forward.store;
