/** Messages by which forwarding instances tell each other what they know and do. */
package org.knapweedcleat.router.forward.fleet;
