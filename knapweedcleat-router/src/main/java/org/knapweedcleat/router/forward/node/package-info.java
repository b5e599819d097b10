/** Assembles and runs a forwarding instance. */
package org.knapweedcleat.router.forward.node;
