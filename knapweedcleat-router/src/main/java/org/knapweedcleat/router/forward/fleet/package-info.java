/** Gossip between forwarding instances and synchronization of published configuration. */
package org.knapweedcleat.router.forward.fleet;
